//! How many connections are kept ready, with few and with many upstreams.

use std::time::Instant;

use harefield::domain::routing::Router;

use crate::support::after;
use crate::support::replica;
use crate::support::router;
use crate::support::set;
use crate::support::view;

/// Returns how many connections are kept ready to all replicas of some shards.
fn ready(router: &Router, shards: usize, now: Instant) -> usize {
    let names = (0..shards).flat_map(|shard| (0..3).map(move |number| replica(shard, number)));
    names.map(|name| router.ready_connections(&name, now)).sum()
}

#[test]
fn few_all_ready() {
    let now = Instant::now();
    let router = router(&view(&set(20, 3, &[7])), now);
    assert_eq!(ready(&router, 20, now), 120);
}

#[test]
fn many_by_use() {
    // Of 540 upstreams, this daemon sends requests to 30.
    let now = Instant::now();
    let mut router = router(&view(&set(180, 3, &[7])), now);
    assert_eq!(ready(&router, 180, now), 0, "none was used yet");
    for shard in 0..30 {
        router.begin(&replica(shard, 0), now);
    }
    assert_eq!(ready(&router, 180, now), 60);
    assert_eq!(ready(&router, 180, after(now, 9_000)), 60);
    assert_eq!(ready(&router, 180, after(now, 11_000)), 0, "none was used within 10 s");
}

#[test]
fn unknown_has_none() {
    let now = Instant::now();
    let router = router(&view(&set(2, 3, &[7])), now);
    assert_eq!(router.ready_connections(&"gone".into(), now), 0);
}
