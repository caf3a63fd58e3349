//! Measures the cost of the control plane: changes are published to a fleet of idle daemons, and
//! the bytes, processor time and memory of each daemon are measured.

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

/// How long daemons may take to start or to apply a change.
const APPLY_LIMIT: Duration = Duration::from_secs(60);

/// Shards of one synthetic index, and replicas of each shard.
const SYNTHETIC_SHARDS: usize = 210;
const SYNTHETIC_REPLICAS: usize = 2;

/// Clock ticks per second in the processor times of `/proc`.
const TICKS: f64 = 100.0;

/// A fleet to measure, and the settings of the measurement.
#[derive(Debug)]
pub struct Fleet {
    /// The platform that the daemons read.
    pub platform: Platform,
    /// The daemons' addresses for operators.
    pub operators: Vec<SocketAddr>,
    /// The daemons' process ids, in the same order.
    pub pids: Vec<i32>,
    /// How many synthetic upstreams are published. Nothing listens at their addresses. All
    /// are listed as hosts; their resources come in whole indexes of 420.
    pub synthetic_upstreams: usize,
    /// How many synthetic daemons are listed as hosts.
    pub synthetic_daemons: usize,
    /// The duration of each phase: idle, then with changes.
    pub phase_time: Duration,
    /// Changes per second in the phase with changes.
    pub rate: f64,
}

/// The resources that a daemon used in one phase, averaged over the daemons.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    /// Control bytes sent and received per second.
    pub bytes: f64,
    /// Processor time of the control thread, as a percentage of a core.
    pub control: f64,
    /// Processor time of the first worker thread, as a percentage of a core.
    pub worker: f64,
}

/// The results of measuring one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetFigures {
    /// How many daemons ran.
    pub running: usize,
    /// How many synthetic upstreams were asked for.
    pub upstreams: usize,
    /// How many synthetic daemons were listed.
    pub daemons: usize,
    /// The largest resident memory of a daemon, in megabytes.
    pub memory: f64,
    /// Usage while nothing was published.
    pub idle: Usage,
    /// Usage while changes were published.
    pub changing: Usage,
    /// Calls to the platform per second by the whole fleet, while changes were published.
    pub calls: f64,
    /// The median time from publishing a change until it is in force in all daemons, in seconds.
    pub median: f64,
    /// The longest such time.
    pub longest: f64,
}

/// Counters at one time, summed over the daemons; processor times are in seconds.
struct Sample {
    at: Instant,
    bytes: f64,
    control: f64,
    worker: f64,
}

impl Fleet {
    /// Runs the phases and returns the results.
    ///
    /// # Panics
    ///
    /// Panics if a daemon does not apply a change within 60 seconds.
    #[must_use]
    pub fn run(&self) -> FleetFigures {
        self.publish_synthetic();
        let revision = self.publish_change(0);
        self.await_revision(revision);
        thread::sleep(Duration::from_secs(3));
        let start = self.sample();
        thread::sleep(self.phase_time);
        let idle = self.sample();
        let (calls, begun) = self.platform.calls();
        let mut delays = self.publish_changes();
        let changed = self.sample();
        let (calls_after, ended) = self.platform.calls();
        delays.sort_by(f64::total_cmp);
        let call_count = calls_after.saturating_sub(calls);
        FleetFigures {
            running: self.operators.len(),
            upstreams: self.synthetic_upstreams,
            daemons: self.synthetic_daemons,
            memory: self.memory(),
            idle: self.usage(&start, &idle),
            changing: self.usage(&idle, &changed),
            calls: f64::from(u32::try_from(call_count).unwrap_or(u32::MAX))
                / ended.saturating_sub(begun).as_secs_f64(),
            median: delays.get(delays.len() / 2).copied().unwrap_or(0.0),
            longest: delays.last().copied().unwrap_or(0.0),
        }
    }

    /// Publishes the synthetic upstreams, in indexes of 420 each, and lists the synthetic hosts.
    fn publish_synthetic(&self) {
        let each = SYNTHETIC_SHARDS * SYNTHETIC_REPLICAS;
        for index in 0..self.synthetic_upstreams / each {
            self.platform.publish("config", synthetic_index(index));
        }
        let row = |role: &str| Some(json!({ "role": role, "state": "live", "zone": "elsewhere" }));
        let daemons =
            (0..self.synthetic_daemons).map(|n| (format!("hosts/{}", synthetic_daemon(n)), row("harefield")));
        let upstreams = (0..self.synthetic_upstreams)
            .map(|n| (format!("hosts/{}", synthetic_upstream(n)), row("upstream")));
        self.platform.publish("hosts", daemons.chain(upstreams).collect());
    }

