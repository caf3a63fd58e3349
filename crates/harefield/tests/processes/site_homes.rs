//! Lookups with home regions: neither their requests nor their bodies leave these regions, even
//! if no upstream there can answer.

use std::time::Duration;
use std::time::Instant;

use standin::ReplyMode;

use crate::site_regions::RegionalSite;
use harefield::domain::event::Event;

/// The time limit for an immediate refusal: far less than the latency objective of 300 ms and
/// the timeout of 1.5 s.
const AT_ONCE: Duration = Duration::from_millis(150);

#[test]
fn replicas_at_home() {
    let regions = RegionalSite::start(&["n1", "s1"], 24);
    regions.publish(2, &["south"]);
    regions.await_only(0, "/all/", &["s1"]);
    for (number, path) in ["/all/", "/one/", "/once/"].iter().cycle().take(12).enumerate() {
        let id = format!("h{number}");
        assert_eq!(regions.request(number % 2, path, &id).status, 200);
        assert_eq!(regions.zones_of(&id), ["s1"], "{path} at daemon {}", number % 2);
    }
}

#[test]
fn no_hedge_outside_home() {
    let regions = RegionalSite::start(&["n1", "s1"], 24);
    regions.publish(2, &["south"]);
    regions.await_only(0, "/all/", &["s1"]);
    for upstream in regions.upstreams("s1") {
        upstream.set_mode(ReplyMode::Good, Duration::from_millis(700));
    }
    for number in 0..4 {
        let id = format!("slow{number}");
        regions.request(number % 2, "/all/", &id);
        assert_eq!(regions.zones_of(&id), ["s1"]);
    }
    for upstream in regions.upstreams("s1") {
        upstream.set_mode(ReplyMode::Shed, Duration::ZERO);
    }
    for number in 0..4 {
        let id = format!("shed{number}");
        regions.request(number % 2, "/one/", &id);
        assert!(
            regions.zones_of(&id).is_empty(),
            "the upstreams in the home region refuse it, and no other one gets it"
        );
    }
}

#[test]
fn none_at_home() {
    let regions = RegionalSite::start(&["n1"], 24);
    regions.publish(2, &["east"]);
    regions.await_all("/all/", 503);
    for (number, path) in ["/all/", "/one/", "/once/"].iter().enumerate() {
        let (id, start) = (format!("e{number}"), Instant::now());
        let answer = regions.request(0, path, &id);
        assert!(start.elapsed() < AT_ONCE, "the request is refused immediately");
        assert_eq!(answer.status, 503);
        assert!(String::from_utf8_lossy(&answer.body).contains("HF2015"), "the answer has the result code");
        assert!(answer.header("retry-after").parse::<f64>().is_ok_and(|wait| wait >= 1.0));
        assert!(regions.zones_of(&id).is_empty());
    }
}

#[test]
fn changes_both_ways() {
    let regions = RegionalSite::start(&["n1"], 24);
    for (version, homes, zone) in [(2, "south", "s1"), (3, "north", "n1"), (4, "south", "s1")] {
        regions.publish(version, &[homes]);
        regions.await_only(0, "/one/", &[zone]);
        let id = format!("v{version}");
        assert_eq!(regions.request(0, "/one/", &id).status, 200);
        assert_eq!(regions.zones_of(&id), [zone]);
    }
    regions.publish(5, &[]);
    regions.await_only(0, "/one/", &["n1"]);
}

#[test]
fn body_stays_home() {
    // One member in each zone: the second daemon of `n1` forwards all its requests.
    let regions = RegionalSite::start(&["n1", "n1", "s1"], 1);
    regions.publish(2, &["south"]);
    regions.await_only(0, "/all/", &["s1"]);
    regions.await_only(1, "/all/", &["s1"]);
    for number in 0..12 {
        let path = ["/all/", "/one/", "/once/"][number % 3];
        let id = format!("b{number}");
        assert_eq!(regions.request(number % 2, path, &id).status, 200, "{path}");
        for daemon in [0, 1] {
            let events = regions.daemons[daemon].timeline(&format!("request={id}"));
            let accepted = events
                .iter()
                .any(|record| matches!(record.event, Event::ForwardTaken { .. } | Event::GroupTaken { .. }));
            assert!(
                !accepted,
                "daemon {daemon} is neither in a home region nor the one that the caller used"
            );
        }
    }
}
