//! Requests that a planned stop finds in progress are answered before the process ends.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::ReplyMode;

use crate::site_support::Answer;
use crate::site_support::Site;
use crate::site_support::begin_with;
use crate::site_support::read_answer;
use crate::site_support::request_at;
use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::TIMEOUT;
use crate::support::await_true;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::outcome::Outcome;

/// How long the daemons wait for requests in progress, in milliseconds.
const LIMIT: u64 = 1500;

/// The section of their settings.
const STOP: &str = "[stop]\nlinger-ms = 100\nlimit-ms = 1500\n";

/// Far longer than any stop in these tests.
const LONG: Duration = Duration::from_secs(8);

/// How a daemon exits if it ended requests that may have run.
const CUT: Option<i32> = Some(9);

fn routes() -> Vec<Value> {
    let route = |name: &str, kind: &str, prefix: &str| {
        json!({
            "name": name, "host": "x.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 10_000,
            "targetLatencyMs": 8000, "priority": 1, "attempts": 2,
        })
    };
    let mut all = route("all", "safe", "/p/all/");
    all["fanoutServices"] = json!(["s1", "s2", "s3"]);
    all["resultLimit"] = json!(4);
    all["oldestVersion"] = json!(0.6);
    let (mut one, mut unsafe_one) = (route("one", "safe", "/p/one/"), route("once", "unsafe", "/p/once/"));
    one["service"] = json!("one");
    unsafe_one["service"] = json!("one");
    let mut check = route("check", "safe", "/p/check/");
    check["service"] = json!("s1");
    vec![all, one, unsafe_one, check]
}

/// Starts daemons with patient routes, which serve idle connections for a moment after a signal.
fn site(count: usize, routing: &str) -> Site {
    site_with(count, &format!("{routing}{STOP}"))
}

/// Starts daemons with patient routes, which serve idle connections until the stop limit.
pub fn lingering_site(count: usize, routing: &str) -> Site {
    site_with(count, &format!("{routing}{}", STOP.replace("linger-ms = 100", "linger-ms = 1400")))
}

fn site_with(count: usize, section: &str) -> Site {
    let site = Site::start_with(count, section);
    site.publish(2, &routes());
    await_true("the routes are in force", || {
        site.daemons().all(|daemon| request_at(daemon, "/p/check/x", "check", 9000).status == 200)
    });
    site
}

pub fn slow(site: &Site, upstream: &str, delay: Duration) {
    site.upstreams[upstream].set_mode(ReplyMode::Good, delay);
}

/// Sends requests on connections of their own, and returns their answers and how long each took.
fn send_all(site: &Site, path: &'static str, count: usize) -> Vec<JoinHandle<(String, Answer, Duration)>> {
    let send = |number: usize| {
        let id = format!("r{number:02}");
        let headers = format!("Attempt-Id: {id}\r\nDeadline-Remaining: 9000\r\nConnection: close\r\n");
        let stream = begin_with(&site.daemon, path, &headers);
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
        let sent = Instant::now();
        std::thread::spawn(move || (id, read_answer(stream), sent.elapsed()))
    };
    (0..count).map(send).collect()
}

/// Publishes the lookup `patient`, whose deadline is far longer than any stop here.
fn publish_patient(cluster: &Cluster, repeatable: bool) {
    let lookup = json!({
        "team": "parcels", "index": "parcels", "urgency": "ordinary", "deadline-ms": 9000,
        "repeatable": repeatable, "prefer": "coverage",
    });
    cluster.await_revision(cluster.publish("lookups/patient", lookup));
}

fn limit() -> Duration {
    Duration::from_millis(LIMIT)
}

/// Returns the position of the daemon that forwards requests for the service `one` to the other.
fn front(site: &Site) -> usize {
    let forwards = |daemon: &Daemon| {
        assert_eq!(request_at(daemon, "/p/once/x", "probe", 9000).status, 200);
        !daemon.timeline("kind=forwarded&request=probe").is_empty()
    };
    let mut found = None;
    await_true("one has forwarded a request", || {
        found = site.daemons().position(forwards);
        found.is_some()
    });
    found.expect("it was awaited")
}

