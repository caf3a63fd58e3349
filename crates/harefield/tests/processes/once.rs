//! Once-only requests run at most once on each shard, however often they are submitted.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standin::Fault;

use crate::support::World;
use crate::support::ask;
use crate::support::await_true;
use harefield::domain::code::Code;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;

const LABEL: &str = "parcels-once";

/// Obtains a ticket from a daemon, which refuses a once-only request without one.
fn ticket(world: &World, daemon: usize) -> String {
    let refused = world.ask(daemon, LABEL, &json!({ "query": "label" }));
    assert_eq!(refused.code, Code::TicketRequired);
    assert_eq!(refused.outcome, Outcome::NotRun);
    refused.ticket.expect("a ticket is given")
}

fn submit(world: &World, daemon: usize, ticket: &str) -> Answer {
    world.ask(daemon, LABEL, &json!({ "query": "label", "ticket": ticket }))
}

/// Returns the highest number of runs of one request on one shard.
fn most_runs(world: &World) -> u64 {
    world.searchers.runs().values().copied().max().unwrap_or(0)
}

fn total_runs(world: &World) -> u64 {
    world.searchers.tally().ran
}

#[test]
fn ticket_first() {
    let world = World::start(1, "");
    let ticket = ticket(&world, 0);
    assert_eq!(total_runs(&world), 0, "nothing ran without a ticket");
    let answer = submit(&world, 0, &ticket);
    assert_eq!(answer.code, Code::Whole);
    assert_eq!(total_runs(&world), 3);
}

#[test]
fn sent_again_elsewhere() {
    let world = World::start(3, "");
    let ticket = ticket(&world, 0);
    let first = submit(&world, 0, &ticket);
    for daemon in 0..3 {
        let again = submit(&world, daemon, &ticket);
        assert_eq!(again.request, first.request, "the first outcome is returned");
        assert_eq!(again.code, Code::Whole);
    }
    assert_eq!(total_runs(&world), 3, "each shard ran it once");
}

#[test]
fn sent_at_once() {
    let world = World::start(3, "");
    let ticket = ticket(&world, 1);
    let threads: Vec<_> = (0..9)
        .map(|n| {
            let (to, ticket) = (world.daemons[n % 3].addresses.callers, ticket.clone());
            thread::spawn(move || ask(to, LABEL, &json!({ "query": "label", "ticket": ticket })))
        })
        .collect();
    for thread in threads {
        let answer = thread.join().expect("no panic").expect("an answer");
        assert_eq!(answer.code, Code::Whole);
    }
    assert_eq!(total_runs(&world), 3);
}

#[test]
fn daemon_killed() {
    let mut world = World::start(3, "");
    let ticket = ticket(&world, 0);
    assert_eq!(submit(&world, 0, &ticket).code, Code::Whole);
    world.daemons[0].signal("KILL");
    world.daemons[0].wait();
    let begun = Instant::now();
    let again = submit(&world, 1, &ticket);
    assert_eq!(again.outcome, Outcome::MayHaveRun);
    assert_eq!(again.code, Code::TicketGone);
    assert!(begun.elapsed() < Duration::from_millis(800), "the answer is immediate");
    assert_eq!(total_runs(&world), 3);
}

#[test]
fn killed_half_way() {
    let mut world = World::start(2, "");
    let ticket = ticket(&world, 0);
    world.searchers.change_all(|b| b.service_ms = 300.0);
    let to = world.daemons[0].addresses.callers;
    let body = json!({ "query": "label", "ticket": ticket });
    let asker = thread::spawn(move || ask(to, LABEL, &body));
    await_true("it runs", || total_runs(&world) == 3);
    world.daemons[0].signal("KILL");
    world.daemons[0].wait();
    assert!(asker.join().expect("no panic").is_none(), "the caller gets no answer");
    let again = submit(&world, 1, &ticket);
    assert_eq!(again.outcome, Outcome::MayHaveRun);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(most_runs(&world), 1);
}

