//! Requests that are sent many times a second while upstreams crash for unrelated reasons.

use std::time::Duration;
use std::time::Instant;

use crate::crashing_support::Callers;
use crate::crashing_support::DOWNTIME;
use crate::crashing_support::Fleet;
use crate::crashing_support::FleetOptions;
use crate::crashing_support::Others;
use crate::crashing_support::code;
use crate::site_support::begin;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;
use harefield::domain::event::Event;
use harefield::domain::event::Record;

#[test]
fn unrelated_crashes() {
    crash_together(FleetOptions::default());
}

#[test]
fn crashes_beside_failures() {
    // An upstream's own failure clears nothing, so that the answers of others have to.
    crash_together(FleetOptions { others: Others::Fail, ..FleetOptions::default() });
}

/// Crashes thirteen of 40 upstreams together, three times, while the same sweep is sent many times a
/// second. The sweep does not cause the crashes and must not be refused.
fn crash_together(options: FleetOptions) {
    let fleet = Fleet::start(options);
    let hot = Callers::start(&fleet, Duration::from_millis(30), |_| "/all/hot".to_owned());
    for round in 0..3 {
        std::thread::sleep(Duration::from_secs(1));
        fleet.upstreams.iter().skip(round).step_by(3).take(13).for_each(standin::CrashingSearcher::crash);
        std::thread::sleep(DOWNTIME);
    }
    let answers = hot.stop();
    let refused = answers.iter().filter(|answered| answered.code == "HF2014").count();
    assert_eq!(refused, 0, "of {} hot requests", answers.len());
    let served = answers.iter().filter(|answered| answered.status == 200).count();
    assert!(served * 10 > answers.len() * 6, "{served} of {} are answered", answers.len());
}

#[test]
fn abandoned_then_repeated() {
    // Each caller leaves before its first answer, and repeats its request, while upstreams crash for
    // unrelated reasons. No repetition is refused because of the attempt that was left.
    let fleet = Fleet::start(FleetOptions::default());
    let (mut answers, mut round) = (Vec::new(), Instant::now());
    for number in 0..200 {
        if round.elapsed() > DOWNTIME + Duration::from_secs(1) {
            round = Instant::now();
            fleet.upstreams.iter().skip(number % 3).step_by(3).for_each(standin::CrashingSearcher::crash);
        }
        let (daemon, path) = (&fleet.daemons[number % fleet.daemons.len()], format!("/all/left-{number}"));
        let left = begin(daemon, &path, &format!("l{number}"));
        std::thread::sleep(Duration::from_millis(5));
        drop(left);
        answers.push(request_at(daemon, &path, &format!("r{number}"), 1000));
    }
    let refused = answers.iter().filter(|answer| code(answer) == "HF2014").count();
    assert_eq!(refused, 0, "of {} repeated requests", answers.len());
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served * 10 > answers.len() * 9, "{served} of {} are answered", answers.len());
}

#[test]
fn left_trial_clears() {
    // A harmless request that is suspected wrongly is cleared by its trial, whether or not the caller
    // waits for it.
    let fleet = Fleet::start(FleetOptions::default());
    let suspected = |path: &String| {
        suspect_wrongly(&fleet, path);
        has_event(&fleet, |record| matches!(record.event, Event::WorkSuspected { .. }))
    };
    // On a busy machine an upstream may have answered before all crashed.
    let paths = (0..5).map(|number| format!("/all/unlucky-{number}"));
    let path = paths.into_iter().find(suspected).expect("one is suspected");
    for number in 0..4 {
        let left = begin(&fleet.daemons[number % 3], &path, &format!("l{number}"));
        std::thread::sleep(Duration::from_millis(5));
        drop(left);
        std::thread::sleep(Duration::from_millis(400));
    }
    let cleared = has_event(&fleet, |record| {
        let left = record.request.as_deref().is_some_and(|request| request.starts_with('l'));
        left && matches!(record.event, Event::EvidenceCleared { .. })
    });
    assert!(cleared, "a trial whose caller had left clears it");
    let answer = request_at(&fleet.daemons[1], &path, "r", 2000);
    assert_eq!((answer.status, answer.header("missing-parts")), (200, "0"));
}

#[test]
fn suspected_wrongly() {
    // A request that is in flight at many upstreams when all of them crash looks like the cause.
    // When it is repeated, it is tried on one upstream, succeeds, and is served.
    let fleet = Fleet::start(FleetOptions::default());
    suspect_wrongly(&fleet, "/all/unlucky");
    for (number, daemon) in fleet.daemons.iter().enumerate().rev() {
        let answer = request_at(daemon, "/all/unlucky", &format!("v{number}"), 2000);
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "0"), "daemon {number}: {body}");
    }
}

/// Returns whether a daemon recorded such an event.
fn has_event(fleet: &Fleet, wanted: impl Fn(&Record) -> bool) -> bool {
    fleet.daemons.iter().any(|daemon| daemon.timeline("").iter().any(&wanted))
}

/// Crashes all upstreams while a harmless request is in flight at most of its own, and waits until
/// others are served again.
fn suspect_wrongly(fleet: &Fleet, path: &str) {
    std::thread::scope(|scope| {
        let request = scope.spawn(|| request_at(&fleet.daemons[0], path, "u1", 2000));
        let attempts = || fleet.upstreams.iter().flat_map(standin::CrashingSearcher::started);
        await_true("the request runs", || attempts().filter(|attempt| attempt.target == path).count() >= 12);
        fleet.upstreams.iter().for_each(standin::CrashingSearcher::crash);
        request.join().expect("the request is answered");
    });
    std::thread::sleep(DOWNTIME);
    let serves = |daemon: &Daemon| request_at(daemon, "/all/other", "o", 2000).header("missing-parts") == "0";
    await_true("others are served", || fleet.daemons.iter().all(serves));
}
