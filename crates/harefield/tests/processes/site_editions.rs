//! Once a daemon has returned an answer under an edition, it never answers under an older one,
//! even if another daemon ran the request.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde::Serialize;
use serde_bytes::ByteBuf;
use serde_json::json;

use crate::site_support::Site;
use crate::site_support::routes;
use crate::site_support::send_request;
use crate::support::await_true;
use harefield::domain::code::Code;
use harefield::domain::hlc::Stamp;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;
use harefield::ports::Exchange;
use harefield::ports::Forward;

/// The edition under which the fake daemon answers.
const NEWER: u64 = 7;

/// A fake daemon that answers gossip and forwarded requests with fixed replies.
#[derive(Clone, Default)]
struct FakeDaemon {
    /// The minimum editions of the requests forwarded to it.
    editions: Arc<Mutex<Vec<u64>>>,
    gone: Arc<AtomicBool>,
}

/// The reply to a forwarded request in its wire format.
#[derive(Serialize)]
enum WireReply {
    Json(ByteBuf),
}

fn stamp() -> Stamp {
    Stamp { micros: 0, count: 0 }
}

impl FakeDaemon {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let this = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream, address));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, own: SocketAddr) {
        while let Some((head, body)) = read(&mut stream) {
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            let reply = match head.split(' ').nth(1) {
                Some("/v1/exchange") => rmp_serde::to_vec_named(&exchange(own)),
                Some("/v1/forward") => self.answer(&body),
                _ => return,
            };
            let reply = reply.expect("the reply can be encoded");
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
            let written = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&reply));
            if written.is_err() {
                return;
            }
        }
    }

    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let message: Forward = rmp_serde::from_slice(body).expect("the body is a forwarded request");
        self.editions.lock().expect("nobody panicked").push(message.edition);
        let answer = Answer::empty(&message.request, Outcome::MayHaveRun, Code::ReplyLost);
        let json = ByteBuf::from(serde_json::to_vec(&answer).expect("the body is JSON"));
        rmp_serde::to_vec(&(stamp(), NEWER, WireReply::Json(json)))
    }
}

/// Returns a gossip message by which this daemon has by far the highest capacity of its
/// availability zone, so that it becomes the member of the cell.
fn exchange(own: SocketAddr) -> Exchange {
    let row = MemberRow {
        host: own.to_string().into(),
        zone: "hall".into(),
        operators: "127.0.0.1:1".into(),
        incarnation: 1,
        version: 0,
        state: PeerState::Live,
        blind: false,
        capacity: 1_000_000,
    };
    Exchange {
        from: own.to_string().into(),
        incarnation: 1,
        stamp: stamp(),
        marks: Vec::new(),
        rows: vec![row],
        announcements: Vec::new(),
        suspects: Vec::new(),
    }
}

/// Reads one request with a content length; returns none when the connection has ended.
fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

#[test]
fn seen_stays_seen() {
    let other = FakeDaemon::default();
    let site = Site::start_beside(other.start(), 1);
    let editions = || other.editions.lock().expect("nobody panicked").clone();
    await_true("the other daemon is the member", || {
        site.request("/all/x", "e1");
        !editions().is_empty()
    });
    assert_eq!(editions()[0], 1, "the edition in force on the daemon");
    site.request("/all/x", "e2");
    assert_eq!(editions().last(), Some(&NEWER), "the edition that callers have seen through the daemon");
    other.gone.store(true, Ordering::SeqCst);
    // The daemon becomes the member itself, and refuses rather than answer under its own, older
    // edition.
    await_true("the daemon refuses the request", || {
        let answer = site.request("/all/x", "e3");
        String::from_utf8_lossy(&answer.body).contains(&Code::OlderView.to_string())
    });
    assert_eq!(site.runs("e3"), 0, "nothing ran under the older edition");
    site.publish(NEWER, &routes());
    await_true("the daemon serves", || site.request("/all/x", "e4").status == 200);
}

#[test]
fn keys_of_seen_edition() {
    // Keys are checked under no older edition than callers have seen through this daemon, even
    // if another daemon runs the request.
    let other = FakeDaemon::default();
    let site = Site::start_beside(other.start(), 1);
    let account = json!({ "name": "apex", "apiKeys": ["key-a"], "ratePerS": 0 });
    site.publish_for(2, &routes(), Some(&[account]));
    let editions = || other.editions.lock().expect("nobody panicked").clone();
    let key = "Attempt-Id: k1\r\nDeadline-Remaining: 2000\r\nAuthorization: Bearer key-a\r\n";
    let request_with_key = || send_request(site.daemon.addresses.callers, "/all/x", key);
    await_true("a key is required", || site.request("/all/x", "k0").status == 401);
    let before = editions().len();
    await_true("the other daemon runs it", || {
        request_with_key();
        editions().len() > before
    });
    let seen = editions().len();
    let answer = request_with_key();
    assert!(String::from_utf8_lossy(&answer.body).contains(&Code::OlderView.to_string()), "{answer:?}");
    assert_eq!(editions().len(), seen, "the request was not forwarded under the older edition");
    site.publish_for(NEWER, &routes(), Some(&[]));
    await_true("the key is refused", || request_with_key().status == 401);
}
