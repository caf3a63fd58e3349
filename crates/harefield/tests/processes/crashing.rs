//! Requests that crash every upstream that runs them ("queries of death").
//!
//! Guards against a failure in which such a request was repeated under new ids and was run by
//! the whole fleet each time: daemons did not recognize it, and they retried lost replies
//! immediately at the shards' other upstreams. The log of one such request shows
//! `attempt-failed` with `reply-lost` at seven upstreams, each followed by a `retry` within a
//! millisecond. A single request crashed all 40 upstreams, and all sweeps of the next 3 s
//! failed.

use std::time::Duration;
use std::time::Instant;

use crate::crashing_support::DOWNTIME;
use crate::crashing_support::Fleet;
use crate::crashing_support::FleetOptions;
use crate::crashing_support::MAX_LATE_SENDS;
use crate::crashing_support::PROPAGATION_TIME;
use crate::crashing_support::REPEAT_INTERVAL;
use crate::crashing_support::SHARDS;
use crate::crashing_support::code;
use crate::crashing_support::during_traffic;

/// How many upstreams may crash besides the first one of each shard before the request is
/// withheld: one in the trial on a single upstream, and one more if two daemons try it at once.
const MAX_TRIALS: usize = 2;

/// Sends a fatal request repeatedly, to each daemon in turn, during ordinary traffic; returns
/// the share of later ordinary requests that were answered with 200.
fn repeat_fatal(fleet: &Fleet, path: &'static str, times: usize) -> f64 {
    let start = Instant::now();
    let answers = during_traffic(fleet, times, |daemon, number| {
        fleet.send_fatal(daemon, path, number);
        std::thread::sleep(REPEAT_INTERVAL);
    });
    let later: Vec<_> = answers.iter().filter(|answered| answered.at > start + PROPAGATION_TIME).collect();
    let served = later.iter().filter(|answered| answered.status == 200).count();
    assert!(later.len() > 20, "too few ordinary requests were sent");
    harefield::domain::ratio(served, later.len())
}

#[test]
fn one_attempt_bounded() {
    let fleet = Fleet::start(FleetOptions::default());
    let answer = fleet.send_fatal(0, "all", 0);
    assert_eq!(answer.status, 504, "the request may have run");
    let ended = fleet.ends().len();
    assert!(ended <= SHARDS + MAX_TRIALS, "one request crashed {ended} of 40 upstreams");
}

#[test]
fn known_to_the_fleet() {
    for keep_names in [false, true] {
        let fleet = Fleet::start(FleetOptions { keep_names, ..FleetOptions::default() });
        let served = repeat_fatal(&fleet, "all", 18);
        let (late, ended) = (fleet.late_sends(), fleet.ends().len());
        assert!(
            late <= MAX_LATE_SENDS,
            "{late} sends after every daemon had to know, {ended} upstreams crashed"
        );
        assert!(ended <= SHARDS + 2 * MAX_TRIALS, "{ended} upstreams crashed");
        assert!(served > 0.95, "{served} of the ordinary requests were answered");
        let answer = fleet.send_fatal(1, "all", 99);
        assert_eq!((answer.status, code(&answer).as_str()), (503, "HF2014"));
        let wait: f64 = answer.header("retry-after").parse().expect("the answer has a retry time");
        assert!((1.0..=30.0).contains(&wait), "{wait}");
    }
}

#[test]
fn one_service_known() {
    let fleet = Fleet::start(FleetOptions { single_upstreams: 6, ..FleetOptions::default() });
    let served = repeat_fatal(&fleet, "one", 18);
    let (late, ended) = (fleet.late_sends(), fleet.ends().len());
    assert!(late <= MAX_LATE_SENDS, "{late} sends after every daemon had to know, {ended} upstreams crashed");
    assert!(ended <= 3 + MAX_TRIALS, "{ended} upstreams crashed");
    assert!(served > 0.95, "{served} of the ordinary requests were answered");
}

#[test]
fn all_daemons_at_once() {
    // The request is sent to every daemon simultaneously, twice.
    let fleet = Fleet::start(FleetOptions::default());
    for round in 0..2 {
        std::thread::scope(|scope| {
            for daemon in 0..fleet.daemons.len() {
                let fleet = &fleet;
                scope.spawn(move || fleet.send_fatal(daemon, "all", round * 10 + daemon));
            }
        });
        std::thread::sleep(DOWNTIME + PROPAGATION_TIME);
    }
    let late = fleet.late_sends();
    assert!(late <= MAX_LATE_SENDS, "{late} sends after every daemon had to know");
}

#[test]
fn known_to_who_joins() {
    let mut fleet = Fleet::start(FleetOptions::default());
    let withheld = |number: usize| {
        let answer = fleet.send_fatal(number % fleet.daemons.len(), "all", number);
        std::thread::sleep(DOWNTIME);
        code(&answer) == "HF2014"
    };
    assert!((0..8).any(withheld), "the request is recognized and withheld");
    fleet.join("z2");
    let joined = fleet.daemons.len() - 1;
    let serves =
        || crate::site_support::request_at(&fleet.daemons[joined], "/all/x", "x", 2000).status == 200;
    crate::support::await_true("the joining daemon serves", serves);
    let before = fleet.fatal_attempts().len();
    let answer = fleet.send_fatal(joined, "all", 50);
    assert_eq!((answer.status, code(&answer).as_str()), (503, "HF2014"));
    assert_eq!(fleet.fatal_attempts().len(), before, "the request runs on no upstream");
}

#[test]
fn one_trial_in_the_fleet() {
    // Three or four upstreams of a service have crashed. Then the request is sent to all daemons
    // simultaneously, and only one of them tries it, on one upstream at a time.
    let fleet = Fleet::start(FleetOptions { single_upstreams: 9, ..FleetOptions::default() });
    fleet.send_fatal(0, "one", 0);
    fleet.send_fatal(1, "one", 1);
    let before = fleet.fatal_attempts().len();
    // Each request crashes two upstreams, but the second one crashes only one if its daemon has
    // received the report of the first two crashes by then.
    assert!((3..=4).contains(&before), "{before} upstreams crashed");
    std::thread::sleep(Duration::from_millis(600));
    std::thread::scope(|scope| {
        for daemon in 0..fleet.daemons.len() {
            let fleet = &fleet;
            scope.spawn(move || fleet.send_fatal(daemon, "one", 10 + daemon));
        }
    });
    // A request that waited for the first trial may be run as the second one, which decides.
    let trials: Vec<Instant> = fleet.fatal_attempts().iter().skip(before).map(|attempt| attempt.at).collect();
    assert!((1..=2).contains(&trials.len()), "{} trials", trials.len());
    let apart = trials.windows(2).all(|two| two[1] - two[0] >= Duration::from_millis(250));
    assert!(apart, "two trials overlapped");
}
