//! Requests that wait for the shards of a scheduled index at a daemon: the delays that it reports,
//! and what is left of requests whose callers have gone.

use std::net::TcpStream;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use serde_json::Value;
use serde_json::json;
use standin::ReplyMode;
use standin::SignedSearcher;
use standin::SiteStore;
use standin::upstream_entry;

use crate::site_support::begin_with;
use crate::site_support::limits;
use crate::site_support::read_answer;
use crate::site_support::request_at;
use crate::site_support::send_request;
use crate::support::Daemon;
use crate::support::await_true;
use harefield::adapters::http::Traffic;
use harefield::adapters::peers::HttpPeers;
use harefield::domain::accounts::Requester;
use harefield::domain::event::Event;
use harefield::domain::event::Record;
use harefield::domain::hlc::Stamp;
use harefield::domain::query::OpaqueQuery;
use harefield::domain::residency::Regions;
use harefield::memory::Memory;
use harefield::ports::Group;
use harefield::ports::GroupReply;
use harefield::ports::Peers;

const SHARDS: usize = 40;

/// A daemon beside the upstreams of 40 shards, one in its region and one in another.
struct Scheduled {
    _store: SiteStore,
    upstreams: Vec<SignedSearcher>,
    daemon: Daemon,
}

impl Scheduled {
    fn start() -> Self {
        let store = SiteStore::start();
        let names: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
        let mut upstreams = Vec::new();
        for (name, zone) in names.iter().flat_map(|name| [(name, "n1"), (name, "s1")]) {
            let upstream = SignedSearcher::start(&format!("{name}-{zone}"), &[1, 2]);
            store.put(&upstream.key(), Some(&upstream_entry(upstream.address(), zone, name, "ready")));
            upstreams.push(upstream);
        }
        let services: Vec<Value> =
            names.iter().map(|name| json!({ "name": name, "connectionLimit": 26 })).collect();
        let route = json!({
            "name": "all", "host": "x.example", "pathPrefix": "/all/", "kind": "safe", "timeoutMs": 3000,
            "targetLatencyMs": 2500, "priority": 0, "attempts": 1, "fanoutServices": names,
            "resultLimit": 4, "oldestVersion": 0.6,
        });
        let config = json!({ "version": 1, "routes": [route], "services": services, "limits": limits() });
        store.put("op/config", Some(&config));
        let daemon = Daemon::start(&format!(
            "[host]\nzone = \"n1\"\n[host.regions]\nn1 = \"north\"\ns1 = \"south\"\n[listen]\n\
             callers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n[platform]\n\
             kind = \"store\"\naddresses = [\"{}\"]\n[scheduling]\nenabled = true\n",
            store.address()
        ));
        let site = Self { _store: store, upstreams, daemon };
        await_true("the daemon serves", || request_at(&site.daemon, "/all/x", "r0", 2000).status == 200);
        site
    }

    fn set_delay(&self, millis: u64) {
        for upstream in &self.upstreams {
            upstream.set_mode(ReplyMode::Good, Duration::from_millis(millis));
        }
    }

    /// Delegates a group of two shards to the daemon, with `millis` left.
    fn delegate(&self, millis: u64) -> GroupReply {
        let index = |record: &Record| match &record.event {
            Event::SnapshotChosen { index, shards: SHARDS, .. } => Some(index.clone()),
            _ => None,
        };
        let mut found = None;
        // The time line shows a request shortly after its answer.
        await_true("a request has run", || {
            found = self.daemon.timeline("kind=snapshot-chosen").iter().find_map(index);
            found.is_some()
        });
        let message = Group {
            from: "127.0.0.1:1".into(),
            stamp: Stamp { micros: 0, count: 0 },
            request: "g1".to_owned(),
            lookup: "all".to_owned(),
            index: found.expect("a request has run"),
            shards: vec!["s1/all".into(), "s2/all".into()],
            only: (0..2).map(|at| (at, vec!["".into()])).collect(),
            query: OpaqueQuery {
                id: "g1".into(),
                method: "GET".into(),
                target: "/all/x".into(),
                headers: vec![("attempt-id".into(), "g1".into())],
                ..Default::default()
            },
            most: 4,
            needed: 2,
            remaining: millis * 1000,
            gather: Some(millis * 500),
            again: false,
            possible: None,
            suspects: Vec::new(),
            regions: Regions::default(),
            asker: Some(Requester::default()),
            rank: Some(0),
        };
        let executor: Rc<LocalExecutor<'static>> = Rc::default();
        let peers = HttpPeers::new(Rc::clone(&executor), None, Traffic::default(), Memory::default());
        let host = self.daemon.addresses.peers.to_string().into();
        let delegation = peers.delegate(&host, &message, Duration::from_secs(5));
        async_io::block_on(executor.run(delegation)).expect("the daemon answers")
    }

