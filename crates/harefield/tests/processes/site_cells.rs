//! Cells smaller than the fleet on the users' machines: opaque requests are handed
//! to members.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use standin::ReplyMode;

use crate::site_support::Site;
use crate::site_support::ask_at;
use crate::site_support::begin;
use crate::site_support::records;
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

/// Returns the upstreams that a daemon asks itself.
fn upstreams(daemon: &Daemon) -> BTreeSet<String> {
    let status = daemon.status();
    let all = status.workers.values().flat_map(|worker| &worker.upstreams);
    all.map(|upstream| upstream.upstream.to_string()).collect()
}

#[test]
fn handed_whole() {
    let site = Site::start_cells(4, 1);
    await_true("each upstream is held by one daemon", || {
        let held = site.daemons().map(upstreams).collect::<Vec<_>>();
        let all = held.iter().flatten().collect::<BTreeSet<_>>();
        all.len() == site.searchers.len() && held.iter().map(BTreeSet::len).sum::<usize>() == all.len()
    });
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("w{number}");
        let answer = ask_at(daemon, "/all/x", &id, 2000);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "0"));
        assert_eq!(answer.body, records(&[9, 8, 7, 3]));
        assert_eq!(answer.header("part-seals").split(", ").count(), 3);
        assert_eq!(site.runs(&id), 3, "each shard is asked once");
        let answer = ask_at(daemon, "/one/x", &format!("o{number}"), 2000);
        assert_eq!((answer.status, answer.header("x-own")), (200, "kept"));
        assert_eq!(answer.body, records(&[5, 5]));
    }
}

#[test]
fn partial_when_handed() {
    let site = Site::start_cells(3, 1);
    site.searchers["i-s2"].set_mode(ReplyMode::Shed, Duration::ZERO);
    for (number, daemon) in site.daemons().enumerate() {
        let answer = ask_at(daemon, "/all/x", &format!("p{number}"), 2000);
        let said = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "1"), "daemon {number}: {said}");
        assert_eq!(answer.body, records(&[9, 7, 3, 1]));
    }
}

#[test]
fn unsafe_handed_once() {
    let site = Site::start_cells(3, 1);
    for searcher in site.searchers.values() {
        searcher.set_mode(ReplyMode::Good, Duration::from_millis(600));
    }
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("u{number}");
        assert_eq!(ask_at(daemon, "/one/once/x", &id, 900).status, 200);
        assert_eq!(site.runs(&id), 1);
    }
}

#[test]
fn attempts_over_members() {
    // A request that is slow at one member is not handed to the other: together
    // they would ask more upstreams than the attempts of its lookup.
    let mut site = Site::start_cells(3, 2);
    for id in ["i-one2", "i-one3"] {
        site.add("one", id, &[5, 5]);
    }
    for searcher in site.searchers.values() {
        searcher.set_mode(ReplyMode::Good, Duration::from_secs(3));
    }
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("a{number}");
        assert_eq!(ask_at(daemon, "/one/x", &id, 900).status, 504);
        assert!(site.runs(&id) <= 2, "{} runs", site.runs(&id));
        let id = format!("b{number}");
        assert_eq!(ask_at(daemon, "/all/x", &id, 900).status, 504);
        assert_eq!(site.runs(&id), 3, "once at the one upstream of each shard");
    }
}

#[test]
fn caller_gone_stops_member() {
    // A request that was handed on ends at its member too, once its caller has left.
    let site = Site::start_cells(3, 1);
    for searcher in site.searchers.values() {
        searcher.set_mode(ReplyMode::Good, Duration::from_millis(800));
    }
    for (number, daemon) in site.daemons().enumerate() {
        let id = format!("gone-{number}");
        let stream = begin(daemon, "/all/x", &id);
        await_true("it runs", || site.runs(&id) > 0);
        drop(stream);
    }
    std::thread::sleep(Duration::from_millis(1500));
    let finished = |run: &String| run.starts_with("gone-");
    let any = site.searchers.values().any(|searcher| searcher.finished().iter().any(finished));
    assert!(!any, "nobody works for callers that left, whichever daemon they asked");
}

/// Returns a request as another daemon hands it on, let in under an edition.
fn handed(edition: u64) -> Forward {
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

/// Hands a request to a daemon as another one does.
fn hand(daemon: &Daemon, message: &Forward) -> Answer {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let peers = HttpPeers::new(Rc::clone(&executor), None, Traffic::default(), Memory::default());
    let host = daemon.addresses.peers.to_string().into();
    let handing = peers.forward(&host, message, Duration::from_secs(5));
    let forwarded = async_io::block_on(executor.run(handing));
    forwarded.expect("it answers").answer
}

#[test]
fn newer_view_declined() {
    let site = Site::start();
    let declined = hand(&site.daemon, &handed(1_000_000));
    assert_eq!((declined.outcome, declined.code), (Outcome::NotRun, Code::OlderView));
    assert_eq!(site.runs("n1"), 0);
    assert_eq!(hand(&site.daemon, &handed(1)).code, Code::Whole);
}
