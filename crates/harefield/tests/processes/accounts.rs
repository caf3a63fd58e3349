//! Client accounts on the `/v1/lookups` interface.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use harefield::domain::code::Code;
use harefield::domain::key::KeyDigest;
use harefield::domain::outcome::Answer;

use crate::support::Cluster;
use crate::support::Daemon;
use crate::support::TIMEOUT;
use crate::support::await_true;

/// Sends a lookup with further headers and returns the HTTP status and the answer.
fn send_lookup(daemon: &Daemon, headers: &str) -> (String, Answer) {
    let mut stream = TcpStream::connect(daemon.addresses.callers).expect("the listener accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    let body = json!({ "query": 1 }).to_string();
    let head = format!(
        "POST /v1/lookups/parcels HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the bytes are sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a response arrives");
    let (head, body) = text.split_once("\r\n\r\n").expect("the response has a head");
    (head[9..12].to_owned(), serde_json::from_str(body).expect("the body is an answer"))
}

fn publish(cluster: &Cluster, name: &str, value: Option<serde_json::Value>) {
    cluster.platform.publish("config", [(format!("accounts/{name}"), value)].into_iter().collect());
}

#[test]
fn lookups_require_key() {
    let cluster = Cluster::start(2, "");
    assert_eq!(
        send_lookup(&cluster.daemons[0], "").1.code,
        Code::Whole,
        "no key is required without accounts"
    );
    publish(&cluster, "apex", Some(json!({ "keys": [KeyDigest::of(b"key-a").hex()] })));
    for daemon in &cluster.daemons {
        await_true("a key is required", || send_lookup(daemon, "").1.code == Code::KeyRequired);
        assert_eq!(send_lookup(daemon, "").0, "401");
        assert_eq!(send_lookup(daemon, "Authorization: Bearer key-x\r\n").1.code, Code::KeyUnknown);
        assert_eq!(send_lookup(daemon, "Authorization: Bearer key-a\r\n").1.code, Code::Whole);
    }
}

#[test]
fn required_without_accounts() {
    // With `required` set, a configuration without any account still demands a key.
    let cluster = Cluster::start(1, "[accounts]\nrequired = true\n");
    assert_eq!(send_lookup(&cluster.daemons[0], "").1.code, Code::KeyRequired);
}
