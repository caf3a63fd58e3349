//! Requests that are asked many times a second beside upstreams that crash for reasons of
//! their own.

use std::time::Duration;

use crate::crashing_support::Callers;
use crate::crashing_support::Fleet;
use crate::crashing_support::GONE;
use crate::crashing_support::Shape;
use crate::site_support::ask_at;
use crate::support::Daemon;
use crate::support::await_true;

#[test]
fn crashes_of_their_own() {
    // Thirteen of 40 upstreams end together, three times, while the same sweep is asked
    // many times a second: it is not what ends them, and it is not refused for it.
    let fleet = Fleet::start(Shape::default());
    let hot = Callers::start(&fleet, Duration::from_millis(30), |_| "/all/hot".to_owned());
    for round in 0..3 {
        std::thread::sleep(Duration::from_secs(1));
        fleet.upstreams.iter().skip(round).step_by(3).take(13).for_each(standin::CrashingSearcher::crash);
        std::thread::sleep(GONE);
    }
    let answers = hot.stop();
    let refused = answers.iter().filter(|answered| answered.code == "HF2014").count();
    assert_eq!(refused, 0, "of {} hot requests", answers.len());
    let served = answers.iter().filter(|answered| answered.status == 200).count();
    assert!(served * 10 > answers.len() * 6, "{served} of {} are answered", answers.len());
}

#[test]
fn suspected_wrongly() {
    // A request that is in flight at many upstreams while all of them crash looks as if it
    // were what ends them. It is tried on one, and served, when it comes again.
    let fleet = Fleet::start(Shape::default());
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| ask_at(&fleet.daemons[0], "/all/unlucky", "u1", 2000));
        let begun = || fleet.upstreams.iter().flat_map(standin::CrashingSearcher::started);
        await_true("it runs", || begun().filter(|begun| begun.target == "/all/unlucky").count() >= 12);
        fleet.upstreams.iter().for_each(standin::CrashingSearcher::crash);
        asked.join().expect("it is answered");
    });
    std::thread::sleep(GONE);
    let serves = |daemon: &Daemon| ask_at(daemon, "/all/other", "o", 2000).header("missing-parts") == "0";
    await_true("others are served", || fleet.daemons.iter().all(serves));
    for (number, daemon) in fleet.daemons.iter().enumerate().rev() {
        let answer = ask_at(daemon, "/all/unlucky", &format!("v{number}"), 2000);
        let said = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "0"), "daemon {number}: {said}");
    }
}