/// Guards against requests that waited for an upstream, and whose connections ended without an
/// answer when the process did.
#[test]
fn waiting_refused() {
    let mut site = site(1, "");
    slow(&site, "i-one", LONG);
    let clients = send_all(&site, "/p/once/x", 40);
    await_true("some run", || !site.upstreams["i-one"].arrivals().is_empty());
    std::thread::sleep(Duration::from_millis(200));
    let stopped = Instant::now();
    site.daemon.signal("TERM");
    let (mut refused, mut cut) = (0, 0);
    for client in clients {
        let (id, answer, _) = client.join().expect("every request is answered");
        let ran = site.runs(&id) > 0;
        match answer.status {
            503 => {
                refused += 1;
                assert!(!ran, "{id} is said not to have run");
            }
            504 => {
                cut += 1;
                assert!(ran, "{id} could have been refused");
            }
            other => panic!("{id}: {other}"),
        }
    }
    assert!(refused > 0 && cut > 0, "{refused} refused, {cut} cut");
    assert!(stopped.elapsed() < limit(), "{:?}", stopped.elapsed());
    assert_eq!(site.daemon.wait(), CUT);
}

/// Guards against refusals for fear: what ends in time is served.
#[test]
fn quick_served() {
    let mut site = site(1, "");
    slow(&site, "i-one", Duration::from_millis(600));
    let clients = send_all(&site, "/p/once/x", 2);
    await_true("both run", || site.runs("r00") + site.runs("r01") == 2);
    site.daemon.signal("TERM");
    for client in clients {
        let (id, answer, _) = client.join().expect("every request is answered");
        assert_eq!(answer.status, 200, "{id}");
    }
    assert_eq!(site.daemon.wait(), Some(0));
}

/// A request that arrives during the stop and would take longer than is left is refused at once.
#[test]
fn hopeless_refused() {
    let mut site = lingering_site(2, "cell-size = 2\n");
    slow(&site, "i-one", Duration::from_secs(1));
    for client in send_all(&site, "/p/once/x", 3) {
        assert_eq!(client.join().expect("an answer").1.status, 200);
    }
    let mut kept = TcpStream::connect(site.daemon.addresses.callers).expect("a connection");
    kept.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    site.daemon.signal("TERM");
    std::thread::sleep(limit().saturating_sub(Duration::from_millis(500)));
    let sent = Instant::now();
    let head = "GET /p/once/x HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: late\r\n\
                Deadline-Remaining: 9000\r\nConnection: close\r\n\r\n";
    kept.write_all(head.as_bytes()).expect("the bytes are sent");
    let answer = read_answer(kept);
    assert!(sent.elapsed() < Duration::from_millis(250), "{:?}", sent.elapsed());
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), "0.050", "the other daemon can take it");
    assert_eq!(site.runs("late"), 0);
    assert_eq!(site.daemon.wait(), Some(0));
}

/// The last daemon tells callers to come back once it has ended, since no other takes requests.
#[test]
fn last_daemon_waits() {
    let mut site = site(2, "cell-size = 2\n");
    slow(&site, "i-one", LONG);
    site.others[0].signal("TERM");
    let clients = send_all(&site, "/p/once/x", 30);
    await_true("some run", || !site.upstreams["i-one"].arrivals().is_empty());
    std::thread::sleep(Duration::from_millis(200));
    let stopped = Instant::now();
    site.daemon.signal("TERM");
    let mut refused = 0;
    for client in clients {
        let (id, answer, _) = client.join().expect("every request is answered");
        if answer.status == 503 {
            refused += 1;
            let wait: f64 = answer.header("retry-after").parse().expect("a number");
            let back = stopped.elapsed() + Duration::from_secs_f64(wait);
            assert!(back + Duration::from_millis(100) > limit(), "{id} may come back after {back:?}");
        }
    }
    assert!(refused > 0);
    assert_eq!(site.daemon.wait(), CUT);
    site.others[0].wait();
}

/// Guards against replies that are lost because one shard is still awaited at the limit.
#[test]
fn gathered_delivered() {
    let mut site = site(1, "");
    slow(&site, "i-s3", LONG);
    let clients = send_all(&site, "/p/all/x", 1);
    await_true("all shards run", || site.runs("r00") == 3);
    site.daemon.signal("TERM");
    for client in clients {
        let (_, answer, _) = client.join().expect("an answer");
        assert_eq!((answer.status, answer.header("missing-parts")), (200, "1"));
    }
    assert_eq!(site.daemon.wait(), Some(0));
}

/// A request at work may have run, and its caller hears so before the connection closes.
#[test]
fn repeatable_cut() {
    let mut site = site(1, "");
    slow(&site, "i-one", LONG);
    let clients = send_all(&site, "/p/one/x", 1);
    await_true("it runs", || site.runs("r00") == 1);
    site.daemon.signal("TERM");
    for client in clients {
        assert_eq!(client.join().expect("an answer").1.status, 504);
    }
    assert_eq!(site.daemon.wait(), CUT);
}

