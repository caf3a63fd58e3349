//! Confirmed changes while the store stops answering, and while daemons start and stop.
//!
//! Guards against a failure in which daemons still used an older version more than 3 s after a
//! change was confirmed and 5 s after the store was back from an outage. The store accepted calls
//! and answered none; daemons were killed and restarted; each reader's watch timed out and was
//! sent once more, still without an answer; then the store was back and changes were confirmed,
//! but no daemon requested them. The cause was that a reader waited for its watch for the whole
//! wait time and 2 s more, and sent no other call.
//!
//! Evidence: in a fleet whose store was back at 14.5 s, readers reported `platform-lost` in the
//! space `config` after waiting 6,001 to 6,028 ms, at 18.5 to 20.1 s. No daemon had the change of
//! 16.06 s before 19.3 s, and `platform-regained` at 15.5 s was for another space.

use std::time::Duration;
use std::time::Instant;

use crate::site_support::Site;
use crate::site_support::request_at;
use crate::site_versions::STORE_SETTINGS;
use crate::site_versions::confirm_version;
use crate::site_versions::expect_in_force;
use crate::support::Daemon;
use crate::support::await_true;

/// Stops the store's answers and waits until it has received a call that it does not answer.
fn silence_store(site: &Site) {
    site.store.set_silent(true);
    await_true("the store has received a call without answering", || site.store.unanswered() > 0);
}

#[test]
fn series_after_silence() {
    for count in [1, 3] {
        let site = Site::start_reading(count, STORE_SETTINGS);
        silence_store(&site);
        site.store.set_silent(false);
        for version in 2..6 {
            let confirmed = confirm_version(&site, version);
            expect_in_force(site.daemons(), version, confirmed);
        }
    }
}

#[test]
fn restarted_in_silence() {
    let mut site = Site::start_reading(3, STORE_SETTINGS);
    site.store.set_silent(true);
    site.others.clear();
    site.add_daemon(STORE_SETTINGS);
    site.add_daemon(STORE_SETTINGS);
    let serves = |daemon: &Daemon| request_at(daemon, "/one/x", "r0", 2000).status == 200;
    await_true("new daemons have the configuration of the remaining one", || site.daemons().all(serves));
    silence_store(&site);
    // Changes that waited for the store are confirmed together when it is back, then one more.
    site.store.set_silent(false);
    for version in 2..6 {
        confirm_version(&site, version);
    }
    std::thread::sleep(Duration::from_millis(300));
    let confirmed = confirm_version(&site, 6);
    expect_in_force(site.daemons(), 6, confirmed);
}

#[test]
fn joins_among_changes() {
    let mut site = Site::start_reading(2, STORE_SETTINGS);
    for version in 2..5 {
        let confirmed = confirm_version(&site, version);
        site.add_daemon(STORE_SETTINGS);
        expect_in_force(site.daemons(), version, confirmed);
    }
}

#[test]
fn frozen_reader() {
    // Whichever daemon reads the store for the others, pausing it does not delay them.
    let site = Site::start_reading(3, STORE_SETTINGS);
    for (version, frozen) in (2..).zip(0..3) {
        let daemons: Vec<&Daemon> = site.daemons().collect();
        daemons[frozen].signal("STOP");
        let confirmed = confirm_version(&site, version);
        let others = daemons.iter().enumerate().filter(|(number, _)| *number != frozen);
        expect_in_force(others.map(|(_, daemon)| *daemon), version, confirmed);
        daemons[frozen].signal("CONT");
        expect_in_force(daemons.into_iter(), version, Instant::now());
    }
}

#[test]
fn stopping_reader() {
    // A daemon that is stopped as planned passes the reading of the store on to another one.
    let mut site = Site::start_reading(3, STORE_SETTINGS);
    for version in 2..4 {
        let leaving = site.others.pop().expect("another daemon is left");
        leaving.signal("TERM");
        let confirmed = confirm_version(&site, version);
        expect_in_force(site.daemons(), version, confirmed);
        drop(leaving);
    }
}

#[test]
fn regained_when_answered() {
    // Only an answer of the store counts as its return.
    let site = Site::start_reading(1, "watch-ms = 500\nreaders = 1\n");
    site.store.set_silent(true);
    await_true("the outage is noticed", || site.has_metric("harefield_events_total{kind=\"platform-lost\"}"));
    std::thread::sleep(Duration::from_secs(2));
    assert!(!site.has_metric("harefield_events_total{kind=\"platform-regained\"}"));
    site.store.set_silent(false);
    await_true("the store is back", || site.has_metric("harefield_events_total{kind=\"platform-regained\"}"));
}
