//! Cold upstreams get no more requests from all daemons together than their published rate.

use std::time::Duration;
use std::time::Instant;

use standin::SignedSearcher;

use crate::site_regions::RegionalSite;

/// The number of requests a second that a cold upstream can take.
const COLD_RATE: f64 = 6.0;

/// How long requests are sent in each phase.
const SEND_TIME: Duration = Duration::from_millis(2500);

/// Returns the maximum number of requests that reached an upstream within one second since `from`.
fn peak_rate(upstream: &SignedSearcher, from: Instant) -> usize {
    let arrivals: Vec<Instant> =
        upstream.arrivals().into_iter().map(|(at, _)| at).filter(|at| *at >= from).collect();
    let within = |start: &Instant| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + Duration::from_secs(1)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Sends about 80 requests a second, to all daemons in turn.
fn send_load(regions: &RegionalSite, name: &str) {
    let until = Instant::now() + SEND_TIME;
    let mut number = 0;
    while Instant::now() < until {
        let path = ["/all/", "/one/"][number % 2];
        regions.request(number % regions.daemons.len(), path, &format!("{name}{number}"));
        number += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn expect_limited(regions: &RegionalSite, zone: &str, from: Instant) {
    for upstream in regions.upstreams(zone) {
        let most = peak_rate(upstream, from);
        assert!(most <= 6, "{} got {most} requests within a second", upstream.id());
    }
}

fn cold_site() -> RegionalSite {
    let mut regions = RegionalSite::start(&["n1", "n2", "s1"], 24);
    regions.cold_per_s = COLD_RATE;
    regions.publish(2, &[]);
    std::thread::sleep(Duration::from_secs(1));
    regions
}

#[test]
fn cold_upstreams_spared() {
    let regions = cold_site();
    regions.set_cold("n1", 10_000);
    std::thread::sleep(Duration::from_secs(1));
    let from = Instant::now();
    send_load(&regions, "c");
    expect_limited(&regions, "n1", from);
    regions.set_cold("n1", 0);
    std::thread::sleep(Duration::from_secs(1));
    let from = Instant::now();
    send_load(&regions, "w");
    let warm = regions.upstreams("n1").map(|upstream| peak_rate(upstream, from)).max();
    assert!(warm > Some(12), "warm upstreams get requests again");
}

#[test]
fn all_replicas_cold() {
    let regions = cold_site();
    regions.set_cold("n1", 10_000);
    regions.set_cold("s1", 10_000);
    std::thread::sleep(Duration::from_secs(1));
    let from = Instant::now();
    send_load(&regions, "a");
    expect_limited(&regions, "n1", from);
    expect_limited(&regions, "s1", from);
    let received: usize = regions.upstreams("n1").map(|upstream| peak_rate(upstream, from)).sum();
    assert!(received > 0, "cold upstreams get some requests");
}

#[test]
fn cold_after_evacuation() {
    let regions = cold_site();
    regions.evacuate("n1", true);
    for daemon in 0..3 {
        regions.await_only(daemon, "/all/", &["s1"]);
    }
    let from = Instant::now();
    regions.evacuate("n1", false);
    send_load(&regions, "e");
    expect_limited(&regions, "n1", from);
}
