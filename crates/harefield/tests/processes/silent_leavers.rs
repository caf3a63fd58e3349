//! Upstreams that leave the store without a word, several at a time.

use std::time::Duration;
use std::time::Instant;

use crate::site_support::Site;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;

/// The time within which a removal is applied, and after which nothing may reach the upstream.
const DRAIN: Duration = Duration::from_secs(3);

/// When the entries go, after the first, in milliseconds.
const GOES: [u64; 3] = [0, 450, 930];

/// Guards against three upstreams that left within a second, were taken for victims of an outage of the
/// store, and were sent requests again until more than 3 s after they had left.
#[test]
fn left_together() {
    let mut site = Site::start_reading(3, "readers = 1\n");
    for number in 0..6 {
        site.add("one", &format!("i-more-{number}"), &[5, 5]);
    }
    let used = |site: &Site| site.upstreams.iter().filter(|(_, one)| !one.runs().is_empty()).count();
    let mut count = 0;
    let mut send = |daemon: &Daemon| {
        count += 1;
        assert_eq!(request_at(daemon, "/one/x", &format!("r{count}"), 2000).status, 200);
    };
    await_true("all are in use", || {
        site.daemons().for_each(&mut send);
        used(&site) >= 10
    });
    let start = Instant::now();
    let mut left = Vec::new();
    while start.elapsed() < Duration::from_secs(5) {
        let due = GOES.get(left.len()).map(|after| Duration::from_millis(*after));
        if due.is_some_and(|after| start.elapsed() >= after) {
            let name = format!("i-more-{}", left.len());
            site.store.put(&site.upstreams[&name].key(), None);
            left.push((name, Instant::now()));
        }
        site.daemons().for_each(&mut send);
    }
    assert_eq!(left.len(), GOES.len());
    for (name, removed) in left {
        let last = site.upstreams[&name].arrivals().into_iter().map(|(at, _)| at).max();
        let last = last.expect("it was in use").saturating_duration_since(removed);
        assert!(last < DRAIN, "{name} got a request {last:?} after it had left");
    }
}
