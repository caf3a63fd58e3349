//! A planned stop aborts no request in progress.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::support::Daemon;
use crate::support::PATIENCE;
use crate::support::World;
use crate::support::ask;
use crate::support::await_true;
use harefield::domain::code::Code;

/// The service time of slow upstreams in milliseconds.
const SLOW_MS: f64 = 600.0;

/// A linger period shorter than the requests in progress.
const SHORT_LINGER: &str = "[stop]\nlinger-ms = 50\n";

#[test]
fn in_progress_ends() {
    let mut world = World::start(1, SHORT_LINGER);
    world.searchers.change_all(|b| b.service_ms = SLOW);
    let to = world.daemons[0].addresses.callers;
    let askers: Vec<_> =
        (0..4).map(|_| thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })))).collect();
    await_true("the requests run", || world.searchers.tally().ran >= 3);
    world.daemons[0].signal("TERM");
    for asker in askers {
        let answer = asker.join().expect("no panic").expect("no request is cut");
        assert_ne!(answer.code, Code::Stopping);
    }
    assert_eq!(world.daemons[0].wait(), Some(0));
}

#[test]
fn queued_ends() {
    let mut world = World::start(1, "[limits]\nrunning = 2\n");
    world.searchers.change_all(|b| b.service_ms = 400.0);
    let to = world.daemons[0].addresses.callers;
    let askers: Vec<_> =
        (0..8).map(|_| thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })))).collect();
    await_true("requests are queued", || {
        world.daemons[0].status().workers.values().any(|worker| worker.waiting > 0)
    });
    world.daemons[0].signal("TERM");
    for asker in askers {
        asker.join().expect("no panic").expect("queued requests are answered");
    }
    assert_eq!(world.daemons[0].wait(), Some(0));
}

#[test]
fn forwarded_ends() {
    let mut world = World::start(3, &format!("[routing]\ncell-size = 1\n{SHORT_LINGER}"));
    for daemon in 0..3 {
        world.query(daemon);
    }
    let busy = |d: &Daemon| d.status().workers.values().any(|w| w.first > 0);
    await_true("one member fans out", || world.daemons.iter().any(busy));
    let member = world.daemons.iter().position(busy).expect("one daemon is busy");
    // Slow enough that the requests are in progress when the stop begins, and fast enough that
    // two attempts in a row fit into the deadline.
    world.searchers.change_all(|b| b.service_ms = 350.0);
    let admitted = |world: &World| world.daemons[member].timeline("kind=admitted").len();
    let before = admitted(&world);
    let askers: Vec<_> = world
        .daemons
        .iter()
        .map(|daemon| {
            let to = daemon.addresses.callers;
            thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })))
        })
        .collect();
    // The upstreams' runs are no measure: they include hedges, and a request may not have
    // arrived at the member yet.
    await_true("all three run", || admitted(&world) >= before + 3);
    world.daemons[member].signal("TERM");
    for asker in askers {
        let answer = asker.join().expect("no panic").expect("no request is cut");
        assert_eq!(answer.code, Code::Whole);
    }
    assert_eq!(world.daemons[member].wait(), Some(0));
}

#[test]
fn kept_connection() {
    // A caller with a keep-alive connection is still answered during the linger period, with
    // `connection: close`.
    let mut world = World::start(1, "[stop]\nlinger-ms = 1000\n");
    let mut stream = TcpStream::connect(world.daemons[0].addresses.callers).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let body = "{\"query\":1}";
    let request = format!(
        "POST /v1/lookups/parcels HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut buffer = [0_u8; 8192];
    stream.write_all(request.as_bytes()).expect("it is sent");
    let first = stream.read(&mut buffer).expect("it is answered");
    assert!(first > 0);
    world.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(200));
    stream.write_all(request.as_bytes()).expect("it is sent");
    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("the connection is answered and closed");
    assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
    assert!(rest.to_lowercase().contains("connection: close"), "{rest}");
    assert_eq!(world.daemons[0].wait(), Some(0));
}

#[test]
fn bounded_wait() {
    let mut world = World::start(1, "[stop]\nlinger-ms = 10\nlimit-ms = 300\n");
    world.searchers.change_all(|b| b.frozen = true);
    let to = world.daemons[0].addresses.callers;
    let asker = thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })));
    await_true("it runs", || world.daemons[0].status().workers.values().any(|w| w.running > 0));
    let begun = Instant::now();
    world.daemons[0].signal("TERM");
    assert_eq!(world.daemons[0].wait(), Some(9), "the exit code shows that a request was aborted");
    assert!(begun.elapsed() < Duration::from_millis(900), "{:?}", begun.elapsed());
    drop(asker.join());
}

#[test]
fn second_signal() {
    let mut world = World::start(1, "");
    world.searchers.change_all(|b| b.frozen = true);
    let to = world.daemons[0].addresses.callers;
    let asker = thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })));
    await_true("it runs", || world.daemons[0].status().workers.values().any(|w| w.running > 0));
    world.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(100));
    let begun = Instant::now();
    world.daemons[0].signal("TERM");
    assert_eq!(world.daemons[0].wait(), Some(9));
    assert!(begun.elapsed() < Duration::from_millis(500));
    drop(asker.join());
}

#[test]
fn once_only_goes_on() {
    let mut world = World::start(1, SHORT_LINGER);
    let refused = world.ask(0, "parcels-once", &json!({ "query": 1 }));
    let ticket = refused.ticket.expect("a ticket");
    world.searchers.change_all(|b| b.service_ms = SLOW);
    let to = world.daemons[0].addresses.callers;
    let body = json!({ "query": 1, "ticket": ticket });
    let asker = thread::spawn(move || ask(to, "parcels-once", &body));
    await_true("it runs", || world.searchers.tally().ran == 3);
    world.daemons[0].signal("TERM");
    let answer = asker.join().expect("no panic").expect("an answer");
    assert_eq!(answer.code, Code::Whole);
    assert_eq!(world.daemons[0].wait(), Some(0));
}
