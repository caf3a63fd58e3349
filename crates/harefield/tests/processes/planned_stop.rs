//! A planned stop aborts no request in progress.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::TIMEOUT;
use crate::support::await_true;
use crate::support::send_lookup;
use harefield::domain::code::Code;

/// The service time of slow upstreams in milliseconds.
const SLOW_MS: f64 = 600.0;

/// A linger period shorter than the requests in progress.
const SHORT_LINGER: &str = "[stop]\nlinger-ms = 50\n";

#[test]
fn in_progress_ends() {
    let mut cluster = Cluster::start(1, SHORT_LINGER);
    cluster.upstreams.change_all(|b| b.service_ms = SLOW_MS);
    let to = cluster.daemons[0].addresses.callers;
    let threads: Vec<_> =
        (0..4).map(|_| thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })))).collect();
    await_true("the requests run", || cluster.upstreams.tally().ran >= 3);
    cluster.daemons[0].signal("TERM");
    for thread in threads {
        let answer = thread.join().expect("the thread does not panic").expect("no request is aborted");
        assert_ne!(answer.code, Code::Stopping);
    }
    assert_eq!(cluster.daemons[0].wait(), Some(0));
}

#[test]
fn queued_ends() {
    let mut cluster = Cluster::start(1, "[limits]\nrunning = 2\n");
    cluster.upstreams.change_all(|b| b.service_ms = 400.0);
    let to = cluster.daemons[0].addresses.callers;
    let threads: Vec<_> =
        (0..8).map(|_| thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })))).collect();
    await_true("requests are queued", || {
        cluster.daemons[0].status().workers.values().any(|worker| worker.waiting > 0)
    });
    cluster.daemons[0].signal("TERM");
    for thread in threads {
        thread.join().expect("the thread does not panic").expect("queued requests are answered");
    }
    assert_eq!(cluster.daemons[0].wait(), Some(0));
}

#[test]
fn forwarded_ends() {
    let mut cluster = Cluster::start(3, &format!("[routing]\ncell-size = 1\n{SHORT_LINGER}"));
    for daemon in 0..3 {
        cluster.query(daemon);
    }
    let busy = |d: &Daemon| d.status().workers.values().any(|w| w.first > 0);
    await_true("one member fans out", || cluster.daemons.iter().any(busy));
    let member = cluster.daemons.iter().position(busy).expect("one daemon is busy");
    // Slow enough that the requests are in progress when the stop begins, and fast enough that
    // two attempts in a row fit into the deadline.
    cluster.upstreams.change_all(|b| b.service_ms = 350.0);
    let admitted = |cluster: &Cluster| cluster.daemons[member].timeline("kind=admitted").len();
    let before = admitted(&cluster);
    let threads: Vec<_> = cluster
        .daemons
        .iter()
        .map(|daemon| {
            let to = daemon.addresses.callers;
            thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })))
        })
        .collect();
    // The upstreams' runs are no measure: they include hedges, and a request may not have
    // arrived at the member yet.
    await_true("all three run", || admitted(&cluster) >= before + 3);
    cluster.daemons[member].signal("TERM");
    for thread in threads {
        let answer = thread.join().expect("the thread does not panic").expect("no request is aborted");
        assert_eq!(answer.code, Code::Whole);
    }
    assert_eq!(cluster.daemons[member].wait(), Some(0));
}

#[test]
fn kept_connection() {
    // A caller with a keep-alive connection is still answered during the linger period, with
    // `connection: close`.
    let mut cluster = Cluster::start(1, "[stop]\nlinger-ms = 1000\n");
    let mut stream =
        TcpStream::connect(cluster.daemons[0].addresses.callers).expect("the listener accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    let body = "{\"query\":1}";
    let request = format!(
        "POST /v1/lookups/parcels HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut buffer = [0_u8; 8192];
    stream.write_all(request.as_bytes()).expect("the bytes are sent");
    let first = stream.read(&mut buffer).expect("a response arrives");
    assert!(first > 0);
    cluster.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(200));
    stream.write_all(request.as_bytes()).expect("the bytes are sent");
    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("the connection is answered and closed");
    assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
    assert!(rest.to_lowercase().contains("connection: close"), "{rest}");
    assert_eq!(cluster.daemons[0].wait(), Some(0));
}

#[test]
fn bounded_wait() {
    let mut cluster = Cluster::start(1, "[stop]\nlinger-ms = 10\nlimit-ms = 300\n");
    cluster.upstreams.change_all(|b| b.frozen = true);
    let to = cluster.daemons[0].addresses.callers;
    let thread = thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })));
    await_true("the request runs", || cluster.daemons[0].status().workers.values().any(|w| w.running > 0));
    let start = Instant::now();
    cluster.daemons[0].signal("TERM");
    assert_eq!(cluster.daemons[0].wait(), Some(9), "the exit code shows that a request was aborted");
    assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
    drop(thread.join());
}

#[test]
fn second_signal() {
    let mut cluster = Cluster::start(1, "");
    cluster.upstreams.change_all(|b| b.frozen = true);
    let to = cluster.daemons[0].addresses.callers;
    let thread = thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })));
    await_true("the request runs", || cluster.daemons[0].status().workers.values().any(|w| w.running > 0));
    cluster.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    cluster.daemons[0].signal("TERM");
    assert_eq!(cluster.daemons[0].wait(), Some(9));
    assert!(start.elapsed() < Duration::from_millis(500));
    drop(thread.join());
}

#[test]
fn once_only_goes_on() {
    let mut cluster = Cluster::start(1, SHORT_LINGER);
    let refused = cluster.lookup(0, "parcels-once", &json!({ "query": 1 }));
    let ticket = refused.ticket.expect("a ticket");
    cluster.upstreams.change_all(|b| b.service_ms = SLOW_MS);
    let to = cluster.daemons[0].addresses.callers;
    let body = json!({ "query": 1, "ticket": ticket });
    let thread = thread::spawn(move || send_lookup(to, "parcels-once", &body));
    await_true("the request runs", || cluster.upstreams.tally().ran == 3);
    cluster.daemons[0].signal("TERM");
    let answer = thread.join().expect("the thread does not panic").expect("an answer");
    assert_eq!(answer.code, Code::Whole);
    assert_eq!(cluster.daemons[0].wait(), Some(0));
}
