//! Measures what one changed route costs a daemon by the number of routes, and prints the table for
//! `docs/CAPACITY.md`: `cargo run --release --example configuration`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use harefield::domain::cell::Candidate;
use harefield::domain::cell::CellSize;
use harefield::domain::cold::ColdBounds;
use harefield::domain::configuration::Configuration;
use harefield::domain::feed::Change;
use harefield::domain::feed::Delta;
use harefield::domain::feed::DeltaKind;
use harefield::domain::feed::Items;
use harefield::domain::hosts::HostList;
use harefield::domain::revision::Revision;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Router;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;
use harefield::platform::parse_catalog;

/// The shards of each of the two divided services, each with three replicas.
const SHARDS: [usize; 2] = [90, 135];

/// The daemons of the fleet.
const DAEMONS: usize = 98;

/// How often each step is run; the least time counts.
const ROUNDS: u64 = 9;

fn main() {
    println!("one changed route, in microseconds, and what is sent for it, in bytes:");
    println!(
        "| routes | document | decode | accept read | accept pulled | view | worker | bytes | suspected | find |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for routes in [30, 1430, 5000] {
        measure_change(routes);
    }
    println!("\nall routes but 30 added by one change:");
    println!("| routes | decode | accept read | accept pulled | view | worker | bytes | compressed |");
    println!("|---|---|---|---|---|---|---|---|");
    for routes in [1430, 5000] {
        measure_growth(routes);
    }
}

/// Returns the operator's document, with a time limit that differs by version in one route.
fn document(routes: usize, version: u64) -> Vec<u8> {
    let services = |service: usize| -> Vec<String> {
        (0..SHARDS[service]).map(|shard| format!("service-{service}~{shard}")).collect()
    };
    let fan_out = |number: usize| {
        json!({
            "name": format!("fan-out-{number}"), "host": "search.example", "pathPrefix": format!("/fan-out-{number}/"),
            "fanoutServices": services(number % 2), "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 200,
            "priority": number % 3, "attempts": 2, "resultLimit": 20, "oldestVersion": 0.9,
        })
    };
    let single = |number: usize| {
        let timeout = if number == 7 { 1000 + version } else { 1000 };
        json!({
            "name": format!("route-{number}"), "host": format!("host{}.example", number % 20),
            "pathPrefix": format!("/route-{number}/"), "service": "archive", "kind": "safe", "timeoutMs": timeout,
            "targetLatencyMs": 500, "priority": 2, "attempts": 2,
        })
    };
    let all: Vec<Value> = (0..6).map(fan_out).chain((6..routes).map(single)).collect();
    json!({ "version": version, "routes": all, "services": [{ "name": "archive", "connectionLimit": 100 }] })
        .to_string()
        .into_bytes()
}

/// Decodes the document, as the client of the platform does.
fn decode(document: &[u8]) -> Change {
    let catalog = parse_catalog(document).expect("the document is valid");
    let value = serde_json::to_string(&catalog).expect("a catalog can be written");
    Change { key: "catalogs/operator".into(), value: Some(value.into()) }
}

fn upstreams() -> Items {
    let mut items = Items::new();
    let mut add = |service: String, replica: usize| {
        let value = json!({
            "address": format!("10.{replica}.{}.{}:8460", items.len() / 250, items.len() % 250),
            "zone": format!("zone-{}", replica * 2), "slots": 2, "holds": [format!("{service}/all")],
        });
        items.insert(format!("upstreams/i-{service}-{replica}").into(), value.to_string().into());
    };
    for (service, shards) in SHARDS.iter().enumerate() {
        for shard in 0..*shards {
            (0..3).for_each(|replica| add(format!("service-{service}~{shard}"), replica));
        }
    }
    (0..6).for_each(|replica| add("archive".to_owned(), replica));
    items
}

fn fleet(suspect: Option<usize>) -> Vec<Candidate> {
    let candidate = |number: usize| Candidate {
        host: format!("10.9.0.{number}:7200").into(),
        zone: format!("zone-{}", number % 6).into(),
        capacity: 84 + u32::try_from(number % 5).unwrap_or(0) * 100,
        live: Some(number) != suspect,
    };
    (0..DAEMONS).map(candidate).collect()
}

fn next_view(before: &View, config: &Configuration, fleet: &[Candidate]) -> View {
    before.next(&ViewInputs {
        own: &fleet[0].host,
        revision: config.revision(),
        set: config.set(),
        hosts_revision: None,
        hosts: &HostList::default(),
        fleet,
        size: CellSize::default(),
        topology: &Topology::default(),
        cold: ColdBounds::default(),
        require_keys: false,
    })
}

