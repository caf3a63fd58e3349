//! The outcome "not run" is given only to requests that ran on no upstream.

use std::thread;
use std::time::Duration;

use serde_json::json;
use standin::Fault;

use crate::support::Daemon;
use crate::support::World;
use crate::support::ask;
use harefield::domain::code::Code;
use harefield::domain::outcome::Outcome;

#[test]
fn all_shed() {
    let world = World::start(1, "");
    world.searchers.change_all(|b| b.shed_ms = Some(5000));
    let answer = world.query(0);
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.code, Code::AllRefused);
    assert!(answer.retry_after.is_some(), "the caller is told when to come back");
    assert_eq!(world.searchers.tally().ran, 0);
    let taken = world.searchers.tally().taken;
    world.query(0);
    assert_eq!(
        world.searchers.tally().taken,
        taken,
        "an upstream that sheds load is not retried before its retry time"
    );
}

#[test]
fn refused_after_begin() {
    let world = World::start(1, "");
    world.searchers.change_all(|b| b.fault = Fault::RefuseBegun);
    let answer = world.query(0);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
    assert!(world.searchers.tally().ran > 0);
}

#[test]
fn written_unanswered() {
    let world = World::start(1, "");
    world.searchers.change_all(|b| b.frozen = true);
    let answer = world.query(0);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
    assert_eq!(answer.code, Code::DeadlinePassed);
}

#[test]
fn closed_after_write() {
    let world = World::start(1, "");
    world.searchers.change_all(|b| b.fault = Fault::Lose);
    let answer = world.query(0);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
}

#[test]
fn no_configuration() {
    let world = World::start(0, "");
    world.platform.set_down(0, true);
    let daemon = Daemon::start(&world.settings("join-ms = 300\n"));
    let answer = ask(daemon.addresses.callers, "parcels", &json!({ "query": 1 })).expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.code, Code::NoConfiguration);
    world.platform.set_down(0, false);
    crate::support::await_true("the daemon recovers", || {
        let answer = ask(daemon.addresses.callers, "parcels", &json!({ "query": 1 }));
        answer.is_some_and(|answer| answer.code == Code::Whole)
    });
}

#[test]
fn resumed_daemon() {
    // A daemon that resumes after a pause gives a true outcome, whether or not it runs the
    // request that waited in its socket.
    let world = World::start(1, "");
    world.query(0);
    // By then the first request's hedges have run or been cancelled, so they are not counted.
    crate::support::await_true("no attempt is in flight", || {
        let status = world.daemons[0].status();
        let mut upstreams = status.workers.values().flat_map(|worker| &worker.upstreams);
        status.lookups.contains_key("parcels") && upstreams.all(|upstream| upstream.running == 0)
    });
    world.daemons[0].signal("STOP");
    let to = world.daemons[0].addresses.callers;
    let before = world.searchers.tally().ran;
    let asker = thread::spawn(move || ask(to, "parcels", &json!({ "query": "woken" })));
    thread::sleep(Duration::from_millis(1500));
    world.daemons[0].signal("CONT");
    let answer = asker.join().expect("no panic").expect("an answer");
    let ran = world.searchers.tally().ran - before;
    match answer.outcome {
        Outcome::NotRun => assert_eq!(ran, 0),
        Outcome::Answered => assert!(ran >= 3),
        Outcome::MayHaveRun => {}
    }
}
