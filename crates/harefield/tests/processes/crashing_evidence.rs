//! What the ends of attempts prove about a request that crashes its upstreams, while other
//! upstreams fail, callers leave early, or the daemons are killed.

use std::time::Duration;
use std::time::Instant;

use crate::crashing_support::Fleet;
use crate::crashing_support::FleetOptions;
use crate::crashing_support::MAX_LATE_SENDS;
use crate::crashing_support::Others;
use crate::crashing_support::PROPAGATION_TIME;
use crate::crashing_support::REPEAT_INTERVAL;
use crate::crashing_support::during_traffic;

/// How often it is repeated.
const REPEATS: usize = 30;

/// Repeats a fatal request at each daemon in turn, during ordinary traffic, and checks how many
/// upstreams it is still sent to once every daemon has to know it.
fn check_late_sends(options: FleetOptions, path: &'static str, send: impl Fn(&Fleet, usize, usize)) {
    let fleet = Fleet::start(options);
    let answers = during_traffic(&fleet, REPEATS, |daemon, number| {
        let start = Instant::now();
        send(&fleet, daemon, number);
        std::thread::sleep(REPEAT_INTERVAL.saturating_sub(start.elapsed()));
    });
    let served = answers.iter().filter(|answered| answered.status == 200).count();
    let (late, ended) = (fleet.late_sends(), fleet.ends().len());
    println!("{path}: {late} late sends, {ended} crashes, {served} of {} others served", answers.len());
    assert!(late <= MAX_LATE_SENDS, "{late} sends after every daemon had to know, {ended} crashes");
}

/// Repeats a fatal request whose callers wait for their answers.
fn check_answered(options: FleetOptions, path: &'static str) {
    check_late_sends(options, path, |fleet, daemon, number| {
        fleet.send_fatal(daemon, path, number);
    });
}

/// Repeats a fatal request whose callers leave after `patience`.
fn check_abandoned(options: FleetOptions, path: &'static str, patience: Duration) {
    check_late_sends(options, path, |fleet, daemon, number| {
        fleet.leave_fatal(daemon, path, number, patience);
    });
}

fn crashing_after(millis: u64) -> FleetOptions {
    FleetOptions { crash_after: Duration::from_millis(millis), ..FleetOptions::default() }
}

#[test]
fn failure_clears_nothing() {
    check_answered(FleetOptions { others: Others::Fail, ..crashing_after(2) }, "all");
}

#[test]
fn failure_in_one_service() {
    for single_upstreams in [2, 6] {
        check_answered(FleetOptions { others: Others::Fail, single_upstreams, ..crashing_after(2) }, "one");
    }
}

#[test]
fn caller_leaves_first() {
    check_abandoned(crashing_after(30), "all", Duration::from_millis(5));
}

#[test]
fn caller_leaves_one_service() {
    for single_upstreams in [2, 6] {
        let options = FleetOptions { single_upstreams, ..crashing_after(30) };
        check_abandoned(options, "one", Duration::from_millis(5));
    }
}

#[test]
fn caller_leaves_late() {
    check_abandoned(crashing_after(300), "all", Duration::from_millis(200));
}

#[test]
fn daemons_killed_together() {
    // The request comes back only when the new daemons have been up for so long that the users
    // count their sends.
    let mut fleet = Fleet::start(FleetOptions { cautious: true, ..crashing_after(2) });
    for number in 0..4 {
        fleet.send_fatal(number % fleet.daemons.len(), "all", number);
        std::thread::sleep(REPEAT_INTERVAL);
    }
    for number in 4..6 {
        fleet.restart_all();
        std::thread::sleep(PROPAGATION_TIME + Duration::from_secs(1));
        fleet.send_fatal(number % fleet.daemons.len(), "all", number);
    }
    let (late, ended) = (fleet.late_sends(), fleet.ends().len());
    println!("{late} late sends, {ended} crashes");
    assert!(late <= MAX_LATE_SENDS, "{late} sends after every daemon had to know, {ended} crashes");
}

#[test]
fn silent_trials_bounded() {
    // A trial whose upstream stays silent shows nothing, and must not be repeated for ever.
    let options = FleetOptions { single_upstreams: 8, others: Others::StaySilent, ..crashing_after(2) };
    check_abandoned(options, "one", Duration::from_millis(300));
}

#[test]
fn one_trial_host() {
    // Requests that wait at the trial host for their turn must not make it look silent, so that
    // another daemon takes its place.
    let crash_after = Duration::from_millis(700);
    let fleet = Fleet::start(FleetOptions { single_upstreams: 9, crash_after, ..FleetOptions::default() });
    fleet.send_fatal(0, "one", 0);
    fleet.send_fatal(1, "one", 1);
    std::thread::sleep(Duration::from_millis(600));
    let before = fleet.fatal_attempts().len();
    std::thread::scope(|scope| {
        for number in 0..24 {
            let fleet = &fleet;
            scope.spawn(move || fleet.send_fatal(number % fleet.daemons.len(), "one", 10 + number));
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let trials: Vec<Instant> = fleet.fatal_attempts().iter().skip(before).map(|attempt| attempt.at).collect();
    let apart = trials.windows(2).all(|two| two[1] - two[0] >= crash_after);
    assert!(apart, "two of {} trials overlapped", trials.len());
    assert!((1..=2).contains(&trials.len()), "{} trials", trials.len());
}