/// A daemon that has a configuration in force, and one that pulls from it.
struct Daemon {
    config: Configuration,
    puller: Configuration,
    worker: Router,
    view: View,
    fleet: Vec<Candidate>,
}

impl Daemon {
    fn new(routes: usize) -> Self {
        let mut items = upstreams();
        let change = decode(&document(routes, 0));
        items.insert(change.key, change.value.expect("it has a value"));
        let mut config = Configuration::default();
        let _offer = config.offer_all(Revision::first(1), &items);
        let fleet = fleet(None);
        let view = next_view(&View::default(), &config, &fleet);
        let now = Instant::now();
        let mut worker = Router::new(Policy::Cost, Budgets::single(0.05), 7, now);
        worker.apply(&view, now);
        Self { puller: config.clone(), config, worker, view, fleet }
    }

    /// Applies the next revision; returns the times of acceptance as read and as pulled, of the
    /// view, and of its application by a worker.
    fn apply(&mut self, change: Change) -> [u128; 4] {
        let base = self.config.revision().expect("it has one");
        let revision = Revision::first(base.number + 1);
        let delta = Delta { base, revision, changes: vec![change], kind: DeltaKind::Single };
        let (accept, accepted) = timed(|| self.config.offer_chain(&[delta]));
        assert!(accepted, "the change is valid");
        let news = self.config.since(Some(base));
        let (pull, pulled) = timed(|| self.puller.merge_news(news));
        assert!(pulled, "the change is news");
        let (view_time, view) = timed(|| next_view(&self.view, &self.config, &self.fleet));
        self.view = view;
        let (work, ()) = timed(|| self.worker.apply(&self.view, Instant::now()));
        [accept, pull, view_time, work]
    }

    /// Returns the size of what a daemon that lacks the last revision is sent, before and after
    /// compression.
    fn news_bytes(&self) -> (usize, usize) {
        let own = self.config.revision().expect("it has one");
        let news = self.config.since(Some(Revision::first(own.number - 1)));
        let bytes = rmp_serde::to_vec_named(&news).expect("news can be written");
        (bytes.len(), lz4_flex::block::compress_prepend_size(&bytes).len())
    }
}

fn timed<T>(run: impl FnOnce() -> T) -> (u128, T) {
    let start = Instant::now();
    let result = run();
    (start.elapsed().as_micros(), result)
}

fn measure_change(routes: usize) {
    let mut daemon = Daemon::new(routes);
    let mut least: BTreeMap<&str, u128> = BTreeMap::new();
    let mut record = |name, time: u128| {
        let held = least.entry(name).or_insert(time);
        *held = time.min(*held);
    };
    for version in 1..=ROUNDS {
        let text = document(routes, version);
        let (decoding, change) = timed(|| decode(&text));
        let [accepting, pulling, viewing, working] = daemon.apply(change);
        let suspected = fleet(Some(5));
        let (suspecting, _kept) = timed(|| daemon.view.keeps_cells(&suspected));
        let path = format!("/route-{}/x", routes - 1);
        let host = format!("host{}.example", (routes - 1) % 20);
        let (finding, _found) = timed(|| {
            (0..1000).for_each(|_| drop(black_box(daemon.view.lookup_at(&host, &path).map(Arc::clone))));
        });
        record("decode", decoding);
        record("accept", accepting);
        record("pull", pulling);
        record("view", viewing);
        record("work", working);
        record("suspect", suspecting);
        record("find", finding);
    }
    let time = |name: &str| least.get(name).copied().unwrap_or_default();
    println!(
        "| {routes} | {} B | {} | {} | {} | {} | {} | {} | {} | {} ns |",
        document(routes, 1).len(),
        time("decode"),
        time("accept"),
        time("pull"),
        time("view"),
        time("work"),
        daemon.news_bytes().0,
        time("suspect"),
        time("find"),
    );
}

fn measure_growth(routes: usize) {
    let mut daemon = Daemon::new(30);
    let text = document(routes, 1);
    let (decoding, change) = timed(|| decode(&text));
    let [accepting, pulling, viewing, working] = daemon.apply(change);
    let (bytes, sent) = daemon.news_bytes();
    println!(
        "| {routes} | {decoding} | {accepting} | {pulling} | {viewing} | {working} | {bytes} | {sent} |"
    );
}
