//! What control costs: a fleet of idle daemons, changes published to it, and
//! the bytes, processor time and memory that each daemon spends.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::net::Client;
use super::platform::Platform;

/// How long daemons may take to start or to take a change.
const LIMIT: Duration = Duration::from_secs(60);

/// Shards and replicas of one made-up index.
const MADE_SHARDS: usize = 210;
const MADE_REPLICAS: usize = 2;

/// How many clock ticks the system counts a second of processor time as.
const TICKS: f64 = 100.0;

/// A fleet that is measured.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The daemons' operators' addresses.
    pub operators: Vec<SocketAddr>,
    /// Their process ids, in the same order.
    pub pids: Vec<i32>,
    /// How many made-up upstreams are published.
    pub synthetic_upstreams: usize,
    /// How many made-up daemons are listed.
    pub synthetic_daemons: usize,
    /// How long each phase takes.
    pub phase_time: Duration,
    /// Changes a second in the phase with changes.
    pub rate: f64,
}

/// What each daemon spent, on average, in one phase.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Bytes of control, sent and received, a second.
    pub bytes: f64,
    /// Processor time of the control thread, in percent of a core.
    pub control: f64,
    /// Processor time of the worker thread, in percent of a core.
    pub worker: f64,
}

/// The figures of one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetFigures {
    /// How many daemons run.
    pub running: usize,
    /// How many made-up upstreams were published.
    pub upstreams: usize,
    /// How many made-up daemons were listed.
    pub daemons: usize,
    /// The largest resident memory of a daemon, in megabytes.
    pub memory: f64,
    /// With nothing published.
    pub idle: Usage,
    /// With changes published.
    pub changing: Usage,
    /// Calls to the platform a second, of the whole fleet, with changes.
    pub calls: f64,
    /// From publishing a change to its being in force everywhere, in seconds:
    /// the median and the longest.
    pub median: f64,
    /// The longest.
    pub longest: f64,
}

/// What was counted of all daemons at one time.
struct Counted {
    at: Instant,
    bytes: f64,
    control: f64,
    worker: f64,
}

impl Fleet {
    /// Runs the phases and returns the figures.
    ///
    /// # Panics
    ///
    /// Panics where the daemons do not answer.
    #[must_use]
    pub fn run(&self) -> FleetFigures {
        self.publish_made();
        let revision = self.change(0);
        self.await_revision(revision);
        thread::sleep(Duration::from_secs(3));
        let start = self.count();
        thread::sleep(self.phase_time);
        let idle = self.count();
        let (calls, begun) = self.platform.calls();
        let mut delays = self.change_for_a_while();
        let changed = self.count();
        let (calls_after, ended) = self.platform.calls();
        delays.sort_by(f64::total_cmp);
        let made = calls_after.saturating_sub(calls);
        FleetFigures {
            running: self.operators.len(),
            upstreams: self.synthetic_upstreams,
            daemons: self.synthetic_daemons,
            memory: self.memory(),
            idle: self.spent(&start, &idle),
            changing: self.spent(&idle, &changed),
            calls: f64::from(u32::try_from(made).unwrap_or(u32::MAX))
                / ended.saturating_sub(begun).as_secs_f64(),
            median: delays.get(delays.len() / 2).copied().unwrap_or(0.0),
            longest: delays.last().copied().unwrap_or(0.0),
        }
    }

    /// Publishes the made-up upstreams, in indexes of a few hundred each.
    fn publish_made(&self) {
        let each = MADE_SHARDS * MADE_REPLICAS;
        for index in 0..self.synthetic_upstreams / each {
            self.platform.publish("config", made_index(index));
        }
        let row = |role: &str| Some(json!({ "role": role, "state": "live", "zone": "elsewhere" }));
        let daemons =
            (0..self.synthetic_daemons).map(|n| (format!("hosts/{}", made_daemon(n)), row("harefield")));
        let upstreams =
            (0..self.synthetic_upstreams).map(|n| (format!("hosts/{}", made_upstream(n)), row("upstream")));
        self.platform.publish("hosts", daemons.chain(upstreams).collect());
    }

    fn change(&self, number: u64) -> u64 {
        let lookup = json!({
            "index": "parcels", "urgency": "bulk", "deadline-ms": 1000 + number, "repeatable": true, "prefer": "time",
        });
        self.platform.publish("config", vec![("lookups/changing", Some(lookup))])
    }