    fn running(&self) -> usize {
        self.daemon.status().workers.values().map(|worker| worker.running).sum()
    }

    /// Sends `count` requests at once.
    fn begin(&self, count: usize) -> Vec<TcpStream> {
        let headers =
            |number| format!("Attempt-Id: w{number}\r\nDeadline-Remaining: 2500\r\nConnection: close\r\n");
        (0..count).map(|number| begin_with(&self.daemon, "/all/x", &headers(number))).collect()
    }
}

/// Guards against delays that are not reported while requests wait, and against tickets of callers
/// that have gone, whose work would be reported for good.
#[test]
fn delays_reported() {
    let site = Scheduled::start();
    site.set_delay(600);
    let callers = site.begin(8);
    await_true("all are in progress", || site.running() == callers.len());
    let reply = site.delegate(100);
    assert!(!reply.declined);
    let at: Vec<usize> = reply.delays.iter().map(|delay| delay.at).collect();
    assert_eq!(at, [0, 1], "requests wait for both shards");
    assert!(reply.delays.iter().all(|delay| delay.micros > 0));
    drop(callers);
    await_true("the requests are cancelled", || site.running() == 0);
    site.set_delay(0);
    await_true("the shards answer again", || site.delegate(1000).parts.len() == 2);
    assert_eq!(site.delegate(1000).delays, [], "nothing waits");
}

/// Guards against waiting requests that are never sent.
#[test]
fn all_served() {
    let site = Scheduled::start();
    site.set_delay(50);
    let callers = site.begin(8);
    for caller in callers {
        let answer = read_answer(caller);
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "0"));
    }
}

/// Guards against queues that operators don't see, and against ones that are shown for good.
#[test]
fn queues_shown() {
    let site = Scheduled::start();
    let shows = |waiting: bool| {
        let metrics = send_request(site.daemon.addresses.operators, "/metrics", "");
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        let from = site.daemon.addresses.operators.to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_harefield")).args(["status", "--from", &from]).output();
        let lines = String::from_utf8_lossy(&output.expect("the command runs").stdout).into_owned();
        let names = ["harefield_dispatch_waiting", "harefield_dispatch_delay_ms"];
        let zeros = ["0", "0.0"].map(|zero| format!("{{rank=\"0\"}} {zero}"));
        let is_zero =
            |name| zeros.iter().any(|zero| text.lines().any(|line| line == format!("{name}{zero}")));
        let known = names.iter().all(|name| text.contains(&format!("{name}{{rank=\"3\"}}")));
        let shards = lines.lines().filter(|line| line.starts_with("waiting: s")).count();
        known && names.iter().all(|name| is_zero(name) != waiting) && shards == if waiting { 8 } else { 0 }
    };
    await_true("nothing waits", || shows(false));
    site.set_delay(600);
    let callers = site.begin(8);
    await_true("the queues are shown", || shows(true));
    drop(callers);
    await_true("nothing waits again", || shows(false));
}

/// Guards against a request that is sent although too few shards can answer in time, and against a
/// refusal that says neither why nor when to return.
#[test]
fn refused_unsent() {
    let site = Scheduled::start();
    site.set_delay(600);
    let callers = site.begin(8);
    await_true("all are in progress", || site.running() == callers.len());
    await_true("requests wait for both shards", || site.delegate(100).delays.len() == 2);
    let answer = request_at(&site.daemon, "/all/x", "late", 40);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    let refused = || site.daemon.timeline("kind=no-shard-room").len();
    await_true("the time line names the reason", || refused() > 0);
    drop(callers);
}
