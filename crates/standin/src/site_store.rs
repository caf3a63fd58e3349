//! A stand-in for the users' store, which can be away and come back from a copy of itself.
//! `docs/PLATFORM.md` has its protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::net;
use super::net::Reply;

/// How often a waiting watch looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A change of the store: none where the key was taken away.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
    at: Instant,
}

/// How a store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It answers 503.
    Down,
    /// It takes calls and never answers them.
    Silent,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    /// How often it came back from a copy.
    era: u64,
    log: Vec<Change>,
    /// Changes up to this revision are no longer told to watches.
    forgotten: u64,
    down: bool,
    /// While set, what comes is taken and never answered, nor what waits.
    silent: bool,
    /// The watches that came while it was silent.
    swallowed: usize,
    /// The pages that were read.
    pages: usize,
    /// The calls that were answered with 410.
    gone: usize,
    /// A copy to come back from once one more page was read.
    next_copy: Option<u64>,
    /// What was written and lost, in order.
    lost: Vec<Change>,
    /// The revision that it last came back at.
    restored: u64,
}

impl Store {
    /// Comes back from a copy; what was written since is lost.
    fn restore(&mut self, copy: u64) {
        let kept = self.log.iter().take_while(|change| change.revision <= copy).count();
        self.lost.extend(self.log.split_off(kept));
        self.revision = copy.min(self.revision);
        self.forgotten = self.forgotten.min(self.revision);
        self.era += 1;
        self.restored = self.revision;
    }

    /// Takes a write.
    fn write(&mut self, key: String, value: Option<String>) {
        self.revision += 1;
        self.log.push(Change { revision: self.revision, key, value, at: Instant::now() });
    }
}

/// The users' store.
#[derive(Clone, Debug)]
pub struct SiteStore {
    state: Arc<Mutex<Store>>,
    address: SocketAddr,
}

impl SiteStore {
    /// Starts an empty store.
    ///
    /// # Panics
    ///
    /// Panics where no address can be listened on.
    #[must_use]
    pub fn start() -> Self {
        let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = net::local(&listener);
        let state = Arc::new(Mutex::new(Store { era: 1, ..Store::default() }));
        let shared = Arc::clone(&state);
        net::serve_on_thread(listener, move || move |request| read(Arc::clone(&shared), request));
        Self { state, address }
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts a value, or takes it away.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        lock(&self.state).write(key.to_owned(), value);
    }

    /// Returns a copy of it as it is, to come back from.
    #[must_use]
    pub fn backup(&self) -> u64 {
        lock(&self.state).revision
    }

    /// Returns a copy of it as it was `age` ago.
    #[must_use]
    pub fn backup_from(&self, age: Duration) -> u64 {
        let state = lock(&self.state);
        let kept = state.log.iter().take_while(|change| change.at.elapsed() >= age);
        kept.last().map_or(0, |change| change.revision)
    }

    /// Comes back from a copy, in the next era: what was written since is lost.
    pub fn restore(&self, copy: u64) {
        lock(&self.state).restore(copy);
    }

    /// Comes back from a copy once one more page was read.
    pub fn restore_after_page(&self, copy: u64) {
        lock(&self.state).next_copy = Some(copy);
    }

    /// Is away for a time, and comes back from a copy.
    pub fn drill(&self, copy: u64, away: Outage, time: Duration) {
        self.set_away(away, true);
        std::thread::sleep(time);
        self.restore(copy);
        self.set_away(away, false);
    }

    fn set_away(&self, away: Outage, is_away: bool) {
        match away {
            Outage::Down => self.set_down(is_away),
            Outage::Silent => self.set_silent(is_away),
        }
    }

    /// Writes again what was lost: of each key the last, unless it was written since.
    pub fn rewrite_lost(&self) {
        let mut state = lock(&self.state);
        let lost = std::mem::take(&mut state.lost).into_iter();
        let newest: BTreeMap<String, Option<String>> =
            lost.map(|change| (change.key, change.value)).collect();
        for (key, value) in newest {
            let restored = state.restored;
            let since = state.log.iter().filter(|change| change.revision > restored);
            if since.into_iter().all(|change| change.key != key) {
                state.write(key, value);
            }
        }
    }

