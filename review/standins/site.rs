//! The small site: a store, searchers, daemons and clients.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::Record;
use super::daemon::Daemon;
use super::http;
use super::searcher::Searcher;
use super::store::Store;

/// What one client attempt came to.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent: Instant,
    pub id: String,
    pub kind: &'static str,
    /// 0 if there was no answer.
    pub status: u16,
    /// Whether the answer carries what a success needs.
    pub served: bool,
    pub took: Duration,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub line: &'static str,
    pub body: &'static [u8],
    pub deadline_ms: u64,
    pub per_s: f64,
    /// The header that a success carries.
    pub seal: &'static str,
}

/// The attempts of all clients, shared with the threads that send them.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

pub struct Site {
    pub store: Store,
    pub searchers: Vec<Searcher>,
    pub daemons: Vec<Daemon>,
    seeds: Vec<SocketAddr>,
}

impl Site {
    /// Starts the store and the searchers, writes their entries and the configuration, and plans the
    /// daemons.
    pub fn new(folder: &Path, doorstep_work: Duration) -> Self {
        Self::of(folder, doorstep_work, Config::FIRST)
    }

    /// Does the same for a deployment with another configuration, whose services have other names.
    pub fn of(folder: &Path, doorstep_work: Duration, config: Config) -> Self {
        let store = Store::start();
        let suffix = config.suffix;
        let mut searchers = Vec::new();
        let mut add = |service: &str, zone: &str, room: (usize, usize), work: Duration| {
            // Ids without an order by service, as the platform draws them.
            let number = searchers.len() as u32 + 1;
            let id = format!("i-{:08x}", number.wrapping_mul(0x9e37_79b1));
            let service = format!("{service}{suffix}");
            searchers.push(Searcher::start(&id, &service, zone, room, work));
        };
        let short = Duration::from_millis(7);
        for (service, shards) in [("sortdesk", 20), ("counterline", 30)] {
            for shard in 1..=shards {
                for zone in ["piarco-hall", "chaguanas-hall"] {
                    add(&format!("{service}-{shard}"), zone, (2, 12), short);
                }
            }
        }
        for (zone, count) in [("piarco-hall", 3), ("chaguanas-hall", 2), ("sando-hall", 2)] {
            for _ in 0..count {
                add("doorstep", zone, (4, 16), doorstep_work);
            }
        }
        for zone in ["piarco-hall", "chaguanas-hall", "sando-hall"] {
            add("bulkmail", zone, (4, 16), doorstep_work);
        }
        for searcher in &searchers {
            store.put(&searcher.key(), Some(&searcher.entry("ready", 1)));
        }
        store.put("op/config", Some(&config.text()));
        let daemons = Daemon::plan(folder);
        let seeds = Daemon::seeds(&daemons);
        Self { store, searchers, daemons, seeds }
    }

    /// Returns the addresses that its daemons contact first.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Stops one daemon as planned and starts it again with the given seeds.
    pub fn restart(&mut self, number: usize, grace: Duration, seeds: &[SocketAddr]) {
        let daemon = &mut self.daemons[number];
        daemon.stop(grace);
        daemon.start(self.store.address, seeds, false);
    }

    /// Starts all daemons.
    pub fn start_daemons(&mut self, first: bool) {
        for daemon in &mut self.daemons {
            daemon.start(self.store.address, &self.seeds, first);
        }
    }

