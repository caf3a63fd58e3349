//! A stand-in for the platform's store: keys, pages, watches and a bounded history.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::http;

/// The most items on a page and events in a response; the small site's file says `page = 50`.
const PAGE_ITEMS: usize = 50;
const MAX_EVENTS: usize = 500;

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Value, revision of the last change and revision of the creation, by key.
    items: BTreeMap<String, (String, u64, u64)>,
    log: Vec<Change>,
    /// Counts the pages and watches that were answered.
    calls: u64,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = Self { shared: Arc::default(), address };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key, or removes it; returns when the store took that.
    pub fn put(&self, key: &str, value: Option<&str>) -> Instant {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no thread panics with the lock");
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|text| base64(text.as_bytes()));
        match &value {
            Some(value) => {
                let created = state.items.get(key).map_or(revision, |(_, _, created)| *created);
                state.items.insert(key.to_owned(), (value.clone(), revision, created));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.log.push(Change { revision, key: key.to_owned(), value });
        changed.notify_all();
        Instant::now()
    }

    /// Returns the position of a key among those with its prefix, counted from 1.
    pub fn position(&self, prefix: &str, key: &str) -> usize {
        let state = self.shared.0.lock().expect("no thread panics with the lock");
        state.items.keys().filter(|held| held.starts_with(prefix) && held.as_str() <= key).count()
    }

    /// Returns how many calls were answered.
    pub fn calls(&self) -> u64 {
        self.shared.0.lock().expect("no thread panics with the lock").calls
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let query = parse_query(query);
            let (status, body) = match path {
                "/-/kv-key" => self.key(&query),
                "/-/kv-range" => self.range(&query),
                "/-/kv-watch" => self.watch(&query),
                _ => (404, "{}".to_owned()),
            };
            self.shared.0.lock().expect("no thread panics with the lock").calls += 1;
            let kind = [("Content-Type", "application/json")];
            if http::reply(&mut out, status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let state = self.shared.0.lock().expect("no thread panics with the lock");
        let key = query.get("privateKey").map_or("", |key| key);
        match state.items.get(key) {
            Some(item) => {
                let item = item_json(key, item);
                let end = item.len() - 1;
                (200, format!("{},\"storeRevision\":{}}}", &item[..end], state.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let state = self.shared.0.lock().expect("no thread panics with the lock");
        let text = |name: &str| query.get(name).map_or("", |text| text);
        let (prefix, after) = (text("pathPrefix"), text("after"));
        let found: Vec<_> =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after).collect();
        let items: Vec<String> =
            found.iter().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let truncated = found.len() > PAGE_ITEMS;
        let items = items.join(",");
        let revision = state.revision;
        (200, format!("{{\"items\":[{items}],\"truncated\":{truncated},\"storeRevision\":{revision}}}"))
    }

    fn watch(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, prefix) = (number("after"), query.get("pathPrefix").map_or("", |prefix| prefix));
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no thread panics with the lock");
        loop {
            let newer = state.log.iter().filter(|change| change.revision > after);
            let newer: Vec<_> =
                newer.filter(|change| change.key.starts_with(prefix)).take(MAX_EVENTS).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let full = newer.len() == MAX_EVENTS;
                let at = newer.last().filter(|_| full).map_or(state.revision, |change| change.revision);
                let events: Vec<String> = newer.into_iter().map(event_json).collect();
                return (200, format!("{{\"events\":[{}],\"storeRevision\":{at}}}", events.join(",")));
            }
            state = changed.wait_timeout(state, left).expect("no thread panics with the lock").0;
        }
    }
}

fn item_json(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    format!(
        "{{\"privateKey\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
        quoted(key)
    )
}

fn event_json(change: &Change) -> String {
    let (key, revision) = (quoted(&change.key), change.revision);
    match &change.value {
        Some(value) => {
            format!("{{\"privateKey\":{key},\"value\":\"{value}\",\"revision\":{revision},\"lease\":0}}")
        }
        None => format!("{{\"privateKey\":{key},\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Parses a query string by the usual rules: percent escapes, and `+` for a space.
fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.map(|(name, value)| (unescape(name), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|two| std::str::from_utf8(two).ok());
        match (bytes[at], hex.and_then(|two| u8::from_str_radix(two, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
                continue;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |at: usize| u32::from(three.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= three.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
