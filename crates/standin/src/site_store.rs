//! A stand-in for the users' store, which can fail and be restored from a backup.
//! `docs/PLATFORM.md` describes its protocol.

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
use hyper::body::Body;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use super::net;
use super::net::Reply;

/// A character in a key that replies contain as the escape of an unpaired surrogate, which isn't valid
/// Unicode.
pub const UNPAIRED_SURROGATE: char = '\u{e000}';

/// The escape that replaces [`UNPAIRED_SURROGATE`] in replies.
const SURROGATE_ESCAPE: &str = "\\ud800";

/// How often a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One write to the store; `value` is `None` if the key was deleted.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
    at: Instant,
}

/// How a store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It answers every call with status 503.
    Down,
    /// It accepts calls and never answers them.
    Silent,
}

/// How the pages of listings are wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFault {
    /// Every page is the first one.
    Repeated,
    /// Pages that are followed by others have no items.
    Empty,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    /// Starts at 1 and grows by one with each restore from a backup.
    era: u64,
    log: Vec<Change>,
    /// Watches from before this revision are answered with 410.
    compacted: u64,
    down: bool,
    /// While set, new calls and waiting watches are never answered.
    silent: bool,
    /// The bytes per second at which replies leave; unlimited if `None`.
    pace: Option<u32>,
    /// The maximum number of items in a page of a listing; unlimited if `None`.
    page_items: Option<usize>,
    page_fault: Option<PageFault>,
    /// Watches that arrived since the store went silent.
    unanswered: usize,
    /// Pages of whole listings that were read.
    page_count: usize,
    /// Calls answered with 410.
    gone: usize,
    /// The backup to restore after the next page is read.
    next_backup: Option<u64>,
    /// Writes that restores have discarded, in order.
    lost: Vec<Change>,
    /// The revision after the last restore.
    restored_revision: u64,
}

impl Store {
    /// Restores a backup, discards the writes made since, and starts the next era.
    fn restore(&mut self, backup: u64) {
        let kept = self.log.iter().take_while(|change| change.revision <= backup).count();
        self.lost.extend(self.log.split_off(kept));
        self.revision = backup.min(self.revision);
        self.compacted = self.compacted.min(self.revision);
        self.era += 1;
        self.restored_revision = self.revision;
    }

    /// Appends a write at the next revision.
    fn write(&mut self, key: String, value: Option<String>) {
        self.revision += 1;
        self.log.push(Change { revision: self.revision, key, value, at: Instant::now() });
    }
}

/// A handle to a running stand-in of the users' store.
#[derive(Clone, Debug)]
pub struct SiteStore {
    state: Arc<Mutex<Store>>,
    address: SocketAddr,
}

impl SiteStore {
    /// Starts an empty store on a free local port.
    ///
    /// # Panics
    ///
    /// Panics if no local port can be bound or the thread cannot be started.
    #[must_use]
    pub fn start() -> Self {
        let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = net::local(&listener);
        let state = Arc::new(Mutex::new(Store { era: 1, ..Store::default() }));
        let shared = Arc::clone(&state);
        net::serve_on_thread(listener, move || move |request| handle(Arc::clone(&shared), request));
        Self { state, address }
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a value, or deletes the key if `value` is `None`.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        self.put_bytes(key, value.map(Value::to_string).as_deref().map(str::as_bytes));
    }

    /// Writes a value of any bytes, or deletes the key if `value` is `None`.
    pub fn put_bytes(&self, key: &str, value: Option<&[u8]>) {
        let value = value.map(|value| STANDARD.encode(value));
        lock(&self.state).write(key.to_owned(), value);
    }

    /// Returns a backup of the present state, for [`restore`](Self::restore): its revision.
    #[must_use]
    pub fn backup(&self) -> u64 {
        lock(&self.state).revision
    }

    /// Returns a backup of the state `age` ago: its revision, 0 if nothing was written then.
    #[must_use]
    pub fn backup_from(&self, age: Duration) -> u64 {
        let state = lock(&self.state);
        let kept = state.log.iter().take_while(|change| change.at.elapsed() >= age);
        kept.last().map_or(0, |change| change.revision)
    }

