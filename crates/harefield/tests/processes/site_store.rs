//! The users' store: configurations, entries that drain, are deleted or expire, and outages.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::site_support::Site;
use crate::site_support::request_at;
use crate::site_support::routes;
use crate::site_support::send_request;
use crate::support::Daemon;
use crate::support::await_true;

#[test]
fn unknown_told_apart() {
    let site = Site::unconfigured();
    assert_eq!(site.request("/all/x", "r1").status, 503, "the daemon has no configuration yet");
    assert!(!site.is_ready());
    drop(site);
    let site = Site::start();
    assert_eq!(site.request("/none/x", "r1").status, 404);
    let nameless = send_request(site.daemon.addresses.callers, "/all/x", "");
    assert_eq!(nameless.status, 400, "a request without an id");
}

#[test]
fn store_read_by_few() {
    // Daemons whose seed has the configuration get it from there instead of reading the store.
    let mut site = Site::start();
    let before = site.store.page_count();
    site.join(6, "");
    let serves = |daemon: &Daemon| request_at(daemon, "/all/x", "r0", 2000).status == 200;
    await_true("all have the configuration", || site.daemons().all(serves));
    assert_eq!(site.store.page_count(), before, "no new daemon read the store");
}

#[test]
fn store_read_alone() {
    // A seed that is down does not delay the start for long.
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|held| held.local_addr());
    let site = Site::start_beside(gone.expect("a port is free"), 2);
    await_true("the daemon has the configuration", || site.request("/all/x", "r1").status == 200);
    assert!(site.store.page_count() > 0);
}

#[test]
fn longest_prefix_wins() {
    let mut site = Site::start();
    site.add("s9", "i-s9", &[1]);
    let mut more = routes();
    more.push(json!({
        "name": "deep", "host": "x.example", "pathPrefix": "/all/deep/", "kind": "safe", "timeoutMs": 1000,
        "targetLatencyMs": 300, "priority": 2, "attempts": 2, "service": "s9",
    }));
    site.publish(2, &more);
    await_true("the new route is in force", || {
        site.request("/all/deep/x", "r1").header("server-seal") == "i-s9.r1"
    });
    site.publish(3, &routes()[1..]);
    await_true("a dropped route is gone", || site.request("/all/x", "r2").status == 404);
}

#[test]
fn draining_left_alone() {
    let mut site = Site::start();
    site.add("one", "i-two", &[5]);
    let leaving = site.upstreams["i-one"].clone();
    site.store.put(&leaving.key(), Some(&leaving.entry("one", "draining")));
    await_true("only the other upstream serves", || {
        let before = leaving.runs().len();
        (0..10).all(|_| site.request("/one/x", "r1").status == 200) && leaving.runs().len() == before
    });
    let before = leaving.runs().len();
    for _ in 0..20 {
        assert_eq!(site.request("/one/x", "r2").status, 200);
    }
    assert_eq!(leaving.runs().len(), before);
    site.store.put("servers/i-two", None);
    await_true("no upstream is left", || site.request("/one/x", "r3").status == 503);
}

#[test]
fn store_gone_serves_on() {
    let site = Site::start();
    site.store.set_down(true);
    for _ in 0..20 {
        assert_eq!(site.request("/all/x", "r1").status, 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(site.is_ready());
    site.store.set_down(false);
    site.publish(2, &routes()[1..]);
    await_true("changes of the store arrive again", || site.request("/all/x", "r2").status == 404);
}

#[test]
fn lapsed_entries_kept() {
    // Entries expire during an outage of the store. Running upstreams write theirs again soon
    // after its return, and stay in use until then.
    let site = Site::start();
    site.store.set_down(true);
    await_true("the outage is noticed", || site.has_metric("harefield_events_total{kind=\"platform-lost\"}"));
    for id in ["i-s1", "i-s2", "i-s3", "i-one"] {
        site.store.put(&site.upstreams[id].key(), None);
    }
    site.store.set_down(false);
    await_true("the store is back", || site.has_metric("harefield_events_total{kind=\"platform-regained\"}"));
    for number in 0..20 {
        assert_eq!(site.request("/all/x", &format!("r{number}")).header("missing-parts"), "0", "{number}");
        std::thread::sleep(Duration::from_millis(40));
    }
    for id in ["i-s1", "i-s2", "i-s3"] {
        let upstream = &site.upstreams[id];
        let service = id.trim_start_matches("i-");
        site.store.put(&upstream.key(), Some(&upstream.entry(service, "ready")));
    }
    await_true("an upstream that did not write again is removed", || {
        site.request("/one/x", "late").status == 503
    });
    assert_eq!(site.request("/all/x", "last").header("missing-parts"), "0");
}

#[test]
fn one_gone_at_once() {
    let mut site = Site::start();
    site.add("one", "i-two", &[5]);
    site.store.put("servers/i-one", None);
    let gone = site.upstreams["i-one"].clone();
    std::thread::sleep(Duration::from_secs(1));
    let before = gone.runs().len();
    for _ in 0..20 {
        assert_eq!(site.request("/one/x", "r1").status, 200);
    }
    assert_eq!(
        gone.runs().len(),
        before,
        "an upstream that leaves while the store is available is removed immediately"
    );
}

#[test]
fn outage_unnoticed() {
    // Entries that vanish one after the other while the store answers nobody are kept. The watch that
    // hangs meanwhile, and ends without an answer, is all that shows the outage.
    let site = Site::start();
    site.store.set_silent(true);
    std::thread::sleep(Duration::from_millis(2600));
    for id in ["i-s1", "i-s2", "i-s3"] {
        site.store.put(&site.upstreams[id].key(), None);
        std::thread::sleep(Duration::from_millis(100));
    }
    site.store.set_silent(false);
    let back = Instant::now();
    for number in 0.. {
        assert_eq!(site.request("/all/x", &format!("r{number}")).header("missing-parts"), "0", "{number}");
        std::thread::sleep(Duration::from_millis(40));
        if back.elapsed() > Duration::from_secs(2) {
            break;
        }
    }
    await_true("upstreams that do not write again are removed", || {
        site.request("/all/x", "late").status == 503
    });
}

#[test]
fn age_shown() {
    let site = Site::start();
    await_true("the configuration is proven current", || age(&site).is_some_and(|age| age < 3.0));
    site.store.set_down(true);
    await_true("the configuration is no longer proven current", || {
        site.has_metric("harefield_events_total{kind=\"config-behind\"} 1")
    });
    assert!(age(&site) > Some(3.0));
}

/// Returns the age of the daemon's configuration in seconds: the longest time for which it may
/// lack a confirmed change. None if it has no finite age.
fn age(site: &Site) -> Option<f64> {
    let answer = send_request(site.daemon.addresses.operators, "/metrics", "");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("harefield_config_age_seconds "));
    line.and_then(|number| number.parse().ok()).filter(|age: &f64| age.is_finite())
}
