//! Client accounts on the `/v1/lookups` interface.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use harefield::domain::code::Code;
use harefield::domain::key::KeyDigest;
use harefield::domain::outcome::Answer;

use crate::support::Daemon;
use crate::support::PATIENCE;
use crate::support::World;
use crate::support::await_true;

/// Sends a lookup with further headers and returns the HTTP status and the answer.
fn ask(daemon: &Daemon, headers: &str) -> (String, Answer) {
    let mut stream = TcpStream::connect(daemon.addresses.callers).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout can be set");
    let body = json!({ "query": 1 }).to_string();
    let head = format!(
        "POST /v1/lookups/parcels HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("it is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("it is answered");
    let (head, body) = text.split_once("\r\n\r\n").expect("it has a head");
    (head[9..12].to_owned(), serde_json::from_str(body).expect("the body is an answer"))
}

fn publish(world: &World, name: &str, value: Option<serde_json::Value>) {
    world.platform.publish("config", [(format!("accounts/{name}"), value)].into_iter().collect());
}

#[test]
fn lookups_require_key() {
    let world = World::start(2, "");
    assert_eq!(ask(&world.daemons[0], "").1.code, Code::Whole, "no key is required without accounts");
    publish(&world, "apex", Some(json!({ "keys": [KeyDigest::of(b"key-a").hex()] })));
    for daemon in &world.daemons {
        await_true("a key is required", || ask(daemon, "").1.code == Code::KeyRequired);
        assert_eq!(ask(daemon, "").0, "401");
        assert_eq!(ask(daemon, "Authorization: Bearer key-x\r\n").1.code, Code::KeyUnknown);
        assert_eq!(ask(daemon, "Authorization: Bearer key-a\r\n").1.code, Code::Whole);
    }
}

#[test]
fn required_without_accounts() {
    // With `required` set, a configuration without any account still demands a key.
    let world = World::start(1, "[accounts]\nrequired = true\n");
    assert_eq!(ask(&world.daemons[0], "").1.code, Code::KeyRequired);
}
