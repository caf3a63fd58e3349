//! Cells smaller than the fleet in the users' environment: opaque requests are forwarded to
//! members.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use standin::ReplyMode;

use crate::site_support::Site;
use crate::site_support::begin;
use crate::site_support::records;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;
use harefield::adapters::http::Traffic;
use harefield::adapters::peers::HttpPeers;
use harefield::domain::accounts::Requester;
use harefield::domain::code::Code;
use harefield::domain::hlc::Stamp;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;
use harefield::domain::query::OpaqueQuery;
use harefield::memory::Memory;
use harefield::ports::Forward;
use harefield::ports::Peers;

/// Returns the upstreams that a daemon sends to directly.
fn upstreams(daemon: &Daemon) -> BTreeSet<String> {
    let status = daemon.status();
    let all = status.workers.values().flat_map(|worker| &worker.upstreams);
    all.map(|upstream| upstream.upstream.to_string()).collect()
}

#[test]
fn forwarded_whole() {
    let site = Site::start_cells(4, 1);
    await_true("each upstream is used by one daemon only", || {
        let held = site.daemons().map(upstreams).collect::<Vec<_>>();
        let all = held.iter().flatten().collect::<BTreeSet<_>>();
        all.len() == site.upstreams.len() && held.iter().map(BTreeSet::len).sum::<usize>() == all.len()
    });
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("w{number}");
        let answer = request_at(daemon, "/all/x", &id, 2000);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "0"));
        assert_eq!(answer.body, records(&[9, 8, 7, 3]));
        assert_eq!(answer.header("part-seals").split(", ").count(), 3);
        assert_eq!(site.runs(&id), 3, "each shard runs the request once");
        let answer = request_at(daemon, "/one/x", &format!("o{number}"), 2000);
        assert_eq!((answer.status, answer.header("x-own")), (200, "kept"));
        assert_eq!(answer.body, records(&[5, 5]));
    }
}

#[test]
fn partial_when_handed() {
    let site = Site::start_cells(3, 1);
    site.upstreams["i-s2"].set_mode(ReplyMode::Shed, Duration::ZERO);
    for (number, daemon) in site.daemons().enumerate() {
        let answer = request_at(daemon, "/all/x", &format!("p{number}"), 2000);
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "1"), "daemon {number}: {body}");
        assert_eq!(answer.body, records(&[9, 7, 3, 1]));
    }
}

#[test]
fn unsafe_forwarded_once() {
    let site = Site::start_cells(3, 1);
    for upstream in site.upstreams.values() {
        upstream.set_mode(ReplyMode::Good, Duration::from_millis(600));
    }
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("u{number}");
        assert_eq!(request_at(daemon, "/one/once/x", &id, 900).status, 200);
        assert_eq!(site.runs(&id), 1);
    }
}

#[test]
fn attempts_over_members() {
    // A request that is slow at one member is not forwarded to the other one: together they would
    // make more attempts than the lookup allows.
    let mut site = Site::start_cells(3, 2);
    for id in ["i-one2", "i-one3"] {
        site.add("one", id, &[5, 5]);
    }
    for upstream in site.upstreams.values() {
        upstream.set_mode(ReplyMode::Good, Duration::from_secs(3));
    }
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("a{number}");
        assert_eq!(request_at(daemon, "/one/x", &id, 900).status, 504);
        assert!(site.runs(&id) <= 2, "{} runs", site.runs(&id));
        let id = format!("b{number}");
        assert_eq!(request_at(daemon, "/all/x", &id, 900).status, 504);
        assert_eq!(site.runs(&id), 3, "the request runs once at the only upstream of each shard");
    }
}

#[test]
fn caller_gone_stops_member() {
    // A forwarded request is cancelled at the member too when its caller disconnects.
    let site = Site::start_cells(3, 1);
    for upstream in site.upstreams.values() {
        upstream.set_mode(ReplyMode::Good, Duration::from_millis(800));
    }
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("gone-{number}");
        let stream = begin(daemon, "/all/x", &id);
        await_true("the request runs", || site.runs(&id) > 0);
        drop(stream);
    }
    std::thread::sleep(Duration::from_millis(1500));
    let finished = |run: &String| run.starts_with("gone-");
    let any = site.upstreams.values().any(|upstream| upstream.finished().iter().any(finished));
    assert!(!any, "no upstream continues for callers that disconnected, whichever daemon they used");
}

/// Returns a request as another daemon forwards it, admitted under an edition.
fn forward_message(edition: u64) -> Forward {
    let query = OpaqueQuery {
        id: "n1".into(),
        method: "GET".into(),
        target: "/all/x".into(),
        headers: vec![("attempt-id".into(), "n1".into())],
        ..Default::default()
    };
    Forward {
        from: "127.0.0.1:1".into(),
        stamp: Stamp { micros: 0, count: 0 },
        request: "n1".to_owned(),
        lookup: "all".to_owned(),
        query: Vec::new(),
        opaque: Some(query),
        ticket: None,
        remaining: 1000,
        gather: None,
        edition,
        late: false,
        suspects: Vec::new(),
        again: false,
        asker: Requester::default(),
    }
}

/// Forwards a request to a daemon as another daemon does.
fn forward(daemon: &Daemon, message: &Forward) -> Answer {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let peers = HttpPeers::new(Rc::clone(&executor), None, Traffic::default(), Memory::default());
    let host = daemon.addresses.peers.to_string().into();
    let forwarding = peers.forward(&host, message, Duration::from_secs(5));
    let forwarded = async_io::block_on(executor.run(forwarding));
    forwarded.expect("the daemon answers").answer
}

#[test]
fn newer_view_declined() {
    let site = Site::start();
    let declined = forward(&site.daemon, &forward_message(1_000_000));
    assert_eq!((declined.outcome, declined.code), (Outcome::NotRun, Code::OlderView));
    assert_eq!(site.runs("n1"), 0);
    assert_eq!(forward(&site.daemon, &forward_message(1)).code, Code::Whole);
}
