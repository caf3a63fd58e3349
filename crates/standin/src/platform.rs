//! The stand-in platform: two spaces of keyed values that can be listed and
//! watched, on one or more copies, each call counted.

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

/// How many bytes of values a page holds.
const PAGE_BYTES: usize = 1 << 20;

/// How often a waiting watch looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct Space {
    revision: u64,
    /// Each change with its revision; the state at a revision is their replay.
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

/// The stand-in platform.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    copies: Vec<SocketAddr>,
}

impl Platform {
    /// Starts one copy of the platform at each address.
    ///
    /// # Panics
    ///
    /// Panics where an address cannot be listened on.
    #[must_use]
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let mut state = State { started: Some(Instant::now()), ..State::default() };
        for name in ["config", "hosts"] {
            state.spaces.insert(name.to_owned(), Space::default());
        }
        state.down = vec![false; addresses.len()];
        state.stale = vec![BTreeMap::new(); addresses.len()];
        let state = Arc::new(Mutex::new(state));
        let mut copies = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let listener = net::bind(*address);
            copies.push(net::local(&listener));
            let state = Arc::clone(&state);
            net::serve_on_thread(listener, move || {
                move |request| answer(Arc::clone(&state), number, request)
            });
        }
        Self { state, copies }
    }

    /// Returns where the copies listen.
    #[must_use]
    pub fn copies(&self) -> &[SocketAddr] {
        &self.copies
    }

    /// Publishes changes as one new revision of a space, and returns it.
    ///
    /// # Panics
    ///
    /// Panics where the space is neither `config` nor `hosts`.
    #[expect(clippy::must_use_candidate, reason = "most callers want the effect alone")]
    pub fn publish<K: Into<String>>(&self, space: &str, changes: Vec<(K, Option<Value>)>) -> u64 {
        let mut state = self.lock();
        let space = state.spaces.get_mut(space).expect("the space is config or hosts");
        space.revision += 1;
        let revision = space.revision;
        space.log.extend(changes.into_iter().map(|(key, value)| (revision, key.into(), value)));
        revision
    }

    /// Says whether a copy answers.
    pub fn set_down(&self, copy: usize, down: bool) {
        self.lock().down[copy] = down;
    }

    /// Holds a copy at a revision of a space, or lets it go on.
    pub fn set_stale(&self, copy: usize, space: &str, revision: Option<u64>) {
        let mut state = self.lock();
        match revision {
            Some(revision) => state.stale[copy].insert(space.to_owned(), revision),
            None => state.stale[copy].remove(space),
        };
    }

    /// Forgets the changes of a space up to now; watches from before are told.
    pub fn compact(&self, space: &str) {
        let mut state = self.lock();
        if let Some(space) = state.spaces.get_mut(space) {
            space.compacted = space.revision;
        }
    }

    /// Returns how many calls were made, and over which time.
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
    fn revision(&self, copy: usize, space: &str) -> u64 {
        let newest = self.spaces.get(space).map_or(0, |space| space.revision);
        self.stale[copy].get(space).copied().unwrap_or(newest).min(newest)
    }
}

async fn answer(state: Arc<Mutex<State>>, copy: usize, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").to_owned();
    let down = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.calls += 1;
        state.down[copy]
    };
    if down {
        return net::json(503, &json!({ "error": "down" }));
    }
    let mut parts = path.trim_start_matches('/').split('/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("v1"), Some(space @ ("config" | "hosts")), Some("list")) => list(&state, copy, space, &query),
        (Some("v1"), Some(space @ ("config" | "hosts")), Some("watch")) => {
            watch(&state, copy, space, &query).await
        }
        _ => net::json(404, &json!({ "error": "no such path" })),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn list(state: &Mutex<State>, copy: usize, name: &str, query: &str) -> Reply {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let revision = state.revision(copy, name);
    let from = parameter(query, "from").unwrap_or("");
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
    for (key, value) in items.range(from..) {
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

async fn watch(state: &Mutex<State>, copy: usize, name: &str, query: &str) -> Reply {
    let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let until = Instant::now() + Duration::from_millis(number("wait-ms"));
    loop {
        if let Some(reply) = changes(state, copy, name, after, Instant::now() >= until) {
            return reply;
        }
        Timer::after(LOOK_EVERY).await;
    }
}

fn changes(state: &Mutex<State>, copy: usize, name: &str, after: u64, last: bool) -> Option<Reply> {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if state.down[copy] {
        return Some(net::json(503, &json!({ "error": "down" })));
    }
    let space = &state.spaces[name];
    if after < space.compacted {
        return Some(net::json(410, &json!({ "error": "compacted" })));
    }
    let revision = state.revision(copy, name);
    let rows: Vec<Value> = space
        .log
        .iter()
        .filter(|(at, _, _)| *at > after && *at <= revision)
        .map(|(at, key, value)| json!({ "revision": at, "key": key, "value": value }))
        .collect();
    if rows.is_empty() && !last {
        return None;
    }
    Some(net::json(200, &json!({ "revision": revision, "changes": rows })))
}