/// A daemon that stops answers what another one runs for it, also where that one is killed.
#[test]
fn forwarded_answered() {
    let mut site = site(2, "cell-size = 1\n");
    slow(&site, "i-one", LONG);
    let ids = ["front", "other"];
    let begin = |daemon, id: &str| {
        let headers = format!("Attempt-Id: {id}\r\nDeadline-Remaining: 9000\r\nConnection: close\r\n");
        begin_with(daemon, "/p/once/x", &headers)
    };
    let streams = [begin(&site.daemon, ids[0]), begin(&site.others[0], ids[1])];
    await_true("both run", || ids.iter().all(|id| site.runs(id) == 1));
    let stopped = Instant::now();
    site.daemon.signal("TERM");
    site.others[0].signal("TERM");
    for (stream, id) in streams.into_iter().zip(ids) {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
        assert_eq!(read_answer(stream).status, 504, "{id}");
    }
    assert!(stopped.elapsed() < limit(), "{:?}", stopped.elapsed());
    assert_eq!(site.daemon.wait(), CUT);
    site.others[0].wait();
}

/// A stop beside the end of the daemon that runs a request.
#[test]
fn killed_peer_answered() {
    let mut site = site(2, "cell-size = 1\n");
    let front = front(&site);
    slow(&site, "i-one", LONG);
    let headers = "Attempt-Id: r\r\nDeadline-Remaining: 9000\r\nConnection: close\r\n";
    let streams: Vec<_> = site.daemons().map(|d| begin_with(d, "/p/once/x", headers)).collect();
    await_true("both run", || site.runs("r") == 2);
    let daemons = [&mut site.daemon, &mut site.others[0]];
    daemons[front].signal("TERM");
    daemons[1 - front].signal("KILL");
    let stream = streams.into_iter().nth(front).expect("two connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    assert_eq!(read_answer(stream).status, 504);
    daemons[front].wait();
}

/// A request that waits at a daemon that stops is taken by another member.
#[test]
fn handed_back() {
    let mut site = site(2, "cell-size = 1\n");
    slow(&site, "i-one", Duration::from_millis(700));
    let front = front(&site);
    let member = 1 - front;
    let send = |id: String| {
        let headers = format!("Attempt-Id: {id}\r\nDeadline-Remaining: 9000\r\nConnection: close\r\n");
        let daemon = if front == 0 { &site.daemon } else { &site.others[0] };
        let stream = begin_with(daemon, "/p/once/x", &headers);
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
        std::thread::spawn(move || (id, read_answer(stream)))
    };
    let clients: Vec<_> = (0..12).map(|number| send(format!("h{number:02}"))).collect();
    await_true("some run", || site.runs("h00") + site.runs("h01") + site.runs("h02") > 0);
    if member == 0 { &site.daemon } else { &site.others[0] }.signal("TERM");
    let mut served = 0;
    for client in clients {
        let (id, answer) = client.join().expect("every request is answered");
        assert!([200, 503].contains(&answer.status), "{id}: {answer:?}");
        assert!(site.runs(&id) <= 1, "{id} runs once");
        served += usize::from(answer.status == 200);
    }
    assert!(served > 4, "{served}");
    let leaving = if member == 0 { &mut site.daemon } else { &mut site.others[0] };
    leaving.wait();
}

/// A body that is still arriving at the limit is refused.
#[test]
fn partial_body_refused() {
    let mut cluster = Cluster::start(1, &format!("[limits]\nbody-ms = 9000\n{STOP}"));
    let mut stream = TcpStream::connect(cluster.daemons[0].addresses.callers).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    let head = "POST /v1/lookups/parcels HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).expect("the bytes are sent");
    std::thread::sleep(Duration::from_millis(100));
    cluster.daemons[0].signal("TERM");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer before the connection closes");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("HF2003"), "{answer}");
    cluster.daemons[0].wait();
}

/// Requests that wait at the gate are refused as not run, and those at work may have run.
#[test]
fn gate_refused() {
    let mut cluster = Cluster::start(1, &format!("[limits]\nrunning = 2\nworkers = 1\n{STOP}"));
    cluster.upstreams.change_all(|b| b.frozen = true);
    let to = cluster.daemons[0].addresses.callers;
    let send = || std::thread::spawn(move || send_lookup(to, "patient", &json!({ "query": 1 })));
    publish_patient(&cluster, true);
    let threads: Vec<_> = (0..6).map(|_| send()).collect();
    await_true("requests wait", || cluster.daemons[0].status().workers.values().any(|w| w.waiting > 0));
    cluster.daemons[0].signal("TERM");
    let answers = threads.into_iter().map(|t| t.join().expect("no panic").expect("an answer"));
    let answers: Vec<_> = answers.collect();
    let refused = answers.iter().filter(|a| a.outcome == Outcome::NotRun && a.code == Code::Stopping);
    let cut = answers.iter().filter(|a| a.outcome == Outcome::MayHaveRun && a.code == Code::StopLimit);
    assert_eq!(
        (refused.count(), cut.count()),
        (4, 2),
        "{:?}",
        answers.iter().map(|a| a.code).collect::<Vec<_>>()
    );
    assert_eq!(cluster.daemons[0].wait(), CUT);
}

/// A submission that waits for the outcome of another one under the same ticket may have run.
#[test]
fn ledger_wait_answered() {
    let mut cluster = Cluster::start(1, STOP);
    publish_patient(&cluster, false);
    let ticket = cluster.lookup(0, "patient", &json!({ "query": 1 })).ticket.expect("a ticket");
    cluster.upstreams.change_all(|b| b.frozen = true);
    let to = cluster.daemons[0].addresses.callers;
    let body = json!({ "query": 1, "ticket": ticket });
    let threads: Vec<_> = (0..2)
        .map(|_| {
            let body = body.clone();
            std::thread::spawn(move || send_lookup(to, "patient", &body))
        })
        .collect();
    await_true("it runs", || cluster.daemons[0].status().workers.values().any(|w| w.first > 0));
    std::thread::sleep(Duration::from_millis(100));
    cluster.daemons[0].signal("TERM");
    for thread in threads {
        let answer = thread.join().expect("no panic").expect("an answer");
        assert_eq!(answer.outcome, Outcome::MayHaveRun, "{}", answer.code);
    }
    assert_eq!(cluster.daemons[0].wait(), CUT);
}

/// A connection without a request stays open until the end; a request on it just before is refused.
#[test]
fn silent_connection() {
    let mut site = lingering_site(1, "");
    let mut silent = TcpStream::connect(site.daemon.addresses.callers).expect("a connection");
    silent.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    let stopped = Instant::now();
    site.daemon.signal("TERM");
    std::thread::sleep(limit().saturating_sub(stopped.elapsed() + Duration::from_millis(150)));
    let head = "GET /p/one/x HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: last\r\n\
                Deadline-Remaining: 9000\r\n\r\n";
    silent.write_all(head.as_bytes()).expect("the bytes are sent");
    assert_eq!(read_answer(silent).status, 503);
    assert_eq!(site.runs("last"), 0);
    site.daemon.wait();
}

/// A second signal ends the stop within moments, and requests are answered all the same.
#[test]
fn second_signal_answers() {
    let mut site = site(1, "");
    slow(&site, "i-one", LONG);
    let clients = send_all(&site, "/p/once/x", 30);
    await_true("some run", || !site.upstreams["i-one"].arrivals().is_empty());
    std::thread::sleep(Duration::from_millis(200));
    site.daemon.signal("TERM");
    std::thread::sleep(Duration::from_millis(100));
    let hastened = Instant::now();
    site.daemon.signal("TERM");
    for client in clients {
        let (id, answer, _) = client.join().expect("every request is answered");
        assert_eq!(answer.status, if site.runs(&id) > 0 { 504 } else { 503 }, "{id}");
    }
    assert!(hastened.elapsed() < Duration::from_millis(500), "{:?}", hastened.elapsed());
    assert_eq!(site.daemon.wait(), CUT);
}

/// A daemon without a configuration stops as any other.
#[test]
fn unconfigured_stop() {
    let mut site = Site::unconfigured();
    let start = Instant::now();
    site.daemon.signal("TERM");
    assert_eq!(request_at(&site.daemon, "/all/x", "r", 900).status, 503);
    assert_eq!(site.daemon.wait(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

/// Guards against a start that takes no notice of a signal until it has joined.
#[test]
fn stop_while_joining() {
    // Takes connections and never answers, so that the daemon waits for as long as it may.
    let silent = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let silent = silent.local_addr().map(|address| (address, silent)).expect("it is bound");
    let settings = format!(
        "[host]\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\n[platform]\naddresses = [\"{0}\"]\n\
         [peers]\nseeds = [\"{0}\"]\njoin-ms = 8000\n[stop]\nlinger-ms = 100\n",
        silent.0
    );
    let mut daemon = Daemon::start_joining(&settings);
    std::thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    daemon.signal("TERM");
    daemon.wait();
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}