    /// Restores a backup and starts the next era; writes made since the backup are lost.
    pub fn restore(&self, backup: u64) {
        lock(&self.state).restore(backup);
    }

    /// Restores a backup as soon as one more page of a listing is read.
    pub fn restore_after_page(&self, backup: u64) {
        lock(&self.state).next_backup = Some(backup);
    }

    /// Fails for a time, then restores a backup; blocks the caller meanwhile.
    pub fn drill(&self, backup: u64, outage: Outage, time: Duration) {
        self.set_outage(outage, true);
        std::thread::sleep(time);
        self.restore(backup);
        self.set_outage(outage, false);
    }

    fn set_outage(&self, outage: Outage, active: bool) {
        match outage {
            Outage::Down => self.set_down(active),
            Outage::Silent => self.set_silent(active),
        }
    }

    /// Writes the last lost value of each key again, unless the key was written since the
    /// restore.
    pub fn rewrite_lost(&self) {
        let mut state = lock(&self.state);
        let lost = std::mem::take(&mut state.lost).into_iter();
        let newest: BTreeMap<String, Option<String>> =
            lost.map(|change| (change.key, change.value)).collect();
        for (key, value) in newest {
            let restored_revision = state.restored_revision;
            let since = state.log.iter().filter(|change| change.revision > restored_revision);
            if since.into_iter().all(|change| change.key != key) {
                state.write(key, value);
            }
        }
    }

    /// Discards the change history up to now: watches from before get status 410.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted = state.revision;
    }

    /// Sets whether the store answers every call with 503.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Sets whether the store is silent. Calls that arrive or wait while it is silent are never
    /// answered, not even after it is switched back. Resets the count of unanswered watches.
    pub fn set_silent(&self, silent: bool) {
        let mut state = lock(&self.state);
        state.silent = silent;
        state.unanswered = 0;
    }

    /// Sets the bytes per second at which replies leave, as over a slow link.
    pub fn set_pace(&self, bytes_per_s: Option<u32>) {
        lock(&self.state).pace = bytes_per_s;
    }

    /// Sets the maximum number of items in a page of a listing.
    pub fn set_page_items(&self, most: Option<usize>) {
        lock(&self.state).page_items = most;
    }

    /// Sets how the pages of listings are wrong.
    pub fn set_page_fault(&self, fault: Option<PageFault>) {
        lock(&self.state).page_fault = fault;
    }

    /// Returns how many pages of whole listings were read.
    #[must_use]
    pub fn page_count(&self) -> usize {
        lock(&self.state).page_count
    }

    /// Returns how many calls were answered with 410.
    #[must_use]
    pub fn gone(&self) -> usize {
        lock(&self.state).gone
    }

    /// Returns how many watches arrived since the store went silent.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        lock(&self.state).unanswered
    }
}

pub(super) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<Mutex<Store>>, request: Request<Incoming>) -> Reply {
    let reply = answer(&state, request).await;
    let pace = lock(&state).pace;
    if let Some(pace) = pace {
        let bytes = u32::try_from(reply.body().size_hint().lower()).unwrap_or(u32::MAX);
        Timer::after(Duration::from_secs_f64(f64::from(bytes) / f64::from(pace.max(1)))).await;
    }
    reply
}

async fn answer(state: &Mutex<Store>, request: Request<Incoming>) -> Reply {
    let query: BTreeMap<String, String> =
        serde_urlencoded::from_str(request.uri().query().unwrap_or("")).unwrap_or_default();
    let waits = query.get("waitMs").is_some_and(|wait| wait != "0");
    if check_silent(state, usize::from(waits)) {
        return std::future::pending().await;
    }
    {
        let store = lock(state);
        if store.down {
            return reply(&store, 503, &json!({}));
        }
    }
    match request.uri().path() {
        "/-/kv-key" => read_key(&lock(state), query.get("privateKey").map_or("", |key| key)),
        "/-/kv-range" => read_range(&mut lock(state), &query),
        "/-/kv-watch" => watch(state, &query).await,
        _ => reply(&lock(state), 404, &json!({})),
    }
}

