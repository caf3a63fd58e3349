//! Callers, which send requests to any daemon on reused connections and record the outcome
//! of each.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::client::Connection;
use crate::client::Outcome;
use crate::cluster::Cluster;
use crate::configuration::STEADY_KEY;
use crate::configuration::key_of;
use crate::ledger::FatalRequest;
use crate::ledger::KeyUse;
use crate::ledger::Ledger;
use crate::ledger::Request;
use crate::ledger::Route;

/// The remaining time that a caller states in its requests.
const DEADLINE: Duration = Duration::from_millis(1500);

/// How long a caller really waits for a response. A daemon may not hold a request longer
/// than its route's 1,000 ms plus half a second; the rest allows for a busy machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3500);

/// The maximum number of requests sent on one connection.
const MAX_REUSE: u32 = 20;

/// The interval at which each daemon is queried for its active configuration version.
const WATCH_INTERVAL: Duration = Duration::from_millis(120);

/// The path of the fatal request whose callers leave.
pub(crate) const LEFT_FATAL: &str = "/all/fatal/left";

/// The state that all callers share.
#[derive(Clone, Debug)]
pub(crate) struct CallerContext {
    pub cluster: Arc<Cluster>,
    pub ledger: Arc<Ledger>,
    pub done: Arc<AtomicBool>,
    pub seed: u64,
}

impl CallerContext {
    /// Starts `callers` callers that send to any daemon, one per daemon that polls its active
    /// version, two that send fatal requests, one of which doesn't wait for the answers, and one that
    /// uses old and new API keys.
    pub fn start(&self, callers: u64) -> Vec<JoinHandle<()>> {
        let any = (0..callers).map(|number| {
            let this = self.clone();
            std::thread::spawn(move || this.call(number))
        });
        let watchers = (0..self.cluster.nodes.len()).map(|node| {
            let this = self.clone();
            std::thread::spawn(move || this.poll_version(node))
        });
        let this = self.clone();
        let fatal = std::thread::spawn(move || this.send_fatal());
        let this = self.clone();
        let left = std::thread::spawn(move || this.leave_fatal());
        let this = self.clone();
        let keys = std::thread::spawn(move || this.send_keys());
        any.chain(watchers).chain([fatal, left, keys]).collect()
    }

    fn is_done(&self) -> bool {
        self.done.load(Ordering::SeqCst)
    }

    fn call(&self, number: u64) {
        let mut random = StdRng::seed_from_u64(self.seed ^ (number + 1).wrapping_mul(0x9e37_79b9));
        let mut count = 0;
        while !self.is_done() {
            let daemon = random.random_range(0..self.cluster.nodes.len());
            let Some(mut connection) = Connection::open(self.cluster.nodes[daemon].callers) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            for _ in 0..random.random_range(1..=MAX_REUSE) {
                let route = match random.random_range(0..10) {
                    0..6 => Route::All,
                    6..8 => Route::One,
                    _ => Route::Once,
                };
                count += 1;
                let id = format!("c{number}n{count}");
                if self.is_done() || !self.send_request(&mut connection, daemon, route, id) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(random.random_range(2..25)));
            }
        }
    }

    /// Repeatedly sends one of two requests that crash the upstreams that run them, to any
    /// daemon.
    fn send_fatal(&self) {
        let mut random = StdRng::seed_from_u64(self.seed.rotate_left(13));
        let mut count = 0;
        while !self.is_done() {
            std::thread::sleep(Duration::from_millis(random.random_range(200..1200)));
            let daemon = random.random_range(0..self.cluster.nodes.len());
            let path = if random.random_bool(0.5) { "/all/fatal" } else { "/one/fatal" };
            count += 1;
            self.request_fatal(daemon, path, format!("f{count}"), RESPONSE_TIMEOUT);
        }
    }

    /// Repeatedly sends a request that crashes the upstreams that run it, to any daemon, and leaves
    /// without its answer.
    fn leave_fatal(&self) {
        let mut random = StdRng::seed_from_u64(self.seed.rotate_left(37));
        let mut count = 0;
        while !self.is_done() {
            std::thread::sleep(Duration::from_millis(random.random_range(200..900)));
            let daemon = random.random_range(0..self.cluster.nodes.len());
            let patience = Duration::from_millis(random.random_range(1..10));
            count += 1;
            self.request_fatal(daemon, LEFT_FATAL, format!("l{count}"), patience);
        }
    }

    /// Sends a fatal request and waits for its answer for some time.
    fn request_fatal(&self, daemon: usize, path: &'static str, id: String, patience: Duration) {
        let Some(mut connection) = Connection::open(self.cluster.nodes[daemon].callers) else { return };
        let head = head(path, &id);
        self.ledger.observations().fatal.push(FatalRequest { id, path, daemon });
        connection.send(&head, patience);
    }

    /// Sends requests to any daemon with the API keys of the last few versions, some of which
    /// have been revoked.
    fn send_keys(&self) {
        let mut random = StdRng::seed_from_u64(self.seed.rotate_left(29));
        let mut count = 0;
        while !self.is_done() {
            std::thread::sleep(Duration::from_millis(random.random_range(40..160)));
            let daemon = random.random_range(0..self.cluster.nodes.len());
            let version = self.cluster.version().saturating_sub(random.random_range(0..5));
            let Some(mut connection) = Connection::open(self.cluster.nodes[daemon].callers) else { continue };
            count += 1;
            let sent = Instant::now();
            let outcome = connection
                .send(&head_with(&key_of(version), "/one/x", &format!("k{count}")), RESPONSE_TIMEOUT);
            let key_use = KeyUse { version, daemon, sent, ended: Instant::now(), outcome };
            self.ledger.observations().keys.push(key_use);
        }
    }

    fn poll_version(&self, daemon: usize) {
        let mut count = 0;
        while !self.is_done() {
            std::thread::sleep(WATCH_INTERVAL);
            count += 1;
            if let Some(mut connection) = Connection::open(self.cluster.nodes[daemon].callers) {
                self.send_request(&mut connection, daemon, Route::Version, format!("w{daemon}n{count}"));
            }
        }
    }

    /// Sends one request and records its outcome; returns whether the connection can be reused.
    fn send_request(&self, connection: &mut Connection, daemon: usize, route: Route, id: String) -> bool {
        let path = match route {
            Route::All => "/all/x",
            Route::One => "/one/x",
            Route::Once => "/one/once/x",
            Route::Version => "/version/x",
        };
        let node = &self.cluster.nodes[daemon];
        let (incarnation, sent) = (node.incarnation(), Instant::now());
        let outcome = connection.send(&head(path, &id), RESPONSE_TIMEOUT);
        let reusable = match &outcome {
            Outcome::Answered(answer) => !answer.header("connection").eq_ignore_ascii_case("close"),
            _ => false,
        };
        let request = Request { id, route, daemon, incarnation, sent, ended: Instant::now(), outcome };
        self.ledger.observations().requests.push(request);
        reusable
    }
}

fn head(path: &str, id: &str) -> String {
    head_with(STEADY_KEY, path, id)
}

fn head_with(key: &str, path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: {}\r\n\
         Authorization: Bearer {key}\r\nTenant: forged\r\n\r\n",
        DEADLINE.as_millis()
    )
}
