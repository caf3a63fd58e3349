//! Invalid input gets an answer with a result code, and the daemon keeps serving.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use standin::Client;

use crate::support::Cluster;
use crate::support::TIMEOUT;
use harefield::domain::code::Code;
use harefield::domain::outcome::Answer;

fn post(cluster: &Cluster, path: &str, body: &str) -> (u16, Answer) {
    let to = cluster.daemons[0].addresses.callers;
    let (status, reply) = Client::once(to, "POST", path, body, TIMEOUT).expect("a reply");
    (status, serde_json::from_slice(&reply).expect("an answer with a result code"))
}

/// Sends raw bytes and returns the response up to its closing brace or the end of the connection.
fn send_raw(cluster: &Cluster, bytes: &[u8]) -> String {
    let mut stream =
        TcpStream::connect(cluster.daemons[0].addresses.callers).expect("the listener accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a timeout can be set");
    stream.write_all(bytes).expect("the bytes are sent");
    let mut reply = Vec::new();
    let mut buffer = [0_u8; 4096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        reply.extend_from_slice(&buffer[..count]);
        if reply.ends_with(b"}") {
            break;
        }
    }
    String::from_utf8_lossy(&reply).into_owned()
}

#[test]
fn numbered_answers() {
    let cluster = Cluster::start(1, "[limits]\nbody-bytes = 2000\n");
    let large = format!("{{\"query\":\"{}\"}}", "x".repeat(3000));
    let cases = [
        ("/v1/lookups/parcels", "{", 400, Code::MalformedBody),
        ("/v1/lookups/parcels", "\u{fffd}", 400, Code::MalformedBody),
        ("/v1/lookups/parcels", "{}", 400, Code::BadField),
        ("/v1/lookups/parcels", "{\"query\":1,\"bogus\":2}", 400, Code::BadField),
        ("/v1/lookups/parcels", "{\"query\":1,\"deadline-ms\":0}", 400, Code::BadField),
        ("/v1/lookups/parcels", "{\"query\":1,\"deadline-ms\":-4}", 400, Code::BadField),
        ("/v1/lookups/nothing", "{\"query\":1}", 404, Code::UnknownLookup),
        ("/v1/nowhere", "{\"query\":1}", 404, Code::UnknownPath),
        ("/v1/lookups/parcels", large.as_str(), 413, Code::BodyTooLarge),
        ("/v1/lookups/parcels-once", "{\"query\":1,\"ticket\":\"x\"}", 400, Code::MalformedTicket),
    ];
    for (path, body, status, code) in cases {
        let (found, answer) = post(&cluster, path, body);
        assert_eq!((found, answer.code), (status, code), "{path} {}", &body[..body.len().min(40)]);
    }
    assert_eq!(cluster.upstreams.tally().taken, 0, "no invalid request reached an upstream");
    assert_eq!(cluster.query(0).code, Code::Whole);
}

#[test]
fn wrong_method() {
    let cluster = Cluster::start(1, "");
    let to = cluster.daemons[0].addresses.callers;
    let (status, _) = Client::once(to, "GET", "/v1/lookups/parcels", "", TIMEOUT).expect("a reply");
    assert_eq!(status, 405);
    let (status, _) = Client::once(to, "GET", "/v1/status", "", TIMEOUT).expect("a reply");
    assert_eq!(status, 404, "operators' paths are not served at the callers' address");
}

#[test]
fn large_head() {
    let cluster = Cluster::start(1, "[limits]\nhead-bytes = 2048\n");
    let filler = "x".repeat(4000);
    let head = format!(
        "POST /v1/lookups/parcels HTTP/1.1\r\nhost: h\r\nfiller: {filler}\r\ncontent-length: 0\r\n\r\n"
    );
    assert!(send_raw(&cluster, head.as_bytes()).contains("HF1012"));
    let huge = format!("POST / HTTP/1.1\r\nhost: h\r\nfiller: {}\r\n\r\n", "x".repeat(400_000));
    let mut stream =
        TcpStream::connect(cluster.daemons[0].addresses.callers).expect("the listener accepts connections");
    drop(stream.write_all(huge.as_bytes()));
    assert_eq!(cluster.query(0).code, Code::Whole);
}

#[test]
fn slow_body() {
    let cluster = Cluster::start(1, "[limits]\nbody-ms = 200\n");
    let head = "POST /v1/lookups/parcels HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\n{\"que";
    assert!(send_raw(&cluster, head.as_bytes()).contains("HF1008"));
}

#[test]
fn slow_head() {
    let cluster = Cluster::start(1, "[limits]\nhead-ms = 200\n");
    let start = std::time::Instant::now();
    send_raw(&cluster, b"POST /v1/lookups/parcels HTTP/1.1\r\nhost:");
    assert!(start.elapsed() < Duration::from_secs(5), "the connection is closed in time");
    assert_eq!(cluster.query(0).code, Code::Whole);
}

#[test]
fn garbage_bytes() {
    let cluster = Cluster::start(1, "");
    for bytes in [&b"\0\xff\0\xff"[..], b"GET\r\n\r\n", b"\r\n\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n"] {
        drop(send_raw(&cluster, bytes));
    }
    assert_eq!(cluster.query(0).code, Code::Whole);
}

#[test]
fn garbage_for_peers() {
    let cluster = Cluster::start(1, "");
    let to = cluster.daemons[0].addresses.peers;
    for path in ["/v1/forward", "/v1/exchange", "/v1/pull", "/v1/x"] {
        let (status, _) = Client::once(to, "POST", path, "garbage", TIMEOUT).expect("a reply");
        assert!((400..500).contains(&status), "{path} {status}");
    }
    assert_eq!(cluster.query(0).code, Code::Whole);
}