    fn publish_change(&self, number: u64) -> u64 {
        let lookup = json!({
            "index": "parcels", "urgency": "bulk", "deadline-ms": 1000 + number, "repeatable": true, "prefer": "time",
        });
        self.platform.publish("config", vec![("lookups/changing", Some(lookup))])
    }

    /// Publishes changes at the set rate; returns how long each took to be in force in all
    /// daemons, in seconds.
    fn publish_changes(&self) -> Vec<f64> {
        let begun = Instant::now();
        let mut delays = Vec::new();
        let mut number: u32 = 0;
        while begun.elapsed() < self.phase_time {
            number += 1;
            let published = Instant::now();
            let revision = self.publish_change(u64::from(number));
            self.await_revision(revision);
            delays.push(published.elapsed().as_secs_f64());
            let next = begun + Duration::from_secs_f64(f64::from(number) / self.rate);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        delays
    }

    fn await_revision(&self, revision: u64) {
        let deadline = Instant::now() + APPLY_LIMIT;
        for operator in &self.operators {
            loop {
                let status = status(*operator);
                if status.is_some_and(|s| s["config"]["revision"].as_u64() >= Some(revision)) {
                    break;
                }
                assert!(Instant::now() < deadline, "{operator} has not applied revision {revision}");
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn sample(&self) -> Sample {
        let bytes = self.operators.iter().filter_map(|operator| status(*operator));
        let bytes = bytes.filter_map(|status| status["control-bytes"].as_f64()).sum();
        let mut times: BTreeMap<String, f64> = BTreeMap::new();
        for pid in &self.pids {
            add_thread_times(*pid, &mut times);
        }
        let time_of = |name: &str| times.get(name).copied().unwrap_or(0.0);
        Sample { at: Instant::now(), bytes, control: time_of("control"), worker: time_of("worker-0") }
    }

    fn usage(&self, before: &Sample, after: &Sample) -> Usage {
        let count = f64::from(u32::try_from(self.operators.len().max(1)).unwrap_or(u32::MAX));
        let each = count * after.at.saturating_duration_since(before.at).as_secs_f64();
        Usage {
            bytes: (after.bytes - before.bytes) / each,
            control: (after.control - before.control) / each * 100.0,
            worker: (after.worker - before.worker) / each * 100.0,
        }
    }

    fn memory(&self) -> f64 {
        let kilobytes = self.pids.iter().filter_map(|pid| resident_kilobytes(*pid));
        kilobytes.fold(0.0, f64::max) / 1024.0
    }
}

/// Returns a daemon's status, `None` if it does not answer.
pub(crate) fn status(operator: SocketAddr) -> Option<Value> {
    let reply = Client::once(operator, "GET", "/v1/status", "", Duration::from_secs(5));
    serde_json::from_slice(&reply?.1).ok()
}

/// Adds the processor time of each thread of a process to `times`, in seconds by thread name.
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

fn resident_kilobytes(pid: i32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn synthetic_address(first: usize, number: usize) -> String {
    format!("127.{}.{}.{}:9", first + number / 62_500, number / 250 % 250, number % 250 + 1)
}

fn synthetic_daemon(number: usize) -> String {
    synthetic_address(10, number)
}

fn synthetic_upstream(number: usize) -> String {
    synthetic_address(20, number)
}

/// Returns the resources of one synthetic index: its upstreams, service, index and lookup.
fn synthetic_index(index: usize) -> Vec<(String, Option<Value>)> {
    let mut items = Vec::new();
    let mut shards = serde_json::Map::new();
    let mut names = Vec::new();
    for shard in 0..SYNTHETIC_SHARDS {
        let mut replicas = Vec::new();
        for replica in 0..SYNTHETIC_REPLICAS {
            let number = (index * SYNTHETIC_SHARDS + shard) * SYNTHETIC_REPLICAS + replica;
            let name = format!("made-{index}-{shard}-{replica}");
            let upstream = json!({
                "address": synthetic_upstream(number), "zone": "hall-1a", "slots": 2, "connections": 25,
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
