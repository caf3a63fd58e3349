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

use crate::crashing_support::Callers;
use crate::crashing_support::Fleet;
use crate::crashing_support::GONE;
use crate::crashing_support::KNOWN_WITHIN;
use crate::crashing_support::SHARDS;
use crate::crashing_support::Shape;
use crate::crashing_support::code;

/// How many upstreams may crash besides the first one of each shard before the request is
/// withheld: one in the trial on a single upstream, and one more if two daemons try it at once.
const TRIED: usize = 2;

/// The number of later sends that the users accept.
const MOST_LATE: usize = 3;

/// The pause between two repetitions of the fatal request.
const AGAIN: Duration = Duration::from_millis(400);

/// Sends a fatal request repeatedly, to each daemon in turn, during ordinary traffic; returns
/// the share of later ordinary requests that were answered with 200.
fn come_again(fleet: &Fleet, path: &'static str, times: usize) -> f64 {
    let ordinary = Callers::start(fleet, Duration::from_millis(75), |number| format!("/all/own-{number}"));
    let begun = Instant::now();
    for number in 0..times {
        fleet.ask_fatal(number % fleet.daemons.len(), path, number);
        std::thread::sleep(AGAIN);
    }
    let answers = ordinary.stop();
    let later: Vec<_> = answers.iter().filter(|answered| answered.at > begun + KNOWN_WITHIN).collect();
    let served = later.iter().filter(|answered| answered.status == 200).count();
    assert!(later.len() > 20, "too few ordinary requests were sent");
    harefield::domain::ratio(served, later.len())
}

#[test]
fn one_attempt_bounded() {
    let fleet = Fleet::start(Shape::default());
    let answer = fleet.ask_fatal(0, "all", 0);
    assert_eq!(answer.status, 504, "the request may have run");
    let ended = fleet.ends().len();
    assert!(ended <= SHARDS + TRIED, "one request crashed {ended} of 40 upstreams");
}

#[test]
fn known_to_the_fleet() {
    for same in [false, true] {
        let fleet = Fleet::start(Shape { same, ones: 0 });
        let served = come_again(&fleet, "all", 18);
        let (late, ended) = (fleet.late_sends(), fleet.ends().len());
        assert!(late <= MOST_LATE, "{late} sends after every daemon had to know, {ended} upstreams crashed");
        assert!(ended <= SHARDS + 2 * TRIED, "{ended} upstreams crashed");
        assert!(served > 0.95, "{served} of the ordinary requests were answered");
        let answer = fleet.ask_fatal(1, "all", 99);
        assert_eq!((answer.status, code(&answer).as_str()), (503, "HF2014"));
        let wait: f64 = answer.header("retry-after").parse().expect("the answer has a retry time");
        assert!((1.0..=30.0).contains(&wait), "{wait}");
    }
}

#[test]
fn one_service_known() {
    let fleet = Fleet::start(Shape { same: false, ones: 6 });
    let served = come_again(&fleet, "one", 18);
    let (late, ended) = (fleet.late_sends(), fleet.ends().len());
    assert!(late <= MOST_LATE, "{late} sends after every daemon had to know, {ended} upstreams crashed");
    assert!(ended <= 3 + TRIED, "{ended} upstreams crashed");
    assert!(served > 0.95, "{served} of the ordinary requests were answered");
}

#[test]
fn all_daemons_at_once() {
    // The request is sent to every daemon simultaneously, twice.
    let fleet = Fleet::start(Shape::default());
    for round in 0..2 {
        std::thread::scope(|scope| {
            for daemon in 0..fleet.daemons.len() {
                let fleet = &fleet;
                scope.spawn(move || fleet.ask_fatal(daemon, "all", round * 10 + daemon));
            }
        });
        std::thread::sleep(GONE + KNOWN_WITHIN);
    }
    let late = fleet.late_sends();
    assert!(late <= MOST_LATE, "{late} sends after every daemon had to know");
}

#[test]
fn known_to_joining_daemon() {
    let mut fleet = Fleet::start(Shape::default());
    let withheld = |number: usize| {
        let answer = fleet.ask_fatal(number % fleet.daemons.len(), "all", number);
        std::thread::sleep(GONE);
        code(&answer) == "HF2014"
    };
    assert!((0..8).any(withheld), "the request is recognized and withheld");
    fleet.join("z2");
    let joined = fleet.daemons.len() - 1;
    let serves = || crate::site_support::ask_at(&fleet.daemons[joined], "/all/x", "x", 2000).status == 200;
    crate::support::await_true("the joining daemon serves", serves);
    let before = fleet.fatal_begun().len();
    let answer = fleet.ask_fatal(joined, "all", 50);
    assert_eq!((answer.status, code(&answer).as_str()), (503, "HF2014"));
    assert_eq!(fleet.fatal_begun().len(), before, "the request runs on no upstream");
}

#[test]
fn one_trial_in_the_fleet() {
    // Three or four upstreams of a service have crashed. Then the request is sent to all daemons
    // simultaneously, and only one of them tries it, on one upstream at a time.
    let fleet = Fleet::start(Shape { same: false, ones: 9 });
    fleet.ask_fatal(0, "one", 0);
    fleet.ask_fatal(1, "one", 1);
    let before = fleet.fatal_begun().len();
    // Each request crashes two upstreams, but the second one crashes only one if its daemon has
    // received the report of the first two crashes by then.
    assert!((3..=4).contains(&before), "{before} upstreams crashed");
    std::thread::sleep(Duration::from_millis(600));
    std::thread::scope(|scope| {
        for daemon in 0..fleet.daemons.len() {
            let fleet = &fleet;
            scope.spawn(move || fleet.ask_fatal(daemon, "one", 10 + daemon));
        }
    });
    // A request that waited for the first trial may be run as the second one, which decides.
    let trials: Vec<Instant> = fleet.fatal_begun().iter().skip(before).map(|begun| begun.at).collect();
    assert!((1..=2).contains(&trials.len()), "{} trials", trials.len());
    let apart = trials.windows(2).all(|two| two[1] - two[0] >= Duration::from_millis(250));
    assert!(apart, "two trials overlapped");
}
