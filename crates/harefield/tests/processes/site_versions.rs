//! Versions of the users' configuration, each with a route of its own that shows whether it is in
//! force.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::site_support::Site;
use crate::site_support::request_at;
use crate::site_support::routes;
use crate::support::Daemon;

/// Settings of the users' daemons for the store: one daemon of a zone reads it.
pub const STORE_SETTINGS: &str = "watch-ms = 4000\nreaders = 1\n";

/// The time limit for a confirmed change to be in force: 3 s, and 500 ms more for a busy machine.
pub const IN_FORCE: Duration = Duration::from_millis(3000 + 500);

/// Returns the routes of a version: the common ones and one for each version from 2 on.
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

pub fn confirm_version(site: &Site, version: u64) -> Instant {
    site.publish(version, &routes_of(version));
    Instant::now()
}

pub fn is_in_force(daemon: &Daemon, version: u64) -> bool {
    request_at(daemon, &format!("/v{version}/x"), "probe", 2000).status == 200
}

/// Checks that a version is in force on each daemon in time and stays so.
pub fn expect_in_force<'a>(daemons: impl Iterator<Item = &'a Daemon>, version: u64, confirmed: Instant) {
    let mut missing: Vec<&Daemon> = daemons.collect();
    let all = missing.clone();
    while !missing.is_empty() {
        missing.retain(|daemon| !is_in_force(daemon, version));
        let (late, count) = (confirmed.elapsed(), missing.len());
        assert!(late < IN_FORCE, "version {version} is not in force at {count} after {late:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(all.iter().all(|daemon| is_in_force(daemon, version)), "version {version} is no longer in force");
}

/// Checks that a version stays in force on each daemon for a time.
pub fn expect_kept(site: &Site, version: u64, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let kept = site.daemons().all(|daemon| is_in_force(daemon, version));
        assert!(kept, "version {version} is no longer in force");
        std::thread::sleep(Duration::from_millis(20));
    }
}
