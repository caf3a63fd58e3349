//! Replies that are no valid HTTP, or whose status is none that ends a reply. They are treated as a
//! reply that was lost, and nothing of them is passed on.
//!
//! Guards against statuses such as 101 and 600, which callers got as an answer, and which counted as
//! a success of the upstream.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standin::RawServer;
use standin::upstream_entry;

use crate::site_support::Answer;
use crate::site_support::Site;
use crate::site_support::known_upstreams;
use crate::site_support::request_at;
use crate::site_support::send_request;
use crate::support::await_true;

/// How long requests are sent.
const PLAY: Duration = Duration::from_secs(2);

/// How many requests are sent that may run only once.
const ONCE: usize = 20;

/// The part of all requests that may be sent to a second upstream, and how many more: `extra-load`
/// and `extra-slack` of the daemon's settings.
const EXTRA_LOAD: f64 = 0.2;
const EXTRA_SLACK: f64 = 50.0;

/// A header that only the invalid replies contain.
const MARK: &str = "x-invalid";

/// Returns a reply with a status, else valid.
fn with_status(status: &str) -> Vec<u8> {
    with_head(&format!("HTTP/1.1 {status} Odd\r\n"), "")
}

/// Returns a reply with one more line in its head, else valid.
fn with_line(line: &str) -> Vec<u8> {
    with_head("HTTP/1.1 200 OK\r\n", &format!("{line}\r\n"))
}

fn with_head(first: &str, line: &str) -> Vec<u8> {
    let body = "z".repeat(32);
    let headers = format!("Server-Seal: i-invalid.x\r\n{MARK}: 1\r\n{line}Content-Length: 32\r\n\r\n");
    format!("{first}{headers}{body}").into_bytes()
}

fn is_passed_on(answer: &Answer) -> bool {
    answer.headers.contains_key(MARK)
        || answer.header("server-seal").starts_with("i-invalid")
        || answer.body.contains(&b'z')
}

/// Plays an upstream with this reply beside one that works, of a service and of a shard. Its replies
/// come at once if `is_complete`; otherwise they are awaited until a deadline.
fn play(reply: &[u8], is_complete: bool) {
    let site = Site::start_with(1, "");
    let server = RawServer::start(reply);
    let entry = |service| upstream_entry(server.address(), "hall", service, "ready");
    site.store.put("servers/i-invalid-one", Some(&entry("one")));
    site.store.put("servers/i-invalid-s1", Some(&entry("s1")));
    let is_known =
        || known_upstreams(&site.daemon).iter().filter(|name| name.contains("invalid")).count() == 2;
    await_true("the upstreams are known", is_known);
    for number in 0..ONCE {
        check_once(&site, &server, &format!("once-{number}"));
    }
    let begun = server.requests().len();
    let (started, mut sent, mut whole) = (Instant::now(), 0_u32, 0_u32);
    while started.elapsed() < PLAY {
        let one = site.request("/one/x", &format!("one-{sent}"));
        let all = site.request("/all/x", &format!("all-{sent}"));
        assert!(!is_passed_on(&one) && !is_passed_on(&all), "passed on: {one:?} {all:?}");
        sent += 2;
        whole += u32::from(one.status == 200);
        whole += u32::from(all.status == 200 && all.header("missing-parts") == "0");
    }
    if is_complete {
        assert_eq!(whole, sent, "served whole");
    }
    let got = server.requests().len() - begun;
    let most = EXTRA_LOAD * f64::from(sent) + EXTRA_SLACK;
    assert!(f64::from(u32::try_from(got).unwrap_or(u32::MAX)) <= most, "{got} of {sent} went there");
}

/// Sends a request that may run only once, and checks that it went to one upstream, whose reply is
/// passed on unless it is invalid. No answer says that the request has not run.
fn check_once(site: &Site, server: &RawServer, id: &str) {
    let answer = site.request("/one/once/x", id);
    assert!(!is_passed_on(&answer), "passed on: {answer:?}");
    let lost = server.requests().iter().filter(|sent| *sent == id).count();
    let run = site.runs(id);
    assert!(lost + run <= 1, "{id} was sent {} times", lost + run);
    match lost {
        0 => assert_eq!(answer.status, 200),
        _ => assert!([502, 504].contains(&answer.status), "{answer:?}"),
    }
}

