//! Cells smaller than the fleet: daemons that are not members forward requests to a member.

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;

use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::await_true;
use crate::support::send_lookup;
use harefield::domain::cell::weight;
use harefield::domain::code::Code;
use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::event::Record;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;

const SMALL_CELL: &str = "[routing]\ncell-size = 2\n";

/// Returns the indexes of the daemons that have sent requests to upstreams.
fn members(cluster: &Cluster) -> Vec<usize> {
    let fanned = |n: &usize| cluster.daemons[*n].status().workers.values().any(|w| w.first > 0);
    (0..cluster.daemons.len()).filter(fanned).collect()
}

/// Starts six threads that send one lookup each.
fn send_six(to: SocketAddr) -> Vec<JoinHandle<Option<Answer>>> {
    (0..6).map(|_| thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })))).collect()
}

/// Starts daemons of which two are members; returns the members and one daemon that is not.
fn start_small_cell(count: usize, settings: &str) -> (Cluster, Vec<usize>, usize) {
    let cluster = Cluster::start(count, settings);
    for daemon in 0..count {
        for _ in 0..3 {
            cluster.query(daemon);
        }
    }
    await_true("the members report their requests", || members(&cluster).len() == 2);
    let inside = members(&cluster);
    let outside = (0..count).find(|n| !inside.contains(n)).expect("one daemon is not a member");
    (cluster, inside, outside)
}

#[test]
fn forwarded_once() {
    let cluster = Cluster::start(5, SMALL_CELL);
    for daemon in 0..5 {
        for _ in 0..4 {
            let answer = cluster.query(daemon);
            assert_eq!(answer.code, Code::Whole);
            assert_eq!(answer.coverage.contributed.len(), 3);
        }
    }
    await_true("the members report their requests", || members(&cluster).len() == 2);
    let forwards: usize = cluster.daemons.iter().map(|d| d.timeline("kind=forwarded").len()).sum();
    assert_eq!(forwards, 12, "three of five daemons forward each of their four requests once");
}

#[test]
fn member_killed() {
    let (mut cluster, inside, outside) = start_small_cell(4, SMALL_CELL);
    cluster.upstreams.change_all(|b| b.service_ms = 200.0);
    let to = cluster.daemons[outside].addresses.callers;
    let threads = send_six(to);
    await_true("the requests run", || cluster.upstreams.tally().ran > 40);
    cluster.daemons[inside[0]].signal("KILL");
    cluster.daemons[inside[0]].wait();
    for thread in threads {
        let answer = thread.join().expect("the thread does not panic").expect("an answer");
        assert_eq!(answer.code, Code::Whole, "the other member gives the answer");
    }
}

#[test]
fn refused_after_silence() {
    // A member is killed while it runs requests, and all upstreams reject the attempts of the
    // next member. The answer may not be "not run", as the first member may have run them.
    let (mut cluster, inside, outside) = start_small_cell(4, &format!("{SMALL_CELL}hedge = false\n"));
    cluster.upstreams.change_all(|b| b.service_ms = 600.0);
    let to = cluster.daemons[outside].addresses.callers;
    let before = cluster.upstreams.tally().ran;
    let threads = send_six(to);
    // Six requests to three shards each, without hedges.
    await_true("all attempts have begun", || cluster.upstreams.tally().ran >= before + 18);
    cluster.upstreams.change_all(|b| b.shed_ms = Some(3000));
    cluster.daemons[inside[0]].signal("KILL");
    cluster.daemons[inside[0]].wait();
    let answers = threads
        .into_iter()
        .map(|thread| thread.join().expect("the thread does not panic").expect("an answer"));
    let outcomes: Vec<Outcome> = answers.map(|answer| answer.outcome).collect();
    assert!(!outcomes.contains(&Outcome::NotRun), "{outcomes:?}");
    assert!(outcomes.contains(&Outcome::MayHaveRun), "{outcomes:?}");
}

#[test]
fn member_frozen() {
    let (cluster, inside, outside) = start_small_cell(3, SMALL_CELL);
    cluster.daemons[inside[0]].signal("STOP");
    for _ in 0..6 {
        let answer = cluster.query(outside);
        assert_eq!(answer.code, Code::Whole, "the other member answers before the deadline");
    }
}

