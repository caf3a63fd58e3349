//! Stand-ins for the users' upstreams, which sign their replies. `docs/PLATFORM.md` describes
//! their protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::net;
use super::net::Reply;
use super::site_store::lock;

/// A request whose path contains this crashes the upstream that runs it.
pub const FATAL: &str = "/fatal";

/// The length of a record in bytes.
const RECORD_BYTES: usize = 16;

/// How an upstream answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyMode {
    /// It answers correctly.
    #[default]
    Good,
    /// It refuses requests before it runs them, and says so.
    Shed,
    /// It runs the request and answers with status 500.
    Fail,
    /// It answers with another request's id and signature.
    Crossed,
    /// It answers without a signature.
    Unsigned,
}

#[derive(Debug, Default)]
struct Shared {
    mode: ReplyMode,
    delay: Duration,
    runs: Vec<(Instant, String)>,
    /// The time until the deadline that the last request carried.
    remaining_time: Option<Duration>,
    finished: Vec<String>,
    /// The headers of each request that it ran, in order.
    headers: Vec<BTreeMap<String, Vec<String>>>,
    /// The upstream names in requests that were meant for others.
    misdirected: Vec<String>,
    /// Receives the upstream's name when it runs a fatal request.
    fatal: Option<Sender<String>>,
}

/// A handle to an upstream that signs its replies.
#[derive(Clone, Debug)]
pub struct SignedSearcher {
    shared: Arc<Mutex<Shared>>,
    id: String,
    address: SocketAddr,
}

impl SignedSearcher {
    /// Starts an upstream whose shard has one record for each byte of `records`: the byte,
    /// repeated to the length of a record.
    ///
    /// # Panics
    ///
    /// Panics if no local port can be bound or the thread cannot be started.
    #[must_use]
    pub fn start(id: &str, records: &[u8]) -> Self {
        let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = net::local(&listener);
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let body: Vec<u8> = records.iter().flat_map(|byte| [*byte; RECORD_BYTES]).collect();
        let searcher = Self { shared, id: id.to_owned(), address };
        let served = searcher.clone();
        net::serve_on_thread(listener, move || {
            move |request| {
                let (searcher, body) = (served.clone(), body.clone());
                async move { searcher.answer(&request, body).await }
            }
        });
        searcher
    }

    /// Returns the value of its store entry as an upstream of `service`.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> Value {
        upstream_entry(self.address, "hall", service, state)
    }

    /// Returns the key of its store entry.
    #[must_use]
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Sets how it answers, and how long it runs a request.
    pub fn set_mode(&self, mode: ReplyMode, delay: Duration) {
        let mut shared = lock(&self.shared);
        shared.mode = mode;
        shared.delay = delay;
    }

    /// Makes it send its name to `receiver` when it runs a request whose path contains
    /// [`FATAL`]. It never answers such a request; the receiver has to end it.
    pub fn notify_fatal(&self, receiver: Sender<String>) {
        lock(&self.shared).fatal = Some(receiver);
    }

    /// Returns the attempt ids of the requests that it ran, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        lock(&self.shared).runs.iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns when each request that it ran arrived, with its attempt id, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        lock(&self.shared).runs.clone()
    }

    /// Returns the upstream names in requests that were meant for others, in order.
    #[must_use]
    pub fn misdirected(&self) -> Vec<String> {
        lock(&self.shared).misdirected.clone()
    }

    /// Returns the headers of each request that it ran, in order: the values by name.
    #[must_use]
    pub fn headers(&self) -> Vec<BTreeMap<String, Vec<String>>> {
        lock(&self.shared).headers.clone()
    }

    /// Returns the time until the deadline that the last request it ran carried, `None` if it
    /// carried none.
    #[must_use]
    pub fn remaining_time(&self) -> Option<Duration> {
        lock(&self.shared).remaining_time
    }

    /// Returns its name, which requests to it must carry.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the attempt ids of the requests that it completed. A request whose connection
    /// closes meanwhile is not completed.
    #[must_use]
    pub fn finished(&self) -> Vec<String> {
        lock(&self.shared).finished.clone()
    }

    async fn answer(&self, request: &Request<Incoming>, body: Vec<u8>) -> Reply {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let (mode, delay) = {
            let shared = lock(&self.shared);
            (shared.mode, shared.delay)
        };
        if header("expect-instance") != self.id {
            lock(&self.shared).misdirected.push(header("expect-instance"));
            return reply(StatusCode::MISDIRECTED_REQUEST, &[("instance-id", &self.id)], Vec::new());
        }
        if mode == ReplyMode::Shed {
            return reply(StatusCode::SERVICE_UNAVAILABLE, &[("not-executed", "1")], Vec::new());
        }
        let id = header("attempt-id");
        let remaining_time = header("deadline-remaining").parse().ok().map(Duration::from_millis);
        lock(&self.shared).remaining_time = remaining_time;
        lock(&self.shared).runs.push((Instant::now(), id.clone()));
        lock(&self.shared).headers.push(headers_of(request));
        Timer::after(delay).await;
        let fatal = lock(&self.shared).fatal.clone().filter(|_| request.uri().path().contains(FATAL));
        if let Some(receiver) = fatal {
            let _ = receiver.try_send(self.id.clone()).is_ok();
            return std::future::pending().await;
        }
        lock(&self.shared).finished.push(id.clone());
        let signature = format!("{}.{id}", self.id);
        let (status, id, signature) = match mode {
            ReplyMode::Fail => (StatusCode::INTERNAL_SERVER_ERROR, id, signature),
            ReplyMode::Crossed => (StatusCode::OK, "another".to_owned(), format!("{}.another", self.id)),
            ReplyMode::Unsigned => return reply(StatusCode::OK, &[("attempt-id", &id)], body),
            ReplyMode::Good | ReplyMode::Shed => (StatusCode::OK, id, signature),
        };
        reply(status, &[("attempt-id", &id), ("server-seal", &signature), ("x-own", "kept")], body)
    }
}

fn headers_of(request: &Request<Incoming>) -> BTreeMap<String, Vec<String>> {
    let mut headers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (name, value) in request.headers() {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        headers.entry(name.to_string()).or_default().push(value);
    }
    headers
}

/// Returns the value of a store entry of an upstream at `address`.
#[must_use]
pub fn upstream_entry(address: SocketAddr, zone: &str, service: &str, state: &str) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 2, "state": state, "coldRemainingMs": 0, "sequence": 1,
    })
}

fn reply(status: StatusCode, headers: &[(&'static str, &str)], body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::from(Bytes::from(body)));
    *reply.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            reply.headers_mut().insert(*name, value);
        }
    }
    reply
}
