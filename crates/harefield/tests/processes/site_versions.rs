//! Versions of the users' configuration that show by a route each that they are in force.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::site_support::Site;
use crate::site_support::ask_at;
use crate::site_support::routes;
use crate::support::Daemon;

/// How the users' daemons read the store: one of a zone does.
pub const READING: &str = "watch-ms = 4000\nreaders = 1\n";

/// Within this time a confirmed change is to be in force, and some more for a busy
/// machine.
pub const IN_FORCE: Duration = Duration::from_millis(3000 + 500);

/// Returns the routes of a version: each one adds a route that shows that it is in force.
pub fn routes_of(version: u64) -> Vec<Value> {
    let own = |number: u64| {
        json!({
            "name": format!("v{number}"), "host": "x.example", "pathPrefix": format!("/v{number}/"),
            "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 300, "priority": 2, "attempts": 2,
            "service": "one",
        })
    };
    routes().into_iter().chain((2..=version).map(own)).collect()
}

pub fn confirm(site: &Site, version: u64) -> Instant {
    site.publish(version, &routes_of(version));
    Instant::now()
}

pub fn is_in_force(daemon: &Daemon, version: u64) -> bool {
    ask_at(daemon, &format!("/v{version}/x"), "probe", 2000).status == 200
}

/// Checks that each daemon has a version in force in time, and goes on having it.
pub fn expect_in_force<'a>(daemons: impl Iterator<Item = &'a Daemon>, version: u64, confirmed: Instant) {
    let mut missing: Vec<&Daemon> = daemons.collect();
    let all = missing.clone();
    while !missing.is_empty() {
        missing.retain(|daemon| !is_in_force(daemon, version));
        let (late, count) = (confirmed.elapsed(), missing.len());
        assert!(late < IN_FORCE, "version {version} is not in force at {count} after {late:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(all.iter().all(|daemon| is_in_force(daemon, version)), "version {version} is gone again");
}

/// Checks that each daemon goes on having a version in force for a time.
pub fn expect_kept(site: &Site, version: u64, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let kept = site.daemons().all(|daemon| is_in_force(daemon, version));
        assert!(kept, "version {version} was in force and is not any more");
        std::thread::sleep(Duration::from_millis(20));
    }
}
