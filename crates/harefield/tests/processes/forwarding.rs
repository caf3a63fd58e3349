//! Cells smaller than the fleet: daemons that are not members forward requests to a member.

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;

use crate::support::Daemon;
use crate::support::World;
use crate::support::ask;
use crate::support::await_true;
use harefield::domain::cell::weight;
use harefield::domain::code::Code;
use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::event::Record;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;

const SMALL_CELL: &str = "[routing]\ncell-size = 2\n";

/// Returns the indexes of the daemons that have sent requests to upstreams.
fn members(world: &World) -> Vec<usize> {
    let fanned = |n: &usize| world.daemons[*n].status().workers.values().any(|w| w.first > 0);
    (0..world.daemons.len()).filter(fanned).collect()
}

/// Starts six threads that send one lookup each.
fn begin_six(to: SocketAddr) -> Vec<JoinHandle<Option<Answer>>> {
    (0..6).map(|_| thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })))).collect()
}

/// Starts daemons of which two are members; returns the members and one daemon that is not.
fn start_small(count: usize, settings: &str) -> (World, Vec<usize>, usize) {
    let world = World::start(count, settings);
    for daemon in 0..count {
        for _ in 0..3 {
            world.query(daemon);
        }
    }
    await_true("the members report their requests", || members(&world).len() == 2);
    let inside = members(&world);
    let outside = (0..count).find(|n| !inside.contains(n)).expect("one daemon is not a member");
    (world, inside, outside)
}

#[test]
fn forwarded_once() {
    let world = World::start(5, SMALL_CELL);
    for daemon in 0..5 {
        for _ in 0..4 {
            let answer = world.query(daemon);
            assert_eq!(answer.code, Code::Whole);
            assert_eq!(answer.coverage.contributed.len(), 3);
        }
    }
    await_true("the members report their requests", || members(&world).len() == 2);
    let forwards: usize = world.daemons.iter().map(|d| d.timeline("kind=forwarded").len()).sum();
    assert_eq!(forwards, 12, "three of five daemons forward each of their four requests once");
}

#[test]
fn member_killed() {
    let (mut world, inside, outside) = start_small(4, SMALL_CELL);
    world.searchers.change_all(|b| b.service_ms = 200.0);
    let to = world.daemons[outside].addresses.callers;
    let askers = begin_six(to);
    await_true("the requests run", || world.searchers.tally().ran > 40);
    world.daemons[inside[0]].signal("KILL");
    world.daemons[inside[0]].wait();
    for asker in askers {
        let answer = asker.join().expect("no panic").expect("an answer");
        assert_eq!(answer.code, Code::Whole, "the other member gives the answer");
    }
}

#[test]
fn refused_after_silence() {
    // A member is killed while it runs requests, and all upstreams reject the attempts of the
    // next member. The answer may not be "not run", as the first member may have run them.
    let (mut world, inside, outside) = start_small(4, &format!("{SMALL_CELL}hedge = false\n"));
    world.searchers.change_all(|b| b.service_ms = 600.0);
    let to = world.daemons[outside].addresses.callers;
    let before = world.searchers.tally().ran;
    let askers = begin_six(to);
    // Six requests to three shards each, without hedges.
    await_true("all attempts have begun", || world.searchers.tally().ran >= before + 18);
    world.searchers.change_all(|b| b.shed_ms = Some(3000));
    world.daemons[inside[0]].signal("KILL");
    world.daemons[inside[0]].wait();
    let answers = askers.into_iter().map(|asker| asker.join().expect("no panic").expect("an answer"));
    let outcomes: Vec<Outcome> = answers.map(|answer| answer.outcome).collect();
    assert!(!outcomes.contains(&Outcome::NotRun), "{outcomes:?}");
    assert!(outcomes.contains(&Outcome::MayHaveRun), "{outcomes:?}");
}

#[test]
fn member_frozen() {
    let (world, inside, outside) = start_small(3, SMALL_CELL);
    world.daemons[inside[0]].signal("STOP");
    for _ in 0..6 {
        let answer = world.query(outside);
        assert_eq!(answer.code, Code::Whole, "the other member answers before the deadline");
    }
}

