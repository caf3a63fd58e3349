//! Replies that have no end, from upstreams, other daemons and the store.
//!
//! Guards against memory beyond the accounting and a worker that is kept busy: a body in small chunks
//! took some hundred times the bytes that were counted for it, and nothing but the deadline ended a
//! reply that never got beyond its head.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use standin::Endless;
use standin::EndlessServer;
use standin::ReplyMode;
use standin::upstream_entry;

use crate::site_support::Site;
use crate::site_support::known_upstreams;
use crate::site_support::request_at;
use crate::site_support::send_request;
use crate::support::await_true;

/// The deadline of each request, and what an answer may take besides on a busy machine, in
/// milliseconds.
const DEADLINE: u64 = 1000;
const SLACK: u64 = 500;

/// The memory that a daemon accounts for, in bytes: a quarter of its host's.
const HELD: usize = 40 << 20;

/// The most memory of a daemon, in bytes: what it accounts for, and what it takes without any load.
const MEMORY: usize = HELD + (24 << 20);

/// The most memory of replies of the store, in bytes: two reads of at most 8 MB at a time, which are not
/// part of the budget.
const STORE_READS: usize = 16 << 20;

/// How long the requests go on.
const PLAY: Duration = Duration::from_secs(3);

/// How a play goes.
struct Play {
    /// How many endless upstreams the service `one` has.
    endless: usize,
    /// Whether it has one beside them that works.
    has_working: bool,
    rate: u32,
    clients: usize,
}

/// Most upstreams of a service reply without end, as fast as they can.
const SOME: Play = Play { endless: 3, has_working: true, rate: 4 << 20, clients: 6 };

/// All upstreams of a service do, slowly, so that many such replies are open at a time.
const ALL: Play = Play { endless: 6, has_working: false, rate: 1 << 20, clients: 40 };