    /// Waits until all daemons are ready and serve every kind; returns whether they do in time.
    pub fn await_serving(&self, kinds: &[Kind], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            let serves = |daemon: &Daemon, kind: &Kind, number| {
                send(daemon.callers, kind, &format!("warm-{}-{number}", kind.name)).served
            };
            number += 1;
            if self.daemons.iter().all(|daemon| {
                daemon.is_ready()
                    && kinds.iter().all(|kind| serves(daemon, kind, format!("{}-{number}", daemon.name)))
            }) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends requests at a steady rate to all daemons in turn, until the time is over.
    pub fn load(&self, kinds: &'static [Kind], time: Duration, label: &'static str, into: &Attempts) {
        let daemons: Arc<[SocketAddr]> = self.daemons.iter().map(|daemon| daemon.callers).collect();
        for kind in kinds {
            let (daemons, into) = (Arc::clone(&daemons), Arc::clone(into));
            std::thread::spawn(move || {
                let (start, mut number) = (Instant::now(), 0_u32);
                while start.elapsed() < time {
                    let to = daemons[number as usize % daemons.len()];
                    let (id, into) = (format!("{label}-{}-{number:05}", kind.name), Arc::clone(&into));
                    std::thread::spawn(move || {
                        let attempt = send(to, kind, &id);
                        into.lock().expect("no thread panics with the lock").push(attempt);
                    });
                    number += 1;
                    let next = start + Duration::from_secs_f64(f64::from(number) / kind.per_s);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
    }
}

/// Writes what was sent, answered and run to the record, with times relative to `origin`.
pub fn write_all(searchers: &[Searcher], attempts: &[Attempt], origin: Instant, record: &mut Record) {
    let millis = |at: Instant| match at.checked_duration_since(origin) {
        Some(after) => format!("{} ms", after.as_millis()),
        None => format!("-{} ms", origin.saturating_duration_since(at).as_millis()),
    };
    for Attempt { sent, id, kind, status, took, .. } in attempts {
        let answer = if *status == 0 { "no answer".to_owned() } else { status.to_string() };
        record.detail(&format!(
            "{}: sent {id} ({kind}); {answer} after {} ms",
            millis(*sent),
            took.as_millis()
        ));
    }
    for searcher in searchers {
        for arrival in searcher.arrivals() {
            let (id, service) = (&searcher.id, &searcher.service);
            let what = match (arrival.ran, arrival.answered) {
                (false, _) => "turned it away",
                (true, false) => "ran it and gave no answer",
                (true, true) => "ran and answered it",
            };
            record.detail(&format!(
                "{}: {} reached {id} of {service}, which {what}",
                millis(arrival.at),
                arrival.id
            ));
        }
    }
}

fn send(to: SocketAddr, kind: &Kind, id: &str) -> Attempt {
    let sent = Instant::now();
    let headers = [
        ("Host", "pupu76.example".to_owned()),
        ("Attempt-Id", id.to_owned()),
        ("Deadline-Remaining", kind.deadline_ms.to_string()),
    ];
    let answer = http::exchange(to, kind.line, &headers, kind.body, Duration::from_millis(kind.deadline_ms));
    let status = answer.as_ref().map_or(0, http::Message::status);
    let served = status == 200 && answer.is_ok_and(|answer| !answer.header(kind.seal).is_empty());
    Attempt { sent, id: id.to_owned(), kind: kind.name, status, served, took: sent.elapsed() }
}

/// What differs between the versions of the operator's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub version: u64,
    /// The service of the route `parcel`.
    pub parcel: &'static str,
    /// The time-out of the route `belt`, in milliseconds.
    pub belt_ms: u64,
    /// What the names of all services end with.
    pub suffix: &'static str,
}

impl Config {
    /// The version that precedes the start of traffic.
    pub const FIRST: Self = Self { version: 1, parcel: "doorstep", belt_ms: 1000, suffix: "" };

    /// Returns the document that the operator writes.
    pub fn text(self) -> String {
        let Self { version, parcel, belt_ms, suffix } = self;
        let shards: Vec<String> = (1..=20).map(|shard| format!("\"sortdesk-{shard}{suffix}\"")).collect();
        let names =
            shards.iter().cloned().chain(["doorstep", "bulkmail"].map(|name| format!("\"{name}{suffix}\"")));
        let services: Vec<String> = names
            .map(|name| {
                let limit = if name.contains("sortdesk") { 26 } else { 100 };
                format!(
                    "{{\"name\":{name},\"healthPath\":\"/health\",\"connectionLimit\":{limit},\
                     \"protocol\":\"h1\",\"transportSecurity\":false}}"
                )
            })
            .collect();
        format!(
            "{{\"version\":{version},\"routes\":[\
             {{\"name\":\"belt\",\"host\":\"pupu76.example\",\"pathPrefix\":\"/belt/\",\"kind\":\"safe\",\
             \"timeoutMs\":{belt_ms},\"targetLatencyMs\":100,\"priority\":2,\"fanoutServices\":[{}],\
             \"attempts\":2,\"resultLimit\":5,\"oldestVersion\":0.75}},\
             {{\"name\":\"parcel\",\"host\":\"pupu76.example\",\"pathPrefix\":\"/parcel/\",\
             \"kind\":\"unsafe\",\"timeoutMs\":6000,\"targetLatencyMs\":600,\"priority\":2,\
             \"service\":\"{parcel}{suffix}\",\"attempts\":2}}],\
             \"services\":[{}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            shards.join(","),
            services.join(",")
        )
    }
}
