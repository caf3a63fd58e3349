//! Under overload, requests are refused early and with a retry time.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::support::World;
use crate::support::ask;
use harefield::domain::code::Code;
use harefield::domain::outcome::Outcome;

#[test]
fn refused_early() {
    let world = World::start(1, "[limits]\nrunning = 2\nwaiting = 4\n");
    world.searchers.change_all(|b| b.service_ms = 150.0);
    world.query(0);
    let to = world.daemons[0].addresses.callers;
    let askers: Vec<_> = (0..40)
        .map(|_| {
            thread::spawn(move || {
                let begun = Instant::now();
                let answer = ask(to, "parcels", &json!({ "query": 1 })).expect("an answer");
                (answer, begun.elapsed())
            })
        })
        .collect();
    let mut refused = 0;
    for asker in askers {
        let (answer, took) = asker.join().expect("no panic");
        if answer.outcome == Outcome::NotRun {
            refused += 1;
            assert!([Code::QueueFull, Code::TooLate].contains(&answer.code), "{}", answer.code);
            assert!(answer.retry_after.is_some(), "the caller is told when to come back");
            assert!(took < Duration::from_millis(900), "{took:?}: the refusal is late");
        }
    }
    assert!(refused >= 20, "{refused}");
}

#[test]
fn connections_bounded() {
    let world = World::start(1, "[limits]\nconnections = 4\n");
    let to = world.daemons[0].addresses.callers;
    let held: Vec<_> = (0..4).map(|_| std::net::TcpStream::connect(to).expect("it listens")).collect();
    thread::sleep(Duration::from_millis(200));
    let answer = ask(to, "parcels", &json!({ "query": 1 })).expect("a numbered answer");
    assert_eq!(answer.code, Code::TooManyConnections);
    drop(held);
    crate::support::await_true("connections are accepted again", || {
        ask(to, "parcels", &json!({ "query": 1 })).is_some_and(|answer| answer.code == Code::Whole)
    });
}

#[test]
fn refusal_awaits_request() {
    // A client cannot match a response that arrives before its request, so the refusal of a
    // connection waits for the first request.
    let world = World::start(1, "[limits]\nconnections = 4\n");
    let to = world.daemons[0].addresses.callers;
    let _held: Vec<_> = (0..4).map(|_| std::net::TcpStream::connect(to).expect("it listens")).collect();
    thread::sleep(Duration::from_millis(200));
    let mut late = std::net::TcpStream::connect(to).expect("it listens");
    late.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout can be set");
    let mut byte = [0_u8; 1];
    assert!(late.read(&mut byte).is_err(), "nothing comes before the request");
    late.write_all(b"POST /v1/lookups/parcels HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
        .expect("it is sent");
    late.set_read_timeout(Some(crate::support::PATIENCE)).expect("a timeout can be set");
    let mut answer = String::new();
    late.read_to_string(&mut answer).expect("the answer comes");
    assert!(answer.contains("HF2008"), "{answer}");
}

#[test]
fn upstream_limit_kept() {
    // Three daemons under load stay within the connection limits of the upstreams.
    let world = World::start(3, "");
    let callers: Vec<_> = world.daemons.iter().map(|d| d.addresses.callers).collect();
    let askers: Vec<_> = (0..24)
        .map(|n| {
            let to = callers[n % 3];
            thread::spawn(move || {
                for _ in 0..20 {
                    drop(ask(to, "parcels", &json!({ "query": 1 })));
                }
            })
        })
        .collect();
    for asker in askers {
        asker.join().expect("no panic");
    }
    assert_eq!(world.searchers.tally().refused_connections, 0);
}
