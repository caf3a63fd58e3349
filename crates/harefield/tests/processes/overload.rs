//! Under overload, requests are refused early and with a retry time.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::support::Cluster;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::outcome::Outcome;

#[test]
fn refused_early() {
    let cluster = Cluster::start(1, "[limits]\nrunning = 2\nwaiting = 4\n");
    cluster.upstreams.change_all(|b| b.service_ms = 150.0);
    cluster.query(0);
    let to = cluster.daemons[0].addresses.callers;
    let threads: Vec<_> = (0..40)
        .map(|_| {
            thread::spawn(move || {
                let start = Instant::now();
                let answer = send_lookup(to, "parcels", &json!({ "query": 1 })).expect("an answer");
                (answer, start.elapsed())
            })
        })
        .collect();
    let mut refused = 0;
    for thread in threads {
        let (answer, took) = thread.join().expect("the thread does not panic");
        if answer.outcome == Outcome::NotRun {
            refused += 1;
            assert!([Code::QueueFull, Code::TooLate].contains(&answer.code), "{}", answer.code);
            assert!(answer.retry_after.is_some(), "the answer has a retry time");
            assert!(took < Duration::from_millis(900), "{took:?}: the refusal is late");
        }
    }
    assert!(refused >= 20, "{refused}");
}

#[test]
fn connections_bounded() {
    let cluster = Cluster::start(1, "[limits]\nconnections = 4\n");
    let to = cluster.daemons[0].addresses.callers;
    let held: Vec<_> =
        (0..4).map(|_| std::net::TcpStream::connect(to).expect("the listener accepts connections")).collect();
    thread::sleep(Duration::from_millis(200));
    let answer = send_lookup(to, "parcels", &json!({ "query": 1 })).expect("a numbered answer");
    assert_eq!(answer.code, Code::TooManyConnections);
    drop(held);
    crate::support::await_true("connections are accepted again", || {
        send_lookup(to, "parcels", &json!({ "query": 1 })).is_some_and(|answer| answer.code == Code::Whole)
    });
}

#[test]
fn refusal_awaits_request() {
    // A client cannot match a response that arrives before its request, so the refusal of a
    // connection waits for the first request.
    let cluster = Cluster::start(1, "[limits]\nconnections = 4\n");
    let to = cluster.daemons[0].addresses.callers;
    let _held: Vec<_> =
        (0..4).map(|_| std::net::TcpStream::connect(to).expect("the listener accepts connections")).collect();
    thread::sleep(Duration::from_millis(200));
    let mut late = std::net::TcpStream::connect(to).expect("the listener accepts connections");
    late.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout can be set");
    let mut byte = [0_u8; 1];
    assert!(late.read(&mut byte).is_err(), "nothing comes before the request");
    late.write_all(b"POST /v1/lookups/parcels HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
        .expect("the bytes are sent");
    late.set_read_timeout(Some(crate::support::TIMEOUT)).expect("a timeout can be set");
    let mut answer = String::new();
    late.read_to_string(&mut answer).expect("the answer comes");
    assert!(answer.contains("HF2008"), "{answer}");
}

#[test]
fn upstream_limit_kept() {
    // Three daemons under load stay within the connection limits of the upstreams.
    let cluster = Cluster::start(3, "");
    let callers: Vec<_> = cluster.daemons.iter().map(|d| d.addresses.callers).collect();
    let threads: Vec<_> = (0..24)
        .map(|n| {
            let to = callers[n % 3];
            thread::spawn(move || {
                for _ in 0..20 {
                    drop(send_lookup(to, "parcels", &json!({ "query": 1 })));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("the thread does not panic");
    }
    assert_eq!(cluster.upstreams.tally().refused_connections, 0);
}