#[test]
fn paused_while_handed() {
    // A daemon that is paused past the deadline of a request that it forwarded serves again.
    let cluster = Cluster::start(3, "[routing]\ncell-size = 1\n");
    for daemon in 0..3 {
        cluster.query(daemon);
    }
    await_true("the members report their requests", || members(&cluster).len() == 1);
    let inside = members(&cluster)[0];
    let outside = (0..3).find(|n| *n != inside).expect("two daemons are not members");
    cluster.upstreams.change_all(|b| b.service_ms = 2500.0);
    let to = cluster.daemons[outside].addresses.callers;
    let thread = thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })));
    await_true("the request runs", || cluster.upstreams.tally().ran > 9);
    cluster.daemons[outside].signal("STOP");
    thread::sleep(Duration::from_secs(3));
    cluster.daemons[outside].signal("CONT");
    drop(thread.join().expect("the thread does not panic"));
    cluster.upstreams.change_all(|b| b.service_ms = 1.0);
    await_true("the resumed daemon serves", || {
        send_lookup(to, "parcels", &json!({ "query": 2 })).is_some_and(|answer| answer.code == Code::Whole)
    });
}

#[test]
fn ticket_of_member() {
    let cluster = Cluster::start(4, "[routing]\ncell-size = 1\n");
    for daemon in 0..4 {
        let refused = cluster.lookup(daemon, "parcels-once", &json!({ "query": daemon }));
        let ticket = refused.ticket.expect("a ticket is given");
        let body = json!({ "query": daemon, "ticket": ticket });
        let other = (daemon + 1) % 4;
        assert_eq!(cluster.lookup(other, "parcels-once", &body).code, Code::Whole);
        let again = cluster.lookup(daemon, "parcels-once", &body);
        assert_eq!(again.outcome, Outcome::Answered);
    }
    assert_eq!(cluster.upstreams.tally().ran, 12, "four tickets, three shards, once each");
}

#[test]
fn waiting_handed_on() {
    // Requests are queued at the gate of a member when the cell moves to another daemon. They
    // are forwarded, as the former member may no longer send to upstreams.
    let settings = "[routing]\ncell-size = 1\n[limits]\nrunning = 2\n";
    let cluster = Cluster::start(1, settings);
    let weight = |daemon: &Daemon| weight("parcels", &daemon.addresses.peers.to_string());
    let own = weight(&cluster.daemons[0]);
    let heavier = std::iter::repeat_with(|| Daemon::start(&cluster.settings(settings)));
    let next = heavier.into_iter().find(|daemon| weight(daemon) > own).expect("ports differ");
    cluster.upstreams.change_all(|b| b.service_ms = 250.0);
    let to = cluster.daemons[0].addresses.callers;
    let threads = send_six(to);
    thread::sleep(Duration::from_millis(80));
    cluster.list_daemon(&next, "live");
    for thread in threads {
        let answer = thread.join().expect("the thread does not panic").expect("an answer");
        assert_eq!(answer.code, Code::Whole, "{:?}", answer.coverage);
    }
}

#[test]
fn views_differ() {
    // The host list changes while requests are forwarded: answers stay whole.
    let mut cluster = Cluster::start(3, "[routing]\ncell-size = 1\n");
    let callers: Vec<_> = cluster.daemons.iter().map(|d| d.addresses.callers).collect();
    let threads: Vec<_> = callers
        .into_iter()
        .map(|to| {
            thread::spawn(move || {
                for _ in 0..150 {
                    let answer = send_lookup(to, "parcels", &json!({ "query": 1 })).expect("an answer");
                    assert_eq!(answer.code, Code::Whole, "{:?}", answer.coverage);
                }
            })
        })
        .collect();
    for _ in 0..3 {
        cluster.add_daemon();
        thread::sleep(Duration::from_millis(100));
    }
    for thread in threads {
        thread.join().expect("no answer is lost");
    }
}

#[test]
fn complete_timeline() {
    let cluster = Cluster::start(3, "[routing]\ncell-size = 1\n");
    let answers: Vec<_> = (0..3).map(|daemon| cluster.query(daemon)).collect();
    thread::sleep(Duration::from_millis(200));
    let mut forwarded = 0;
    for answer in answers {
        let query = format!("request={}", answer.request);
        let records: Vec<_> = cluster.daemons.iter().flat_map(|d| d.timeline(&query)).collect();
        let first = |r: &&Record| matches!(r.event, Event::Sent { cause: Cause::First, .. });
        let sent = records.iter().filter(first).count();
        assert_eq!(sent, 3, "the time line has every shard's first attempt");
        forwarded += records.iter().filter(|r| matches!(r.event, Event::ForwardTaken { .. })).count();
    }
    assert_eq!(forwarded, 2);
}
