//! Once-only requests run at most once on each shard, however often they are submitted.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standin::Fault;

use crate::support::Cluster;
use crate::support::await_true;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;

const LABEL: &str = "parcels-once";

/// Obtains a ticket from a daemon, which refuses a once-only request without one.
fn ticket(cluster: &Cluster, daemon: usize) -> String {
    let refused = cluster.lookup(daemon, LABEL, &json!({ "query": "label" }));
    assert_eq!(refused.code, Code::TicketRequired);
    assert_eq!(refused.outcome, Outcome::NotRun);
    refused.ticket.expect("a ticket is given")
}

fn submit(cluster: &Cluster, daemon: usize, ticket: &str) -> Answer {
    cluster.lookup(daemon, LABEL, &json!({ "query": "label", "ticket": ticket }))
}

/// Returns the highest number of runs of one request on one shard.
fn max_runs(cluster: &Cluster) -> u64 {
    cluster.upstreams.runs().values().copied().max().unwrap_or(0)
}

fn total_runs(cluster: &Cluster) -> u64 {
    cluster.upstreams.tally().ran
}

#[test]
fn ticket_first() {
    let cluster = Cluster::start(1, "");
    let ticket = ticket(&cluster, 0);
    assert_eq!(total_runs(&cluster), 0, "nothing ran without a ticket");
    let answer = submit(&cluster, 0, &ticket);
    assert_eq!(answer.code, Code::Whole);
    assert_eq!(total_runs(&cluster), 3);
}

#[test]
fn sent_again_elsewhere() {
    let cluster = Cluster::start(3, "");
    let ticket = ticket(&cluster, 0);
    let first = submit(&cluster, 0, &ticket);
    for daemon in 0..3 {
        let again = submit(&cluster, daemon, &ticket);
        assert_eq!(again.request, first.request, "the first outcome is returned");
        assert_eq!(again.code, Code::Whole);
    }
    assert_eq!(total_runs(&cluster), 3, "each shard ran it once");
}

#[test]
fn sent_at_once() {
    let cluster = Cluster::start(3, "");
    let ticket = ticket(&cluster, 1);
    let threads: Vec<_> = (0..9)
        .map(|n| {
            let (to, ticket) = (cluster.daemons[n % 3].addresses.callers, ticket.clone());
            thread::spawn(move || send_lookup(to, LABEL, &json!({ "query": "label", "ticket": ticket })))
        })
        .collect();
    for thread in threads {
        let answer = thread.join().expect("the thread does not panic").expect("an answer");
        assert_eq!(answer.code, Code::Whole);
    }
    assert_eq!(total_runs(&cluster), 3);
}

#[test]
fn daemon_killed() {
    let mut cluster = Cluster::start(3, "");
    let ticket = ticket(&cluster, 0);
    assert_eq!(submit(&cluster, 0, &ticket).code, Code::Whole);
    cluster.daemons[0].signal("KILL");
    cluster.daemons[0].wait();
    let start = Instant::now();
    let again = submit(&cluster, 1, &ticket);
    assert_eq!(again.outcome, Outcome::MayHaveRun);
    assert_eq!(again.code, Code::TicketGone);
    assert!(start.elapsed() < Duration::from_millis(800), "the answer is immediate");
    assert_eq!(total_runs(&cluster), 3);
}

#[test]
fn killed_half_way() {
    let mut cluster = Cluster::start(2, "");
    let ticket = ticket(&cluster, 0);
    cluster.upstreams.change_all(|b| b.service_ms = 300.0);
    let to = cluster.daemons[0].addresses.callers;
    let body = json!({ "query": "label", "ticket": ticket });
    let thread = thread::spawn(move || send_lookup(to, LABEL, &body));
    await_true("the request runs", || total_runs(&cluster) == 3);
    cluster.daemons[0].signal("KILL");
    cluster.daemons[0].wait();
    assert!(thread.join().expect("the thread does not panic").is_none(), "the caller gets no answer");
    let again = submit(&cluster, 1, &ticket);
    assert_eq!(again.outcome, Outcome::MayHaveRun);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(max_runs(&cluster), 1);
}

