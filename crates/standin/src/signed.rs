//! Stand-ins for the users' upstreams, which sign their replies. `docs/PLATFORM.md` has
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

/// Requests whose path holds this end the upstream that runs them.
pub const FATAL: &str = "/fatal";

/// Bytes of one record.
const RECORD_BYTES: usize = 16;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyMode {
    /// It answers.
    #[default]
    Good,
    /// It refuses before it runs anything.
    Shed,
    /// It runs the request and fails.
    Fail,
    /// It answers under another request's id.
    Crossed,
    /// It answers without a signature.
    Unsigned,
}

#[derive(Debug, Default)]
struct Shared {
    manner: ReplyMode,
    delay: Duration,
    runs: Vec<(Instant, String)>,
    /// The time left that the last request came with.
    left: Option<Duration>,
    finished: Vec<String>,
    /// The headers that each request it ran came with, in order.
    heads: Vec<BTreeMap<String, Vec<String>>>,
    /// The names that it was taken for, of requests that were not for it.
    mistaken: Vec<String>,
    /// Told its name when it runs a request that it does not outlive.
    fatal: Option<Sender<String>>,
}

/// An upstream that signs its replies.
#[derive(Clone, Debug)]
pub struct SignedSearcher {
    shared: Arc<Mutex<Shared>>,
    id: String,
    address: SocketAddr,
}

impl SignedSearcher {
    /// Starts an upstream whose part holds the records given, each made of one
    /// byte that is repeated.
    ///
    /// # Panics
    ///
    /// Panics where no address can be listened on.
    #[must_use]
    pub fn start(id: &str, records: &[u8]) -> Self {
        let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = net::local(&listener);
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let body: Vec<u8> = records.iter().flat_map(|byte| [*byte; RECORD_BYTES]).collect();
        let own = Self { shared, id: id.to_owned(), address };
        let served = own.clone();
        net::serve_on_thread(listener, move || {
            move |request| {
                let (searcher, body) = (served.clone(), body.clone());
                async move { searcher.answer(&request, body).await }
            }
        });
        own
    }

    /// Returns its entry in the store, as a service's upstream.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> Value {
        upstream_entry(self.address, "hall", service, state)
    }

    /// Returns its key in the store.
    #[must_use]
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Sets how it behaves, and how long it takes.
    pub fn set_mode(&self, manner: ReplyMode, delay: Duration) {
        let mut shared = lock(&self.shared);
        shared.manner = manner;
        shared.delay = delay;
    }

    /// Sets who is told when it runs a request whose path holds [`FATAL`]: it never answers
    /// one, and is to be ended.
    pub fn notify_fatal(&self, told: Sender<String>) {
        lock(&self.shared).fatal = Some(told);
    }

    /// Returns the ids of the requests that it ran, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        lock(&self.shared).runs.iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns when each request that it ran came, with its id, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        lock(&self.shared).runs.clone()
    }

    /// Returns the names that it was taken for, in order.
    #[must_use]
    pub fn misdirected(&self) -> Vec<String> {
        lock(&self.shared).mistaken.clone()
    }

    /// Returns the headers that each request it ran came with, in order: the values by
    /// name.
    #[must_use]
    pub fn headers(&self) -> Vec<BTreeMap<String, Vec<String>>> {
        lock(&self.shared).heads.clone()
    }

    /// Returns the time left that the last request it ran came with.
    #[must_use]
    pub fn remaining_time(&self) -> Option<Duration> {
        lock(&self.shared).left
    }

    /// Returns its own name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ids of the requests that it worked on to the end: a request
    /// whose connection closes is dropped.
    #[must_use]
    pub fn finished(&self) -> Vec<String> {
        lock(&self.shared).finished.clone()
    }

    async fn answer(&self, request: &Request<Incoming>, body: Vec<u8>) -> Reply {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let (manner, delay) = {
            let shared = lock(&self.shared);
            (shared.manner, shared.delay)
        };
        if header("expect-instance") != self.id {
            lock(&self.shared).mistaken.push(header("expect-instance"));
            return reply(StatusCode::MISDIRECTED_REQUEST, &[("instance-id", &self.id)], Vec::new());
        }
        if manner == ReplyMode::Shed {
            return reply(StatusCode::SERVICE_UNAVAILABLE, &[("not-executed", "1")], Vec::new());
        }
        let id = header("attempt-id");
        let left = header("deadline-remaining").parse().ok().map(Duration::from_millis);
        lock(&self.shared).left = left;
        lock(&self.shared).runs.push((Instant::now(), id.clone()));
        lock(&self.shared).heads.push(head_of(request));
        Timer::after(delay).await;
        let fatal = lock(&self.shared).fatal.clone().filter(|_| request.uri().path().contains(FATAL));
        if let Some(told) = fatal {
            let _ = told.try_send(self.id.clone()).is_ok();
            return std::future::pending().await;
        }
        lock(&self.shared).finished.push(id.clone());
        let signature = format!("{}.{id}", self.id);
        let (status, id, signature) = match manner {
            ReplyMode::Fail => (StatusCode::INTERNAL_SERVER_ERROR, id, signature),
            ReplyMode::Crossed => (StatusCode::OK, "another".to_owned(), format!("{}.another", self.id)),
            ReplyMode::Unsigned => return reply(StatusCode::OK, &[("attempt-id", &id)], body),
            ReplyMode::Good | ReplyMode::Shed => (StatusCode::OK, id, signature),
        };
        reply(status, &[("attempt-id", &id), ("server-seal", &signature), ("x-own", "kept")], body)
    }
}

fn head_of(request: &Request<Incoming>) -> BTreeMap<String, Vec<String>> {
    let mut head: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (name, value) in request.headers() {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        head.entry(name.to_string()).or_default().push(value);
    }
    head
}

/// Returns the entry of an upstream that is reached at an address.
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
