//! The operators' address: resources with their observed conditions, tokens, the web page.

use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::Client;

use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::TIMEOUT;
use crate::support::await_true;
use harefield::domain::code::Code;
use harefield::domain::revision::Revision;

fn get(daemon: &Daemon, path: &str) -> (u16, Value) {
    let reply = Client::once(daemon.addresses.operators, "GET", path, "", TIMEOUT);
    let (status, body) = reply.expect("operators are answered");
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

fn item(daemon: &Daemon, key: &str) -> Value {
    let (status, listing) = get(daemon, &format!("/v1/resources/{key}"));
    assert_eq!(status, 200, "{key}");
    listing["items"][0].clone()
}

#[test]
fn spec_and_conditions() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change("parcels-00-0", |b| b.draining = true);
    let daemon = &cluster.daemons[0];
    let mut sent = 0;
    await_true("the draining is observed by a request", || {
        cluster.query(0);
        sent += 1;
        item(daemon, "upstreams/parcels-00-0")["conditions"]["leaving"] == true
    });
    let upstream = item(daemon, "upstreams/parcels-00-1");
    assert_eq!(upstream["spec"]["slots"], 2);
    assert_eq!(upstream["conditions"]["held"], json!([1]));
    await_true("answers are counted", || item(daemon, "lookups/parcels")["conditions"]["whole"] == sent);
    assert_eq!(get(daemon, "/v1/resources/nothing").0, 404);
    assert_eq!(get(daemon, "/v1/resources/lookups/nothing").0, 404);
}

#[test]
fn listed_by_team() {
    let cluster = Cluster::start(1, "");
    cluster.await_revision(Revision::first(1));
    let (_, all) = get(&cluster.daemons[0], "/v1/resources/lookups");
    let (_, own) = get(&cluster.daemons[0], "/v1/resources/lookups?team=parcels");
    let (_, none) = get(&cluster.daemons[0], "/v1/resources/lookups?team=others");
    assert_eq!(all["items"].as_array().map(Vec::len), own["items"].as_array().map(Vec::len));
    assert_eq!(none["items"], json!([]));
}

#[test]
fn rejected_revision_shown() {
    let cluster = Cluster::start(1, "");
    let bad = json!({ "index": "nowhere", "urgency": "urgent", "deadline-ms": 1, "repeatable": true, "prefer": "time" });
    let revision = cluster.publish("lookups/bad", bad);
    let daemon = &cluster.daemons[0];
    await_true("the rejected revision is shown", || {
        let (_, listing) = get(daemon, "/v1/resources/lookups");
        listing["refused"] == json!(revision)
    });
    let shown = item(daemon, "lookups/bad");
    assert_eq!(shown["accepted"], false);
    assert_eq!(shown["faults"][0]["code"], json!(Code::ResourceReference));
}

#[test]
fn watch_revision() {
    let cluster = Cluster::start(1, "");
    cluster.await_revision(Revision::first(1));
    let operators = cluster.daemons[0].addresses.operators;
    let watch = thread::spawn(move || {
        let path = "/v1/resources/lookups?after=1&wait-ms=15000";
        Client::once(operators, "GET", path, "", TIMEOUT).expect("a response arrives")
    });
    thread::sleep(Duration::from_millis(300));
    assert!(!watch.is_finished(), "the watch waits for a change");
    let lookup = json!({ "index": "parcels", "urgency": "bulk", "deadline-ms": 5, "repeatable": true, "prefer": "time" });
    cluster.publish("lookups/new", lookup);
    let (_, body) = watch.join().expect("the thread does not panic");
    let listing: Value = serde_json::from_slice(&body).expect("the body is JSON");
    assert_eq!(listing["revision"], 2);
}

#[test]
fn check_before() {
    let cluster = Cluster::start(1, "");
    let body = json!({ "items": { "lookups/x": { "index": "nowhere" }, "things/y": 1 } }).to_string();
    let operators = cluster.daemons[0].addresses.operators;
    let (status, reply) = Client::once(operators, "POST", "/v1/check", &body, TIMEOUT).expect("a reply");
    let checked: Value = serde_json::from_slice(&reply).expect("the body is JSON");
    assert_eq!(status, 200);
    assert_eq!(checked["accepted"], false);
    assert_eq!(checked["faults"].as_array().map(Vec::len), Some(2));
}

#[test]
fn tokens_required() {
    let path = std::env::temp_dir().join(format!("harefield-token-{}", std::process::id()));
    std::fs::write(&path, "secret\n").expect("the token can be written");
    let extra = format!("token-file = {path:?}\n[events]\ntoken-file = {path:?}\n");
    let cluster = Cluster::start(0, "");
    let daemon = Daemon::start(&cluster.settings(&extra));
    drop(std::fs::remove_file(&path));
    let (status, refusal) = get(&daemon, "/v1/status");
    assert_eq!((status, &refusal["code"]), (401, &json!(Code::TokenRequired)));
    let peers = Client::once(daemon.addresses.peers, "POST", "/v1/exchange", "", TIMEOUT).expect("a reply");
    assert_eq!(peers.0, 401);
    let page = Client::once(daemon.addresses.operators, "GET", "/", "", TIMEOUT).expect("a reply");
    assert_eq!(page.0, 200, "the page itself contains no data and prompts for the token");
}

#[test]
fn page_and_waterfall() {
    let cluster = Cluster::start(2, "");
    let answer = cluster.query(0);
    let operators = cluster.daemons[1].addresses.operators;
    let text = |path: &str| {
        let (_, body) = Client::once(operators, "GET", path, "", TIMEOUT).expect("a reply");
        String::from_utf8_lossy(&body).into_owned()
    };
    assert!(text("/").contains("<title>harefield</title>"));
    let path = format!("/v1/fleet/waterfall?request={}", answer.request);
    await_true("another daemon renders the waterfall", || text(&path).contains("parcels-02/0"));
    let fleet: Value = serde_json::from_str(&text("/v1/fleet/status")).expect("the body is JSON");
    assert_eq!(fleet["daemons"].as_array().map(Vec::len), Some(2));
}