    /// Forgets what changed until now: watches that are behind are told so.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.revision;
    }

    /// Sets whether it is down: it answers 503 then.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Sets whether it is silent: what it takes then, and what waits, is never
    /// answered, also when it speaks again.
    pub fn set_silent(&self, silent: bool) {
        let mut state = lock(&self.state);
        state.silent = silent;
        state.swallowed = 0;
    }

    /// Returns how many pages were read of whole listings.
    #[must_use]
    pub fn page_count(&self) -> usize {
        lock(&self.state).pages
    }

    /// Returns how many calls were answered with 410.
    #[must_use]
    pub fn gone(&self) -> usize {
        lock(&self.state).gone
    }

    /// Returns how many watches came since it went silent.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        lock(&self.state).swallowed
    }
}

pub(super) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn read(state: Arc<Mutex<Store>>, request: Request<Incoming>) -> Reply {
    let query: BTreeMap<String, String> =
        serde_urlencoded::from_str(request.uri().query().unwrap_or("")).unwrap_or_default();
    let waits = query.get("waitMs").is_some_and(|wait| wait != "0");
    if swallows(&state, usize::from(waits)) {
        return std::future::pending().await;
    }
    {
        let store = lock(&state);
        if store.down {
            return answer(&store, 503, &json!({}));
        }
    }
    match request.uri().path() {
        "/-/kv-key" => one(&lock(&state), query.get("privateKey").map_or("", |key| key)),
        "/-/kv-range" => range(&mut lock(&state), query.get("pathPrefix").map_or("", |prefix| prefix)),
        "/-/kv-watch" => watch(&state, &query).await,
        _ => answer(&lock(&state), 404, &json!({})),
    }
}

/// Makes an answer, which says the store's era.
fn answer(store: &Store, status: u16, body: &Value) -> Reply {
    let mut reply = net::json(status, body);
    if let Ok(era) = store.era.to_string().parse() {
        reply.headers_mut().insert("store-era", era);
    }
    reply
}

/// Returns whether the store is silent, and counts the watches that it swallows.
fn swallows(state: &Mutex<Store>, watches: usize) -> bool {
    let mut store = lock(state);
    if store.silent {
        store.swallowed += watches;
    }
    store.silent
}

fn items(store: &Store) -> BTreeMap<&str, (u64, &str)> {
    let mut items = BTreeMap::new();
    for change in &store.log {
        match &change.value {
            Some(value) => items.insert(change.key.as_str(), (change.revision, value.as_str())),
            None => items.remove(change.key.as_str()),
        };
    }
    items
}

fn one(store: &Store, key: &str) -> Reply {
    match items(store).get(key) {
        Some((revision, value)) => {
            let at = store.revision;
            let item =
                json!({ "privateKey": key, "value": value, "revision": revision, "storeRevision": at });
            answer(store, 200, &item)
        }
        None => answer(store, 404, &json!({})),
    }
}

fn range(store: &mut Store, prefix: &str) -> Reply {
    store.pages += 1;
    let found: Vec<Value> = items(store)
        .into_iter()
        .filter(|(key, _)| key.starts_with(prefix))
        .map(|(key, (revision, value))| json!({ "privateKey": key, "value": value, "revision": revision }))
        .collect();
    let page = json!({ "items": found, "truncated": false, "storeRevision": store.revision });
    let page = answer(store, 200, &page);
    if let Some(copy) = store.next_copy.take() {
        store.restore(copy);
    }
    page
}

async fn watch(state: &Mutex<Store>, query: &BTreeMap<String, String>) -> Reply {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), number("waitMs"));
    for _ in 0..=(wait / 10) {
        if swallows(state, 0) {
            return std::future::pending().await;
        }
        if let Some(reply) = look(&mut lock(state), after) {
            return reply;
        }
        Timer::after(LOOK_EVERY).await;
    }
    // Nothing had come at the last look, so that nothing is told up to `after` alone.
    let store = lock(state);
    answer(&store, 200, &json!({ "events": [], "storeRevision": after }))
}

/// Looks for what a watch is to be told; none while there is nothing.
fn look(store: &mut Store, after: u64) -> Option<Reply> {
    if after < store.forgotten || after > store.revision {
        store.gone += 1;
        return Some(answer(store, 410, &json!({})));
    }
    let newer = store.log.iter().filter(|change| change.revision > after);
    let newer: Vec<Value> = newer.map(event).collect();
    let told = json!({ "events": newer, "storeRevision": store.revision });
    (!newer.is_empty() || store.down).then(|| answer(store, 200, &told))
}

fn event(change: &Change) -> Value {
    let Change { revision, key, value, .. } = change;
    match value {
        Some(value) => json!({ "privateKey": key, "value": value, "revision": revision }),
        None => json!({ "privateKey": key, "revision": revision, "tombstone": true }),
    }
}