/// Builds a reply with the store's era in a header.
fn reply(store: &Store, status: u16, body: &Value) -> Reply {
    let text = body.to_string().replace(UNPAIRED_SURROGATE, SURROGATE_ESCAPE);
    let mut reply = net::json_text(status, text);
    if let Ok(era) = store.era.to_string().parse() {
        reply.headers_mut().insert("store-era", era);
    }
    reply
}

/// Returns whether the store is silent; if so, adds `watches` to the unanswered ones.
fn check_silent(state: &Mutex<Store>, watches: usize) -> bool {
    let mut store = lock(state);
    if store.silent {
        store.unanswered += watches;
    }
    store.silent
}

fn current_items(store: &Store) -> BTreeMap<&str, (u64, &str)> {
    let mut items = BTreeMap::new();
    for change in &store.log {
        match &change.value {
            Some(value) => items.insert(change.key.as_str(), (change.revision, value.as_str())),
            None => items.remove(change.key.as_str()),
        };
    }
    items
}

fn read_key(store: &Store, key: &str) -> Reply {
    match current_items(store).get(key) {
        Some((revision, value)) => {
            let store_revision = store.revision;
            let item = json!({ "privateKey": key, "value": value, "revision": revision, "storeRevision": store_revision });
            reply(store, 200, &item)
        }
        None => reply(store, 404, &json!({})),
    }
}

fn read_range(store: &mut Store, query: &BTreeMap<String, String>) -> Reply {
    store.page_count += 1;
    let text = |name: &str| query.get(name).map_or("", |text| text);
    let is_repeated = store.page_fault == Some(PageFault::Repeated);
    let (prefix, after) = (text("pathPrefix"), if is_repeated { "" } else { text("after") });
    let mut found: Vec<Value> = current_items(store)
        .into_iter()
        .filter(|(key, _)| key.starts_with(prefix) && *key > after)
        .map(|(key, (revision, value))| json!({ "privateKey": key, "value": value, "revision": revision }))
        .collect();
    let most = store.page_items.unwrap_or(usize::MAX);
    let truncated = found.len() > most;
    let is_empty = truncated && store.page_fault == Some(PageFault::Empty);
    found.truncate(if is_empty { 0 } else { most });
    let page = json!({ "items": found, "truncated": truncated, "storeRevision": store.revision });
    let page = reply(store, 200, &page);
    if let Some(backup) = store.next_backup.take() {
        store.restore(backup);
    }
    page
}

async fn watch(state: &Mutex<Store>, query: &BTreeMap<String, String>) -> Reply {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), number("waitMs"));
    for _ in 0..=(wait / 10) {
        if check_silent(state, 0) {
            return std::future::pending().await;
        }
        if let Some(reply) = changes_since(&mut lock(state), after) {
            return reply;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    // The last check found no change after `after`, so the reply only covers up to `after`.
    let store = lock(state);
    reply(&store, 200, &json!({ "events": [], "storeRevision": after }))
}

/// Returns the reply to a watch from revision `after`, `None` while there is nothing to report.
/// A revision that was compacted or doesn't exist yet gets status 410.
fn changes_since(store: &mut Store, after: u64) -> Option<Reply> {
    if after < store.compacted || after > store.revision {
        store.gone += 1;
        return Some(reply(store, 410, &json!({})));
    }
    let newer = store.log.iter().filter(|change| change.revision > after);
    let newer: Vec<Value> = newer.map(event_json).collect();
    let body = json!({ "events": newer, "storeRevision": store.revision });
    (!newer.is_empty() || store.down).then(|| reply(store, 200, &body))
}

fn event_json(change: &Change) -> Value {
    let Change { revision, key, value, .. } = change;
    match value {
        Some(value) => json!({ "privateKey": key, "value": value, "revision": revision }),
        None => json!({ "privateKey": key, "revision": revision, "tombstone": true }),
    }
}
