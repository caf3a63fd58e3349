//! Evacuated availability zones, whose upstreams get no requests for a while.

use std::time::Duration;
use std::time::Instant;

use crate::site_regions::RegionalSite;
use crate::support::await_true;

/// Sends requests to each daemon and checks that the upstreams of some zones get none.
fn expect_no_requests(regions: &RegionalSite, name: &str, zones: &[&str]) {
    for number in 0..12 {
        let path = ["/all/", "/one/", "/once/"][number % 3];
        let id = format!("{name}{number}");
        let daemon = number % regions.daemons.len();
        assert_eq!(regions.request(daemon, path, &id).status, 200, "{path} at daemon {daemon}");
        assert!(regions.zones_of(&id).iter().all(|zone| !zones.contains(&zone.as_str())), "{path}");
    }
}

fn await_evacuated(regions: &RegionalSite, zone: &str) {
    let other = if zone == "n1" { "s1" } else { "n1" };
    for daemon in 0..regions.daemons.len() {
        regions.await_only(daemon, "/all/", &[other]);
        regions.await_only(daemon, "/one/", &[other]);
    }
}

#[test]
fn left_and_back() {
    let regions = RegionalSite::start(&["n1", "s1"], 24);
    regions.evacuate("n1", true);
    await_evacuated(&regions, "n1");
    expect_no_requests(&regions, "a", &["n1"]);
    regions.evacuate("n1", false);
    await_true("the zone gets requests again", || {
        regions.request(0, "/one/", "back");
        regions.zones_of("back").contains(&"n1".to_owned())
    });
    // Another zone is evacuated just after the first evacuation is withdrawn.
    regions.evacuate("s1", true);
    await_evacuated(&regions, "s1");
    expect_no_requests(&regions, "b", &["s1"]);
}

#[test]
fn known_after_restart() {
    let mut regions = RegionalSite::start(&["n1"], 24);
    regions.evacuate("n1", true);
    await_evacuated(&regions, "n1");
    // A new daemon reads the evacuation from the store, and one that starts while the store is
    // down learns of it by gossip.
    regions.add_daemon("n1", 24);
    expect_no_requests(&regions, "read", &["n1"]);
    regions.store.set_down(true);
    regions.add_daemon("n1", 24);
    expect_no_requests(&regions, "heard", &["n1"]);
}

#[test]
fn read_at_start() {
    let mut regions = RegionalSite::prepare();
    regions.evacuate("n1", true);
    regions.add_daemon("n1", 24);
    regions.await_all("/one/", 200);
    assert_eq!(regions.zones_of("probe"), ["s1"]);
    expect_no_requests(&regions, "start", &["n1"]);
}

#[test]
fn last_replicas_evacuated() {
    let regions = RegionalSite::start(&["n1"], 24);
    regions.evacuate("n1", true);
    regions.evacuate("s1", true);
    regions.await_all("/all/", 503);
    for path in ["/all/", "/one/", "/once/"] {
        let start = Instant::now();
        let answer = regions.request(0, path, "none");
        assert_eq!(answer.status, 503, "{path}");
        assert!(start.elapsed() < Duration::from_millis(150), "the request is refused immediately");
        assert!(regions.zones_of("none").is_empty());
    }
    regions.evacuate("s1", false);
    regions.await_all("/all/", 200);
    expect_no_requests(&regions, "d", &["n1"]);
}
