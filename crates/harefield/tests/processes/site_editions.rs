//! A daemon through which callers have seen an edition never shows an older one, also
//! where another daemon ran the request.

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
use crate::site_support::ask;
use crate::site_support::routes;
use crate::support::await_true;
use harefield::domain::code::Code;
use harefield::domain::hlc::Stamp;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::outcome::Answer;
use harefield::domain::outcome::Outcome;
use harefield::ports::Exchange;
use harefield::ports::Forward;

/// The edition that the other daemon says it answers under.
const NEWER: u64 = 7;

/// A daemon that answers whatever it is handed, by hand.
#[derive(Clone, Default)]
struct Other {
    /// The least editions that it was asked for.
    asked: Arc<Mutex<Vec<u64>>>,
    gone: Arc<AtomicBool>,
}

/// The answer to a request handed on, as it travels.
#[derive(Serialize)]
enum Travelling {
    Json(ByteBuf),
}

fn stamp() -> Stamp {
    Stamp { micros: 0, count: 0 }
}

impl Other {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
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
            let reply = reply.expect("it can be packed");
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
            let written = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&reply));
            if written.is_err() {
                return;
            }
        }
    }

    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let message: Forward = rmp_serde::from_slice(body).expect("it is a request handed on");
        self.asked.lock().expect("nobody panicked").push(message.edition);
        let answer = Answer::empty(&message.request, Outcome::MayHaveRun, Code::ReplyLost);
        let json = ByteBuf::from(serde_json::to_vec(&answer).expect("it is JSON"));
        rmp_serde::to_vec(&(stamp(), NEWER, Travelling::Json(json)))
    }
}

/// Says that this daemon is the strongest of the availability zone.
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

/// Reads one request with a body of known length; none where the connection ended.
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
    let other = Other::default();
    let site = Site::start_beside(other.start(), 1);
    let asked = || other.asked.lock().expect("nobody panicked").clone();
    await_true("the other daemon is the member", || {
        site.ask("/all/x", "e1");
        !asked().is_empty()
    });
    assert_eq!(asked()[0], 1, "the edition in force here");
    site.ask("/all/x", "e2");
    assert_eq!(asked().last(), Some(&NEWER), "the one that callers have seen here");
    other.gone.store(true, Ordering::SeqCst);
    // It becomes the member itself, and does not go back to the edition that it has.
    await_true("it refuses by itself", || {
        let answer = site.ask("/all/x", "e3");
        String::from_utf8_lossy(&answer.body).contains(&Code::OlderView.to_string())
    });
    assert_eq!(site.runs("e3"), 0, "nothing ran under the older edition");
    site.publish(NEWER, &routes());
    await_true("it serves", || site.ask("/all/x", "e4").status == 200);
}

#[test]
fn keys_of_seen_edition() {
    // Who opens what is decided under no older edition than callers have seen here, also where
    // another daemon runs the request.
    let other = Other::default();
    let site = Site::start_beside(other.start(), 1);
    let account = json!({ "name": "apex", "apiKeys": ["key-a"], "ratePerS": 0 });
    site.publish_for(2, &routes(), Some(&[account]));
    let asked = || other.asked.lock().expect("nobody panicked").clone();
    let key = "Attempt-Id: k1\r\nDeadline-Remaining: 2000\r\nAuthorization: Bearer key-a\r\n";
    let ask_with_key = || ask(site.daemon.addresses.callers, "/all/x", key);
    await_true("keys are asked for", || site.ask("/all/x", "k0").status == 401);
    let before = asked().len();
    await_true("the other daemon runs it", || {
        ask_with_key();
        asked().len() > before
    });
    let seen = asked().len();
    let answer = ask_with_key();
    assert!(String::from_utf8_lossy(&answer.body).contains(&Code::OlderView.to_string()), "{answer:?}");
    assert_eq!(asked().len(), seen, "it was not handed on under the older edition");
    site.publish_for(NEWER, &routes(), Some(&[]));
    await_true("the key opens nothing", || ask_with_key().status == 401);
}