#[test]
fn frozen_daemon() {
    let world = World::start(2, "");
    let ticket = ticket(&world, 0);
    world.daemons[0].signal("STOP");
    let silent = submit(&world, 1, &ticket);
    assert_eq!(silent.outcome, Outcome::MayHaveRun);
    assert_eq!(silent.code, Code::PeerSilent);
    assert_eq!(total_runs(&world), 0);
    world.daemons[0].signal("CONT");
    // Requests that arrived during the pause are old by now. Whether or not they run, they never
    // run twice.
    thread::sleep(Duration::from_millis(1500));
    let before = total_runs(&world);
    assert!(before <= 3);
    let again = submit(&world, 1, &ticket);
    assert_ne!(again.code, Code::TicketGone);
    assert!(most_runs(&world) <= 1);
    assert!(total_runs(&world) <= 3);
}

#[test]
fn lost_reply_not_repeated() {
    let world = World::start(1, "");
    world.change_service("parcels-01", |b| b.fault = Fault::Lose);
    let ticket = ticket(&world, 0);
    let begun = Instant::now();
    let answer = submit(&world, 0, &ticket);
    assert_eq!(answer.outcome, Outcome::MayHaveRun);
    assert_eq!(answer.code, Code::ReplyLost);
    assert!(answer.coverage.missing[0].ran);
    assert!(begun.elapsed() < Duration::from_millis(700), "the request ends immediately");
    assert_eq!(most_runs(&world), 1, "the other replica is not tried");
}

#[test]
fn slow_not_hedged() {
    let world = World::start(1, "");
    for _ in 0..20 {
        world.query(0);
    }
    let ticket = ticket(&world, 0);
    world.searchers.change_all(|b| b.service_ms = 200.0);
    let before = total_runs(&world);
    assert_eq!(submit(&world, 0, &ticket).code, Code::Whole);
    assert_eq!(total_runs(&world) - before, 3, "a slow once-only request is not hedged");
}

#[test]
fn refused_then_elsewhere() {
    let world = World::start(1, "");
    for name in ["parcels-00-0", "parcels-01-0", "parcels-02-0"] {
        world.searchers.change(name, |b| b.shed_ms = Some(2000));
    }
    let ticket = ticket(&world, 0);
    let answer = submit(&world, 0, &ticket);
    assert_eq!(
        answer.code,
        Code::Whole,
        "an attempt that was rejected before it began may go to another replica"
    );
    assert_eq!(most_runs(&world), 1);
}

#[test]
fn not_run_may_be_submitted_again() {
    let world = World::start(1, "");
    world.searchers.change_all(|b| b.shed_ms = Some(1500));
    let ticket = ticket(&world, 0);
    let refused = submit(&world, 0, &ticket);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(total_runs(&world), 0);
    world.searchers.change_all(|b| b.shed_ms = None);
    thread::sleep(Duration::from_millis(1600));
    assert_eq!(submit(&world, 0, &ticket).code, Code::Whole);
    assert_eq!(most_runs(&world), 1);
}

#[test]
fn other_body_refused() {
    let world = World::start(1, "");
    let ticket = ticket(&world, 0);
    submit(&world, 0, &ticket);
    let other = world.ask(0, LABEL, &json!({ "query": "another label", "ticket": ticket }));
    assert_eq!(other.code, Code::TicketMismatch);
    assert_eq!(total_runs(&world), 3);
}

#[test]
fn caller_gone() {
    let world = World::start(1, "");
    let ticket = ticket(&world, 0);
    world.searchers.change_all(|b| b.service_ms = 150.0);
    let to = world.daemons[0].addresses.callers;
    let path = format!("/v1/lookups/{LABEL}");
    let body = json!({ "query": "label", "ticket": ticket }).to_string();
    let gone = standin::Client::once(to, "POST", &path, &body, Duration::from_millis(50));
    assert!(gone.is_none(), "the caller did not wait");
    let answer = submit(&world, 0, &ticket);
    assert_eq!(answer.code, Code::Whole, "the outcome is kept for the ticket");
    assert_eq!(total_runs(&world), 3);
}
