//! The outcome "not run" is given only to requests that ran on no upstream.

use std::thread;
use std::time::Duration;

use serde_json::json;
use standin::Fault;

use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::outcome::Outcome;

#[test]
fn all_shed() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| b.shed_ms = Some(5000));
    let answer = cluster.query(0);
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.code, Code::AllRefused);
    assert!(answer.retry_after.is_some(), "the answer has a retry time");
    assert_eq!(cluster.upstreams.tally().ran, 0);
    let received = cluster.upstreams.tally().taken;
    cluster.query(0);
    assert_eq!(
        cluster.upstreams.tally().taken,
        received,
        "an upstream that sheds load is not retried before its retry time"
    );
}

#[test]
fn refused_after_begin() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| b.fault = Fault::RefuseBegun);
    let answer = cluster.query(0);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
    assert!(cluster.upstreams.tally().ran > 0);
}

#[test]
fn written_unanswered() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| b.frozen = true);
    let answer = cluster.query(0);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
    assert_eq!(answer.code, Code::DeadlinePassed);
}

#[test]
fn closed_after_write() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| b.fault = Fault::Lose);
    let answer = cluster.query(0);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
}

#[test]
fn no_configuration() {
    let cluster = Cluster::start(0, "");
    cluster.platform.set_down(0, true);
    let daemon = Daemon::start(&cluster.settings("join-ms = 300\n"));
    let answer = send_lookup(daemon.addresses.callers, "parcels", &json!({ "query": 1 })).expect("an answer");
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.code, Code::NoConfiguration);
    cluster.platform.set_down(0, false);
    crate::support::await_true("the daemon recovers", || {
        let answer = send_lookup(daemon.addresses.callers, "parcels", &json!({ "query": 1 }));
        answer.is_some_and(|answer| answer.code == Code::Whole)
    });
}

#[test]
fn woken_daemon() {
    // A daemon that resumes after a pause gives a true outcome, whether or not it runs the
    // request that waited in its socket.
    let cluster = Cluster::start(1, "");
    cluster.query(0);
    // By then the first request's hedges have run or been cancelled, so they are not counted.
    crate::support::await_true("no attempt is in flight", || {
        let status = cluster.daemons[0].status();
        let mut upstreams = status.workers.values().flat_map(|worker| &worker.upstreams);
        status.lookups.contains_key("parcels") && upstreams.all(|upstream| upstream.running == 0)
    });
    cluster.daemons[0].signal("STOP");
    let to = cluster.daemons[0].addresses.callers;
    let before = cluster.upstreams.tally().ran;
    let thread = thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": "woken" })));
    thread::sleep(Duration::from_millis(1500));
    cluster.daemons[0].signal("CONT");
    let answer = thread.join().expect("the thread does not panic").expect("an answer");
    let ran = cluster.upstreams.tally().ran - before;
    match answer.outcome {
        Outcome::NotRun => assert_eq!(ran, 0),
        Outcome::Answered => assert!(ran >= 3),
        Outcome::MayHaveRun => {}
    }
}