#[test]
fn frozen_daemon() {
    let cluster = Cluster::start(2, "");
    let ticket = ticket(&cluster, 0);
    cluster.daemons[0].signal("STOP");
    let silent = submit(&cluster, 1, &ticket);
    assert_eq!(silent.outcome, Outcome::MayHaveRun);
    assert_eq!(silent.code, Code::PeerSilent);
    assert_eq!(total_runs(&cluster), 0);
    cluster.daemons[0].signal("CONT");
    // Requests that arrived during the pause are old by now. Whether or not they run, they never
    // run twice.
    thread::sleep(Duration::from_millis(1500));
    let before = total_runs(&cluster);
    assert!(before <= 3);
    let again = submit(&cluster, 1, &ticket);
    assert_ne!(again.code, Code::TicketGone);
    assert!(max_runs(&cluster) <= 1);
    assert!(total_runs(&cluster) <= 3);
}

#[test]
fn lost_reply_not_repeated() {
    let cluster = Cluster::start(1, "");
    cluster.change_service("parcels-01", |b| b.fault = Fault::Lose);
    let ticket = ticket(&cluster, 0);
    let start = Instant::now();
    let answer = submit(&cluster, 0, &ticket);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
    assert_eq!(answer.code, Code::ReplyLost);
    assert!(answer.coverage.missing[0].ran);
    assert!(start.elapsed() < Duration::from_millis(700), "the request ends immediately");
    assert_eq!(max_runs(&cluster), 1, "the other replica is not tried");
}

#[test]
fn slow_not_hedged() {
    let cluster = Cluster::start(1, "");
    for _ in 0..20 {
        cluster.query(0);
    }
    let ticket = ticket(&cluster, 0);
    cluster.upstreams.change_all(|b| b.service_ms = 200.0);
    let before = total_runs(&cluster);
    assert_eq!(submit(&cluster, 0, &ticket).code, Code::Whole);
    assert_eq!(total_runs(&cluster) - before, 3, "a slow once-only request is not hedged");
}

#[test]
fn refused_then_elsewhere() {
    let cluster = Cluster::start(1, "");
    for name in ["parcels-00-0", "parcels-01-0", "parcels-02-0"] {
        cluster.upstreams.change(name, |b| b.shed_ms = Some(2000));
    }
    let ticket = ticket(&cluster, 0);
    let answer = submit(&cluster, 0, &ticket);
    assert_eq!(
        answer.code,
        Code::Whole,
        "an attempt that was rejected before it began may go to another replica"
    );
    assert_eq!(max_runs(&cluster), 1);
}

#[test]
fn not_run_may_be_submitted_again() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| b.shed_ms = Some(1500));
    let ticket = ticket(&cluster, 0);
    let refused = submit(&cluster, 0, &ticket);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(total_runs(&cluster), 0);
    cluster.upstreams.change_all(|b| b.shed_ms = None);
    thread::sleep(Duration::from_millis(1600));
    assert_eq!(submit(&cluster, 0, &ticket).code, Code::Whole);
    assert_eq!(max_runs(&cluster), 1);
}

#[test]
fn other_body_refused() {
    let cluster = Cluster::start(1, "");
    let ticket = ticket(&cluster, 0);
    submit(&cluster, 0, &ticket);
    let other = cluster.lookup(0, LABEL, &json!({ "query": "another label", "ticket": ticket }));
    assert_eq!(other.code, Code::TicketMismatch);
    assert_eq!(total_runs(&cluster), 3);
}

#[test]
fn caller_gone() {
    let cluster = Cluster::start(1, "");
    let ticket = ticket(&cluster, 0);
    cluster.upstreams.change_all(|b| b.service_ms = 150.0);
    let to = cluster.daemons[0].addresses.callers;
    let path = format!("/v1/lookups/{LABEL}");
    let body = json!({ "query": "label", "ticket": ticket }).to_string();
    let gone = standin::Client::once(to, "POST", &path, &body, Duration::from_millis(50));
    assert!(gone.is_none(), "the caller did not wait");
    let answer = submit(&cluster, 0, &ticket);
    assert_eq!(answer.code, Code::Whole, "the outcome is kept for the ticket");
    assert_eq!(total_runs(&cluster), 3);
}