    /// Publishes changes at the rate; returns how long each took to be in force
    /// everywhere, in seconds.
    fn change_for_a_while(&self) -> Vec<f64> {
        let begun = Instant::now();
        let mut delays = Vec::new();
        let mut number: u32 = 0;
        while begun.elapsed() < self.phase_time {
            number += 1;
            let published = Instant::now();
            let revision = self.change(u64::from(number));
            self.await_revision(revision);
            delays.push(published.elapsed().as_secs_f64());
            let next = begun + Duration::from_secs_f64(f64::from(number) / self.rate);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        delays
    }

    fn await_revision(&self, revision: u64) {
        let until = Instant::now() + LIMIT;
        for operator in &self.operators {
            loop {
                let status = status(*operator);
                if status.is_some_and(|s| s["config"]["revision"].as_u64() >= Some(revision)) {
                    break;
                }
                assert!(Instant::now() < until, "{operator} does not take revision {revision}");
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn count(&self) -> Counted {
        let bytes = self.operators.iter().filter_map(|operator| status(*operator));
        let bytes = bytes.filter_map(|status| status["control-bytes"].as_f64()).sum();
        let mut time: BTreeMap<String, f64> = BTreeMap::new();
        for pid in &self.pids {
            add_thread_times(*pid, &mut time);
        }
        let of = |name: &str| time.get(name).copied().unwrap_or(0.0);
        Counted { at: Instant::now(), bytes, control: of("control"), worker: of("worker-0") }
    }

    fn spent(&self, before: &Counted, after: &Counted) -> Usage {
        let count = f64::from(u32::try_from(self.operators.len().max(1)).unwrap_or(u32::MAX));
        let each = count * after.at.saturating_duration_since(before.at).as_secs_f64();
        Usage {
            bytes: (after.bytes - before.bytes) / each,
            control: (after.control - before.control) / each * 100.0,
            worker: (after.worker - before.worker) / each * 100.0,
        }
    }

    fn memory(&self) -> f64 {
        let kilobytes = self.pids.iter().filter_map(|pid| resident(*pid));
        kilobytes.fold(0.0, f64::max) / 1024.0
    }
}

/// Returns a daemon's account of itself; none where it does not answer.
pub(crate) fn status(operator: SocketAddr) -> Option<Value> {
    let reply = Client::once(operator, "GET", "/v1/status", "", Duration::from_secs(5));
    serde_json::from_slice(&reply?.1).ok()
}

/// Adds the processor time of each thread of a process, in seconds, by name.
pub(crate) fn add_thread_times(pid: i32, times: &mut BTreeMap<String, f64>) {
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else { return };
    for task in tasks.flatten() {
        let text = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((head, rest)) = text.rsplit_once(')') else { continue };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        *times.entry(name).or_default() += (ticks(11) + ticks(12)) / TICKS;
    }
}

fn resident(pid: i32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn made_address(first: usize, number: usize) -> String {
    format!("127.{}.{}.{}:9", first + number / 62_500, number / 250 % 250, number % 250 + 1)
}

fn made_daemon(number: usize) -> String {
    made_address(10, number)
}

fn made_upstream(number: usize) -> String {
    made_address(20, number)
}

/// Returns the resources of one made-up index.
fn made_index(index: usize) -> Vec<(String, Option<Value>)> {
    let mut items = Vec::new();
    let mut shards = serde_json::Map::new();
    let mut names = Vec::new();
    for shard in 0..MADE_SHARDS {
        let mut replicas = Vec::new();
        for replica in 0..MADE_REPLICAS {
            let number = (index * MADE_SHARDS + shard) * MADE_REPLICAS + replica;
            let name = format!("made-{index}-{shard}-{replica}");
            let upstream = json!({
                "address": made_upstream(number), "zone": "hall-1a", "slots": 2, "connections": 25,
            });
            items.push((format!("upstreams/{name}"), Some(upstream)));
            replicas.push(name);
        }
        shards.insert(shard.to_string(), json!(replicas));
        names.push(shard.to_string());
    }
    let service = format!("made-{index}");
    let snapshots = json!([{ "version": 1, "shards": { service.clone(): names } }]);
    items.push((format!("services/{service}"), Some(json!({ "shards": shards }))));
    items.push((format!("indexes/{service}"), Some(json!({ "snapshots": snapshots }))));
    let lookup = json!({
        "index": service, "urgency": "ordinary", "deadline-ms": 62, "repeatable": true, "prefer": "time",
    });
    items.push((format!("lookups/{service}"), Some(lookup)));
    items
}
