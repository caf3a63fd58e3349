//! Helpers for several tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;

use harefield::domain::cell::CellSize;
use harefield::domain::cold::ColdBounds;
use harefield::domain::feed::Items;
use harefield::domain::hosts::HostList;
use harefield::domain::ids::UpstreamId;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Router;
use harefield::domain::suspects::SuspectReport;
use harefield::domain::suspects::Suspects;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;

/// Returns a test configuration that draws the same cases in every run.
pub fn cases(count: u32) -> Config {
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns the time `millis` after `start`.
pub fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Returns items with JSON values.
pub fn items(values: impl IntoIterator<Item = (String, Value)>) -> Items {
    let entry = |(key, value): (String, Value)| (key.into(), value.to_string().into());
    values.into_iter().map(entry).collect()
}

/// Returns the name of a replica of a shard.
pub fn replica(shard: usize, number: usize) -> UpstreamId {
    format!("u{shard}-{number}").into()
}

/// Returns the values of a service `s` and an index `i` with `shards` shards of `replicas` replicas
/// each, at the given versions.
pub fn values(shards: usize, replicas: usize, versions: &[u64]) -> BTreeMap<String, Value> {
    let mut all = BTreeMap::new();
    let mut held = serde_json::Map::new();
    let mut names = Vec::new();
    for shard in 0..shards {
        let own: Vec<String> = (0..replicas).map(|n| replica(shard, n).to_string()).collect();
        for (number, name) in own.iter().enumerate() {
            let address = format!("127.0.0.1:{}", 1000 + shard * 10 + number);
            let upstream = json!({ "address": address, "zone": "a", "slots": 2, "connections": 25 });
            all.insert(format!("upstreams/{name}"), upstream);
        }
        held.insert(format!("{shard:03}"), json!(own));
        names.push(format!("{shard:03}"));
    }
    all.insert("services/s".to_owned(), json!({ "shards": held }));
    let snapshots: Vec<Value> =
        versions.iter().map(|v| json!({ "version": v, "shards": { "s": names } })).collect();
    all.insert("indexes/i".to_owned(), json!({ "snapshots": snapshots }));
    let lookup = json!({
        "index": "i", "urgency": "urgent", "deadline-ms": 100, "repeatable": true, "prefer": "time",
    });
    all.insert("lookups/l".to_owned(), lookup);
    all
}

/// Returns the set of [`values`].
pub fn set(shards: usize, replicas: usize, versions: &[u64]) -> Arc<ResourceSet> {
    let items = items(values(shards, replicas, versions));
    Arc::new(ResourceSet::parse(&items).expect("the values are valid"))
}

/// Returns the view of a set in a fleet without listed hosts.
pub fn view(set: &Arc<ResourceSet>) -> View {
    View::default().next(&ViewInputs {
        own: &"127.0.0.1:7200".into(),
        revision: Some(Revision::first(1)),
        set,
        hosts_revision: None,
        hosts: &HostList::default(),
        fleet: &[],
        size: CellSize::default(),
        topology: &Topology::default(),
        cold: ColdBounds::default(),
        require_keys: false,
    })
}

/// Returns a router with a view applied.
pub fn router(view: &View, now: Instant) -> Router {
    let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 7, now);
    router.apply(view, now);
    router
}

/// Sends one message with the evidence of one daemon to another.
pub fn send_all(from: &mut Suspects, to: &mut Suspects, now: Instant) {
    for suspect in from.digest(now) {
        to.merge(&SuspectReport::new(&suspect, now).to_suspect(now), now);
    }
}

/// Returns the row of a live daemon in an availability zone.
pub fn row(number: usize, zone: &str) -> MemberRow {
    MemberRow {
        host: format!("127.0.0.1:{}", 7000 + number).into(),
        zone: zone.into(),
        operators: "127.0.0.1:1".into(),
        incarnation: 1,
        version: 0,
        state: PeerState::Live,
        blind: false,
        capacity: 1000,
    }
}

/// Returns the time `millis` after `start`.
pub fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}