#[test]
fn paused_while_forwarding() {
    // A daemon that is paused past the deadline of a request that it forwarded serves again.
    let world = World::start(3, "[routing]\ncell-size = 1\n");
    for daemon in 0..3 {
        world.query(daemon);
    }
    await_true("the members report their requests", || members(&world).len() == 1);
    let inside = members(&world)[0];
    let outside = (0..3).find(|n| *n != inside).expect("two daemons are not members");
    world.searchers.change_all(|b| b.service_ms = 2500.0);
    let to = world.daemons[outside].addresses.callers;
    let asker = thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })));
    await_true("it runs", || world.searchers.tally().ran > 9);
    world.daemons[outside].signal("STOP");
    thread::sleep(Duration::from_secs(3));
    world.daemons[outside].signal("CONT");
    drop(asker.join().expect("no panic"));
    world.searchers.change_all(|b| b.service_ms = 1.0);
    await_true("the resumed daemon serves", || {
        ask(to, "parcels", &json!({ "query": 2 })).is_some_and(|answer| answer.code == Code::Whole)
    });
}

#[test]
fn ticket_of_member() {
    let world = World::start(4, "[routing]\ncell-size = 1\n");
    for daemon in 0..4 {
        let refused = world.ask(daemon, "parcels-once", &json!({ "query": daemon }));
        let ticket = refused.ticket.expect("a ticket is given");
        let body = json!({ "query": daemon, "ticket": ticket });
        let other = (daemon + 1) % 4;
        assert_eq!(world.ask(other, "parcels-once", &body).code, Code::Whole);
        let again = world.ask(daemon, "parcels-once", &body);
        assert_eq!(again.outcome, Outcome::Answered);
    }
    assert_eq!(world.searchers.tally().ran, 12, "four tickets, three shards, once each");
}

#[test]
fn queued_are_forwarded() {
    // Requests are queued at the gate of a member when the cell moves to another daemon. They
    // are forwarded, as the former member may no longer send to upstreams.
    let settings = "[routing]\ncell-size = 1\n[limits]\nrunning = 2\n";
    let world = World::start(1, settings);
    let weight = |daemon: &Daemon| weight("parcels", &daemon.addresses.peers.to_string());
    let own = weight(&world.daemons[0]);
    let heavier = std::iter::repeat_with(|| Daemon::start(&world.settings(settings)));
    let next = heavier.into_iter().find(|daemon| weight(daemon) > own).expect("ports differ");
    world.searchers.change_all(|b| b.service_ms = 250.0);
    let to = world.daemons[0].addresses.callers;
    let askers = begin_six(to);
    thread::sleep(Duration::from_millis(80));
    world.list_daemon(&next, "live");
    for asker in askers {
        let answer = asker.join().expect("no panic").expect("an answer");
        assert_eq!(answer.code, Code::Whole, "{:?}", answer.coverage);
    }
}

#[test]
fn views_differ() {
    // The host list changes while requests are forwarded: answers stay whole.
    let mut world = World::start(3, "[routing]\ncell-size = 1\n");
    let callers: Vec<_> = world.daemons.iter().map(|d| d.addresses.callers).collect();
    let askers: Vec<_> = callers
        .into_iter()
        .map(|to| {
            thread::spawn(move || {
                for _ in 0..150 {
                    let answer = ask(to, "parcels", &json!({ "query": 1 })).expect("an answer");
                    assert_eq!(answer.code, Code::Whole, "{:?}", answer.coverage);
                }
            })
        })
        .collect();
    for _ in 0..3 {
        world.add_daemon();
        thread::sleep(Duration::from_millis(100));
    }
    for asker in askers {
        asker.join().expect("no answer is lost");
    }
}

#[test]
fn complete_timeline() {
    let world = World::start(3, "[routing]\ncell-size = 1\n");
    let answers: Vec<_> = (0..3).map(|daemon| world.query(daemon)).collect();
    thread::sleep(Duration::from_millis(200));
    let mut forwarded = 0;
    for answer in answers {
        let query = format!("request={}", answer.request);
        let records: Vec<_> = world.daemons.iter().flat_map(|d| d.timeline(&query)).collect();
        let first = |r: &&Record| matches!(r.event, Event::Sent { cause: Cause::First, .. });
        let sent = records.iter().filter(first).count();
        assert_eq!(sent, 3, "the time line has every shard's first attempt");
        forwarded += records.iter().filter(|r| matches!(r.event, Event::ForwardTaken { .. })).count();
    }
    assert_eq!(forwarded, 2);
}
