//! Measures the decisions of the control thread at the target size and prints the tables for
//! `docs/CAPACITY.md`: `cargo run --release --example target`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Instant;

use serde_json::json;

use harefield::domain::cell;
use harefield::domain::cell::CellSize;
use harefield::domain::cell::Cells;
use harefield::domain::cold::ColdBounds;
use harefield::domain::feed::Change;
use harefield::domain::feed::Items;
use harefield::domain::hosts::HostList;
use harefield::domain::ids::HostId;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Router;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;

const DAEMONS: usize = 2700;
const SHARDS: usize = 210;
const REPLICAS: usize = 2;

fn main() {
    println!("cells of 190 indexes over {DAEMONS} daemons:");
    println!(
        "| size | max over mean cells per daemon | daemons in no cell | new pairs when one daemon leaves, of |"
    );
    println!("|---|---|---|---|");
    for size in [14, 22, 24] {
        cells(size);
    }
    println!("\none change at the given size, in milliseconds:");
    println!(
        "| upstreams | parse all | validate one change | next view, config | next view, hosts | worker applies it | own upstreams |"
    );
    println!("|---|---|---|---|---|---|---|");
    for upstreams in [5040, 20_160, 79_800] {
        changes(upstreams);
    }
}

fn daemon(number: usize) -> HostId {
    format!("10.0.{}.{}:7200", number / 250, number % 250).into()
}

/// Returns every pair of a cell and a daemon in it.
fn pairs(cells: &Cells) -> BTreeSet<(&str, &str)> {
    cells.iter().flat_map(|(name, cell)| cell.iter().map(|host| (&**name, &**host))).collect()
}

/// Prints how evenly cells of `size` daemons are spread, and how many pairs of a cell and a daemon
/// are new when one daemon leaves.
fn cells(size: usize) {
    let sizes: BTreeMap<Arc<str>, usize> = (0..190).map(|n| (format!("index-{n}").into(), size)).collect();
    let hosts: Vec<HostId> = (0..DAEMONS).map(daemon).collect();
    let before = cell::assign(&sizes, &hosts);
    let mut cell_counts: BTreeMap<&str, u32> = hosts.iter().map(|host| (&**host, 0)).collect();
    for (_, host) in pairs(&before) {
        *cell_counts.entry(host).or_default() += 1;
    }
    let total: u32 = cell_counts.values().sum();
    let mean = f64::from(total) / f64::from(u32::try_from(DAEMONS).unwrap_or(1));
    let max_count = cell_counts.values().copied().max().unwrap_or(0);
    let idle = cell_counts.values().filter(|count| **count == 0).count();
    let mut moved = Vec::new();
    for removed in (0..DAEMONS).step_by(270) {
        let remaining: Vec<HostId> =
            hosts.iter().enumerate().filter(|(n, _)| *n != removed).map(|(_, h)| Arc::clone(h)).collect();
        let after = cell::assign(&sizes, &remaining);
        moved.push(pairs(&after).difference(&pairs(&before)).count());
    }
    let max_moved = moved.iter().max().copied().unwrap_or(0);
    println!("| {size} | {:.2} | {idle} | at most {max_moved} of {total} |", f64::from(max_count) / mean);
}

fn upstream_address(number: usize) -> String {
    format!("10.{}.{}.{}:9000", 1 + number / 62_500, number / 250 % 250, number % 250)
}

fn items(upstreams: usize) -> Items {
    let mut items = Items::new();
    let mut put = |key: String, value: serde_json::Value| {
        items.insert(key.into(), value.to_string().into());
    };
    for index in 0..upstreams / (SHARDS * REPLICAS) {
        let mut shards = serde_json::Map::new();
        for shard in 0..SHARDS {
            let names: Vec<String> = (0..REPLICAS).map(|r| format!("up-{index}-{shard}-{r}")).collect();
            for (replica, name) in names.iter().enumerate() {
                let number = (index * SHARDS + shard) * REPLICAS + replica;
                let value = json!({ "address": upstream_address(number), "zone": "zone-1", "slots": 2, "connections": 25 });
                put(format!("upstreams/{name}"), value);
            }
            shards.insert(shard.to_string(), json!(names));
        }
        let names: Vec<String> = shards.keys().cloned().collect();
        let service = format!("service-{index}");
        put(format!("services/{service}"), json!({ "shards": shards }));
        put(
            format!("indexes/index-{index}"),
            json!({ "snapshots": [{ "version": 1, "shards": { service: names } }] }),
        );
        put(
            format!("lookups/lookup-{index}"),
            json!({ "index": format!("index-{index}"), "urgency": "urgent", "deadline-ms": 62, "repeatable": true, "prefer": "time" }),
        );
    }
    items
}

fn host_items(upstreams: usize) -> Items {
    let row = |role: &str| -> Arc<str> {
        json!({ "role": role, "state": "live", "zone": "zone-1" }).to_string().into()
    };
    let daemons = (0..DAEMONS).map(|n| (format!("hosts/{}", daemon(n)).into(), row("harefield")));
    let others = (0..upstreams).map(|n| (format!("hosts/{}", upstream_address(n)).into(), row("upstream")));
    daemons.chain(others).collect()
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

/// A topology of one region.
static PLACES: LazyLock<Topology> = LazyLock::new(Topology::default);

fn view_inputs<'a>(own: &'a HostId, set: &'a Arc<ResourceSet>, hosts: &'a HostList) -> ViewInputs<'a> {
    ViewInputs {
        own,
        revision: Some(Revision::first(1)),
        set,
        hosts_revision: Some(Revision::first(1)),
        hosts,
        fleet: &[],
        size: CellSize::default(),
        topology: &PLACES,
        cold: ColdBounds::default(),
        require_keys: false,
    }
}

/// Prints how long one change of the configuration and of the host list takes, from its validation
/// to its application by a worker's router.
fn changes(upstreams: usize) {
    let items = items(upstreams);
    let begun = Instant::now();
    let set = Arc::new(ResourceSet::parse(&items).expect("the values are valid"));
    let parsing = millis(begun);
    let mut hosts = HostList::parse(&host_items(upstreams));
    let own = daemon(7);
    let first = View::default().next(&view_inputs(&own, &set, &hosts));

    let value =
        json!({ "address": "10.99.0.1:1", "zone": "zone-2", "slots": 2, "connections": 25 }).to_string();
    let change = [Change { key: "upstreams/up-3-5-0".into(), value: Some(value.into()) }];
    let begun = Instant::now();
    let changed = Arc::new(set.apply(&change).expect("the change is valid"));
    let validation = millis(begun);
    let begun = Instant::now();
    let second = first.next(&view_inputs(&own, &changed, &hosts));
    let config_view = millis(begun);

    let removal = [Change { key: format!("hosts/{}", daemon(9)).into(), value: None }];
    hosts.apply(&removal);
    let begun = Instant::now();
    let third = second.next(&view_inputs(&own, &changed, &hosts));
    let hosts_view = millis(begun);

    let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 1, Instant::now());
    router.apply(&second, begun);
    let begun = Instant::now();
    router.apply(&third, begun);
    let application = millis(begun);
    println!(
        "| {upstreams} | {parsing:.1} | {validation:.2} | {config_view:.2} | {hosts_view:.1} | {application:.2} | {} |",
        third.upstreams.len()
    );
}
