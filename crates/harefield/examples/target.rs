//! Prints what control's decisions cost at the target size, for
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
    println!("| size | busiest over mean | daemons in no cell | new pairs when one daemon goes, of |");
    println!("|---|---|---|---|");
    for size in [14, 22, 24] {
        cells(size);
    }
    println!("\none change at the size given, in milliseconds:");
    println!(
        "| upstreams | read all | judge one change | next view, config | next view, hosts | worker takes it | own upstreams |"
    );
    println!("|---|---|---|---|---|---|---|");
    for upstreams in [5040, 20_160, 79_800] {
        changes(upstreams);
    }
}

fn daemon(number: usize) -> HostId {
    format!("10.0.{}.{}:7200", number / 250, number % 250).into()
}

fn pairs(cells: &Cells) -> BTreeSet<(&str, &str)> {
    cells.iter().flat_map(|(name, cell)| cell.iter().map(|host| (&**name, &**host))).collect()
}

fn cells(size: usize) {
    let sizes: BTreeMap<Arc<str>, usize> = (0..190).map(|n| (format!("index-{n}").into(), size)).collect();
    let hosts: Vec<HostId> = (0..DAEMONS).map(daemon).collect();
    let before = cell::assign(&sizes, &hosts);
    let mut held: BTreeMap<&str, u32> = hosts.iter().map(|host| (&**host, 0)).collect();
    for (_, host) in pairs(&before) {
        *held.entry(host).or_default() += 1;
    }
    let total: u32 = held.values().sum();
    let mean = f64::from(total) / f64::from(u32::try_from(DAEMONS).unwrap_or(1));
    let most = held.values().copied().max().unwrap_or(0);
    let idle = held.values().filter(|count| **count == 0).count();
    let mut moved = Vec::new();
    for gone in (0..DAEMONS).step_by(270) {
        let rest: Vec<HostId> =
            hosts.iter().enumerate().filter(|(n, _)| *n != gone).map(|(_, h)| Arc::clone(h)).collect();
        let after = cell::assign(&sizes, &rest);
        moved.push(pairs(&after).difference(&pairs(&before)).count());
    }
    let most_moved = moved.iter().max().copied().unwrap_or(0);
    println!("| {size} | {:.2} | {idle} | at most {most_moved} of {total} |", f64::from(most) / mean);
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

/// One region.
static PLACES: LazyLock<Topology> = LazyLock::new(Topology::default);

fn sources<'a>(own: &'a HostId, set: &'a Arc<ResourceSet>, hosts: &'a HostList) -> ViewInputs<'a> {
    ViewInputs {
        own,
        revision: Some(Revision::first(1)),
        set,
        hosts_revision: Some(Revision::first(1)),
        hosts,
        fleet: &[],
        size: CellSize::default(),
        places: &PLACES,
        cold: ColdBounds::default(),
        require_keys: false,
    }
}

fn changes(upstreams: usize) {
    let items = items(upstreams);
    let begun = Instant::now();
    let set = Arc::new(ResourceSet::parse(&items).expect("the values are valid"));
    let read = millis(begun);
    let mut hosts = HostList::parse(&host_items(upstreams));
    let own = daemon(7);
    let first = View::default().next(&sources(&own, &set, &hosts));

    let value =
        json!({ "address": "10.99.0.1:1", "zone": "zone-2", "slots": 2, "connections": 25 }).to_string();
    let change = [Change { key: "upstreams/up-3-5-0".into(), value: Some(value.into()) }];
    let begun = Instant::now();
    let changed = Arc::new(set.apply(&change).expect("the change is valid"));
    let judged = millis(begun);
    let begun = Instant::now();
    let second = first.next(&sources(&own, &changed, &hosts));
    let planned = millis(begun);

    let gone = [Change { key: format!("hosts/{}", daemon(9)).into(), value: None }];
    hosts.apply(&gone);
    let begun = Instant::now();
    let third = second.next(&sources(&own, &changed, &hosts));
    let listed = millis(begun);

    let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 1, Instant::now());
    router.apply(&second, begun);
    let begun = Instant::now();
    router.apply(&third, begun);
    let taken = millis(begun);
    println!(
        "| {upstreams} | {read:.1} | {judged:.2} | {planned:.2} | {listed:.1} | {taken:.2} | {} |",
        third.upstreams.len()
    );
}