/// Sends requests for a while, to endless upstreams and to others, and checks what callers and the
/// daemon see of it.
fn endure(kind: Endless, play: &Play) {
    let mut site = Site::start_with(1, "");
    let servers = add_endless(&site, kind, play);
    if !play.has_working {
        site.store.put(&site.upstreams["i-one"].key(), None);
    }
    let ended = || servers.iter().map(|server| server.ended().len()).sum::<usize>();
    await_true("an endless reply was ended", || {
        request_at(&site.daemon, "/one/x", "first", DEADLINE);
        ended() > 0
    });
    let start = Instant::now();
    let clients = start_clients(&site, "/one/x", play.clients);
    let mut slowest = Duration::ZERO;
    while start.elapsed() < PLAY {
        let sent = Instant::now();
        assert_eq!(request_at(&site.daemon, "/all/x", "other", DEADLINE).status, 200);
        slowest = slowest.max(sent.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    let (served, all) = join_clients(clients);
    assert!(!play.has_working || served * 10 >= all * 9, "{served} of {all} served");
    assert!(slowest < Duration::from_millis(DEADLINE), "another request took {slowest:?}");
    let peak = site.daemon.peak_memory();
    assert!(peak < MEMORY, "{} MB", peak >> 20);
    for reply in servers.iter().flat_map(EndlessServer::ended) {
        let most = Duration::from_millis(DEADLINE * 2 + SLACK);
        assert!(reply.took < most, "a reply went on for {:?}, {} bytes", reply.took, reply.bytes);
    }
    site.daemon.signal("TERM");
    site.daemon.wait();
}

/// Adds endless upstreams to the service `one`.
fn add_endless(site: &Site, kind: Endless, play: &Play) -> Vec<EndlessServer> {
    let servers: Vec<EndlessServer> =
        (0..play.endless).map(|_| EndlessServer::start(kind, play.rate)).collect();
    for (number, server) in servers.iter().enumerate() {
        let entry = upstream_entry(server.address(), "hall", "one", "ready");
        site.store.put(&format!("servers/i-endless-{number}"), Some(&entry));
    }
    servers
}

/// Starts clients that send requests for a while.
fn start_clients(site: &Site, path: &'static str, count: usize) -> Vec<JoinHandle<(usize, usize)>> {
    let (to, start) = (site.daemon.addresses.callers, Instant::now());
    (0..count).map(|client| std::thread::spawn(move || send_for(to, path, client, start))).collect()
}

/// Returns how many requests of all clients were served, of how many.
fn join_clients(clients: Vec<JoinHandle<(usize, usize)>>) -> (usize, usize) {
    let mut counts = (0, 0);
    for client in clients {
        let (served, sent) = client.join().expect("no request is left without an answer in time");
        counts = (counts.0 + served, counts.1 + sent);
    }
    counts
}

/// Sends requests one after the other; returns how many were served, of how many.
fn send_for(to: SocketAddr, path: &str, client: usize, start: Instant) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    while start.elapsed() < PLAY {
        let begun = Instant::now();
        let headers = format!("Attempt-Id: c{client}-{sent}\r\nDeadline-Remaining: {DEADLINE}\r\n");
        let answer = send_request(to, path, &headers);
        assert!(begun.elapsed() < Duration::from_millis(DEADLINE + SLACK), "{:?}", begun.elapsed());
        sent += 1;
        served += usize::from(answer.status == 200);
    }
    (served, sent)
}

/// How many callers of working upstreams there are, how many upstreams each of their shards has, and
/// how long these take for a request.
const OTHERS: usize = 40;
const REPLICAS: usize = 8;
const WORK: Duration = Duration::from_millis(5);

/// Many requests of other callers are in flight, first alone, then beside upstreams of a service that
/// reply without end. Each of them is answered, and the daemon goes on.
fn endure_beside_many(kind: Endless) {
    let mut site = Site::start_with(1, "");
    for service in ["s1", "s2", "s3"] {
        for number in 1..REPLICAS {
            site.add(service, &format!("i-{service}-{number}"), &[4, 4]);
        }
    }
    let are_known = || known_upstreams(&site.daemon).len() == site.upstreams.len();
    await_true("all upstreams are known", are_known);
    site.upstreams.values().for_each(|upstream| upstream.set_mode(ReplyMode::Good, WORK));
    join_clients(start_clients(&site, "/all/x", OTHERS));
    let usual = site.daemon.peak_memory();
    let servers = add_endless(&site, kind, &SOME);
    let endless = start_clients(&site, "/one/x", SOME.clients);
    let (served, all) = join_clients(start_clients(&site, "/all/x", OTHERS));
    assert!(served * 10 >= all * 9, "{served} of {all} served");
    join_clients(endless);
    let ended: usize = servers.iter().map(|server| server.ended().len()).sum();
    assert!(ended > 0, "an endless reply was ended");
    let peak = site.daemon.peak_memory();
    assert!(peak < usual + HELD, "{} MB, usually {} MB", peak >> 20, usual >> 20);
    site.daemon.signal("TERM");
    assert_eq!(site.daemon.wait(), Some(0), "the daemon had not ended by itself");
}

#[test]
fn chunks_beside_many() {
    endure_beside_many(Endless::Chunks);
}

#[test]
fn header_beside_many() {
    endure_beside_many(Endless::HeaderValue);
}

#[test]
fn noise() {
    endure(Endless::Noise, &SOME);
}

#[test]
fn empty_lines() {
    endure(Endless::EmptyLines, &SOME);
}

#[test]
fn status_line() {
    endure(Endless::StatusLine, &SOME);
}

#[test]
fn header_name() {
    endure(Endless::HeaderName, &SOME);
}

#[test]
fn header_value() {
    endure(Endless::HeaderValue, &SOME);
}

#[test]
fn header_after_header() {
    endure(Endless::Headers, &SOME);
}

#[test]
fn interim_replies() {
    endure(Endless::Interim, &SOME);
}

#[test]
fn unframed_body() {
    endure(Endless::Unframed, &SOME);
}

#[test]
fn enormous_length() {
    endure(Endless::Length, &SOME);
}

#[test]
fn endless_chunks() {
    endure(Endless::Chunks, &SOME);
}

#[test]
fn tiny_chunks() {
    endure(Endless::TinyChunks, &SOME);
}

#[test]
fn chunk_size() {
    endure(Endless::ChunkSize, &SOME);
}

#[test]
fn chunk_extension() {
    endure(Endless::ChunkExtension, &SOME);
}

#[test]
fn endless_trailers() {
    endure(Endless::Trailers, &SOME);
}

#[test]
fn behind_reply() {
    endure(Endless::Behind, &SOME);
}

#[test]
fn chunks_everywhere() {
    endure(Endless::Chunks, &ALL);
}

#[test]
fn tiny_chunks_everywhere() {
    endure(Endless::TinyChunks, &ALL);
}

#[test]
fn unframed_everywhere() {
    endure(Endless::Unframed, &ALL);
}

#[test]
fn interim_everywhere() {
    endure(Endless::Interim, &ALL);
}

/// Daemons that take such a server for the store and for another daemon read the store all the same.
#[test]
fn store_and_peers() {
    let mut site = Site::start();
    let servers: Vec<EndlessServer> =
        Endless::ALL.into_iter().map(|kind| EndlessServer::start(kind, SOME.rate)).collect();
    for server in &servers {
        site.add_daemon_beside(server.address());
    }
    for (daemon, kind) in site.others.iter().zip(Endless::ALL) {
        let is_joined = || request_at(daemon, "/all/x", "joined", DEADLINE).status == 200;
        await_true(&format!("it serves beside {kind:?}"), is_joined);
    }
    std::thread::sleep(PLAY);
    for ((daemon, kind), server) in site.others.iter().zip(Endless::ALL).zip(&servers) {
        assert!(!server.ended().is_empty(), "{kind:?}: a reply was ended");
        assert_eq!(request_at(daemon, "/all/x", "later", DEADLINE).status, 200, "{kind:?}");
        let peak = daemon.peak_memory();
        assert!(peak < MEMORY + STORE_READS, "{kind:?}: {} MB", peak >> 20);
    }
}
