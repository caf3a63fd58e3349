//! A stand-in for the platform: two key spaces, `config` and `hosts`, that can be listed and
//! watched at one or more replicas. All calls are counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::net;
use super::net::Reply;

/// The most bytes of values in one page of a listing; a single larger value gets its own page.
const PAGE_BYTES: usize = 1 << 20;

/// How often a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct Space {
    revision: u64,
    /// Each change with its revision; replaying them gives the state at a revision.
    log: Vec<(u64, String, Option<Value>)>,
    compacted: u64,
}

#[derive(Debug, Default)]
struct State {
    spaces: BTreeMap<String, Space>,
    down: Vec<bool>,
    stale: Vec<BTreeMap<String, u64>>,
    calls: u64,
    started: Option<Instant>,
}

/// A handle to a running stand-in platform.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    replicas: Vec<SocketAddr>,
}

impl Platform {
    /// Starts one replica of the platform at each address.
    ///
    /// # Panics
    ///
    /// Panics if an address cannot be bound or a thread cannot be started.
    #[must_use]
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let mut state = State { started: Some(Instant::now()), ..State::default() };
        for name in ["config", "hosts"] {
            state.spaces.insert(name.to_owned(), Space::default());
        }
        state.down = vec![false; addresses.len()];
        state.stale = vec![BTreeMap::new(); addresses.len()];
        let state = Arc::new(Mutex::new(state));
        let mut replicas = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let listener = net::bind(*address);
            replicas.push(net::local(&listener));
            let state = Arc::clone(&state);
            net::serve_on_thread(listener, move || {
                move |request| handle(Arc::clone(&state), number, request)
            });
        }
        Self { state, replicas }
    }

    /// Returns the addresses that the replicas listen on.
    #[must_use]
    pub fn replicas(&self) -> &[SocketAddr] {
        &self.replicas
    }

    /// Publishes changes as one new revision of a key space, and returns the revision. A value
    /// of `None` deletes its key.
    ///
    /// # Panics
    ///
    /// Panics if the space is neither `config` nor `hosts`.
    #[expect(clippy::must_use_candidate, reason = "most callers want the effect alone")]
    pub fn publish<K: Into<String>>(&self, space: &str, changes: Vec<(K, Option<Value>)>) -> u64 {
        let mut state = self.lock();
        let space = state.spaces.get_mut(space).expect("the space is config or hosts");
        space.revision += 1;
        let revision = space.revision;
        space.log.extend(changes.into_iter().map(|(key, value)| (revision, key.into(), value)));
        revision
    }

    /// Sets whether a replica is down: it answers every call with status 503.
    pub fn set_down(&self, replica: usize, down: bool) {
        self.lock().down[replica] = down;
    }

    /// Keeps a replica at an old revision of a key space; `None` lets it catch up.
    pub fn set_stale(&self, replica: usize, space: &str, revision: Option<u64>) {
        let mut state = self.lock();
        match revision {
            Some(revision) => state.stale[replica].insert(space.to_owned(), revision),
            None => state.stale[replica].remove(space),
        };
    }

    /// Discards the change history of a key space up to now: watches from before get status 410.
    pub fn compact(&self, space: &str) {
        let mut state = self.lock();
        if let Some(space) = state.spaces.get_mut(space) {
            space.compacted = space.revision;
        }
    }

    /// Returns the number of calls so far, and the time since the start.
    #[must_use]
    pub fn calls(&self) -> (u64, Duration) {
        let state = self.lock();
        (state.calls, state.started.map(|at| at.elapsed()).unwrap_or_default())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn revision(&self, replica: usize, space: &str) -> u64 {
        let newest = self.spaces.get(space).map_or(0, |space| space.revision);
        self.stale[replica].get(space).copied().unwrap_or(newest).min(newest)
    }
}

async fn handle(state: Arc<Mutex<State>>, replica: usize, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").to_owned();
    let down = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.calls += 1;
        state.down[replica]
    };
    if down {
        return net::json(503, &json!({ "error": "down" }));
    }
    let mut parts = path.trim_start_matches('/').split('/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("v1"), Some(space @ ("config" | "hosts")), Some("list")) => {
            list(&state, replica, space, &query)
        }
        (Some("v1"), Some(space @ ("config" | "hosts")), Some("watch")) => {
            watch(&state, replica, space, &query).await
        }
        _ => net::json(404, &json!({ "error": "no such path" })),
    }
}

fn query_parameter(query: &str, name: &str) -> Option<String> {
    let pairs: Vec<(String, String)> = serde_urlencoded::from_str(query).unwrap_or_default();
    pairs.into_iter().find(|(key, _)| key == name).map(|(_, value)| value)
}

fn list(state: &Mutex<State>, replica: usize, name: &str, query: &str) -> Reply {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let revision = state.revision(replica, name);
    let from = query_parameter(query, "from").unwrap_or_default();
    let mut items: BTreeMap<&str, &Value> = BTreeMap::new();
    for (at, key, value) in &state.spaces[name].log {
        match value {
            _ if *at > revision => {}
            Some(value) => {
                items.insert(key, value);
            }
            None => {
                items.remove(key.as_str());
            }
        }
    }
    let mut page = Vec::new();
    let mut bytes = 0;
    let mut next = None;
    for (key, value) in items.range(&*from..) {
        let size = value.to_string().len();
        if !page.is_empty() && bytes + size > PAGE_BYTES {
            next = Some(*key);
            break;
        }
        bytes += size;
        page.push(json!({ "key": key, "value": value }));
    }
    net::json(200, &json!({ "revision": revision, "items": page, "next": next }))
}

async fn watch(state: &Mutex<State>, replica: usize, name: &str, query: &str) -> Reply {
    let number = |name| query_parameter(query, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let deadline = Instant::now() + Duration::from_millis(number("wait-ms"));
    loop {
        if let Some(reply) = changes(state, replica, name, after, Instant::now() >= deadline) {
            return reply;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn changes(state: &Mutex<State>, replica: usize, name: &str, after: u64, expired: bool) -> Option<Reply> {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if state.down[replica] {
        return Some(net::json(503, &json!({ "error": "down" })));
    }
    let space = &state.spaces[name];
    if after < space.compacted {
        return Some(net::json(410, &json!({ "error": "compacted" })));
    }
    let revision = state.revision(replica, name);
    let rows: Vec<Value> = space
        .log
        .iter()
        .filter(|(at, _, _)| *at > after && *at <= revision)
        .map(|(at, key, value)| json!({ "revision": at, "key": key, "value": value }))
        .collect();
    if rows.is_empty() && !expired {
        return None;
    }
    Some(net::json(200, &json!({ "revision": revision, "changes": rows })))
}