#[test]
fn status_zero() {
    play(&with_status("000"), true);
}

#[test]
fn status_below_100() {
    play(&with_status("099"), true);
}

#[test]
fn status_length() {
    play(&with_status("20"), true);
    play(&with_status("2000"), true);
}

#[test]
fn signed_status() {
    play(&with_status("-20"), true);
    play(&with_status("+20"), true);
}

#[test]
fn switching_protocols() {
    play(&with_status("101"), true);
}

#[test]
fn status_600() {
    play(&with_status("600"), true);
}

#[test]
fn status_777() {
    play(&with_status("777"), true);
}

#[test]
fn status_999() {
    play(&with_status("999"), true);
}

#[test]
fn interim_only() {
    play(b"HTTP/1.1 100 Continue\r\n\r\n", false);
    play(b"HTTP/1.1 102 Processing\r\n\r\n", false);
}

#[test]
fn blank_in_name() {
    play(&with_line("x own: 1"), true);
}

#[test]
fn name_control_byte() {
    play(&with_line("x\u{1}own: 1"), true);
    play(&with_line("x\u{0}own: 1"), true);
}

#[test]
fn name_beyond_ascii() {
    play(&with_line("x\u{e9}own: 1"), true);
}

#[test]
fn blank_before_colon() {
    play(&with_line("x-own : 1"), true);
    play(&with_line("x-own\t: 1"), true);
}

#[test]
fn blank_after_framing() {
    play(&with_line("Content-Length : 3"), true);
    play(&with_line("Transfer-Encoding : chunked"), true);
}

#[test]
fn no_name() {
    play(&with_line(": 1"), true);
}

#[test]
fn no_colon() {
    play(&with_line("x-own 1"), true);
}

#[test]
fn folded_line() {
    play(&with_line("x-own: 1\r\n 2"), true);
}

#[test]
fn blank_first() {
    play(&with_head(" HTTP/1.1 200 OK\r\n", ""), true);
}

#[test]
fn two_lengths() {
    play(&with_line("Content-Length: 16"), true);
}

#[test]
fn length_beside_chunks() {
    play(&with_line("Transfer-Encoding: chunked"), true);
}

#[test]
fn signed_length() {
    let reply = String::from_utf8(with_line("x-own: 1")).expect("the reply is text");
    play(reply.replace("Content-Length: 32", "Content-Length: +32").as_bytes(), true);
}

#[test]
fn bare_cr() {
    play(&with_line("x-own: 1\r2"), true);
}

#[test]
fn value_control_byte() {
    play(&with_line("x-own: 1\u{1}2"), true);
}

/// Daemons that take such a server for the store and for another daemon read the store all the same.
#[test]
fn store_and_peers() {
    let mut site = Site::start();
    let replies = ["000", "101", "102", "600", "777", "999"].map(|status| {
        let body = r#"{"items":[],"truncated":false,"storeRevision":9}"#;
        let length = body.len();
        format!("HTTP/1.1 {status} Odd\r\ncontent-length: {length}\r\n\r\n{body}")
    });
    let servers: Vec<RawServer> = replies.iter().map(|reply| RawServer::start(reply.as_bytes())).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(RawServer::address).collect();
    for address in &addresses {
        site.add_daemon_beside(*address);
    }
    for (daemon, reply) in site.others.iter().zip(&replies) {
        let is_joined = || request_at(daemon, "/all/x", "joined", 2000).status == 200;
        await_true(&format!("it serves beside {reply:?}"), is_joined);
    }
    std::thread::sleep(PLAY);
    for (daemon, server) in site.others.iter().zip(&servers) {
        assert!(!server.requests().is_empty(), "the server was asked");
        assert_eq!(request_at(daemon, "/all/x", "later", 2000).status, 200);
        let ready = send_request(daemon.addresses.operators, "/ready", "");
        assert_eq!(ready.status, 200, "the daemon is ready");
    }
}
