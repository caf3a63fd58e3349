//! Experiments: each plays one scenario on a running fleet and returns its results, which
//! `standin experiment` prints as one JSON line.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde::Deserialize;
use serde::Serialize;

use super::behaviour::Fault;
use super::fleet::add_thread_times;
use super::fleet::status;
use super::layout::Layout;
use super::load;
use super::load::Figures;
use super::load::Load;
use super::load::RequestRate;
use super::platform::Platform;
use super::searchers::Searchers;

/// How long all daemons together may take to start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The median service time of a shard request in experiments, in milliseconds.
const SERVICE_MS: f64 = 8.0;

/// What happens to searchers, daemons and the platform in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Nothing happens.
    Steady,
    /// One searcher of each service takes six times as long.
    Slow,
    /// One shard request of a hundred takes 100 ms.
    Stragglers,
    /// One searcher of each service fails half-way through the load.
    Lost,
    /// One searcher of each service turns cold half-way through the load.
    Cold,
    /// One searcher of each service sheds all load.
    Shedding,
    /// One searcher of each service takes four times as long and reports an empty queue; the
    /// others report a queue of 50.
    Lying,
    /// Urgent and ordinary requests at twice the capacity of the first index's searchers.
    Overload,
    /// Half-way, a new snapshot is loaded and published, and the old one is dropped.
    NewSnapshot,
    /// One daemon is paused half-way through the load; callers use only the others.
    FrozenDaemon,
    /// Every second daemon is paused and every second searcher fails, half-way.
    ZoneGone,
    /// The platform goes down half-way through the load.
    PlatformGone,
    /// Searchers answer at once, which shows the cost of the daemons alone.
    Instant,
}

/// The fleet of an experiment and its settings.
#[derive(Debug)]
pub struct Experiment {
    /// The scenario to play.
    pub scenario: Scenario,
    /// A name for the daemons' settings, for the table.
    pub variant: String,
    /// The layout that the platform publishes.
    pub layout: Layout,
    /// The platform that the daemons read.
    pub platform: Platform,
    /// The searchers of the layout.
    pub searchers: Searchers,
    /// The daemons' addresses for callers.
    pub daemons: Vec<SocketAddr>,
    /// The daemons' addresses for operators, in the same order.
    pub operators: Vec<SocketAddr>,
    /// The daemons' process ids, in the same order.
    pub pids: Vec<i32>,
    /// How long the load runs; its first 30 % are not measured.
    pub time: Duration,
    /// The seed of the load's arrival times.
    pub seed: u64,
    /// A factor on the steady rates; it has no effect on `Overload`.
    pub scale: f64,
}

/// The results of one experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario that was played.
    pub scenario: Scenario,
    /// The name for the daemons' settings.
    pub variant: String,
    /// The results by lookup.
    pub lookups: BTreeMap<String, Figures>,
    /// Repeated shard requests (retries, hedges and probes), as a share of the first ones.
    pub extra: f64,
    /// Connections opened to searchers while the load ran.
    pub opened: u64,
    /// Connections above a searcher's limit.
    pub refused_connections: u64,
    /// Calls to the platform per second.
    pub calls: f64,
    /// Processor time of the daemons' workers per first shard request, in microseconds.
    pub micros: f64,
}

/// Shard requests sent, summed over all daemons.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    first: u64,
    extra: u64,
}

impl Experiment {
    /// Runs the experiment to its end.
    ///
    /// # Panics
    ///
    /// Panics if the daemons do not answer within 20 seconds.
    #[must_use]
    pub fn run(&self) -> Outcome {
        self.await_daemons();
        self.searchers.change_all(|b| b.service_ms = SERVICE_MS);
        self.set_initial();
        let busy = self.worker_seconds();
        let (sent, tally, (calls, begun)) =
            (self.request_counts(), self.searchers.tally(), self.platform.calls());
        let lookups = thread::scope(|scope| {
            scope.spawn(|| self.trigger_event());
            load::run(&self.load())
        });
        let (calls_after, ended) = self.platform.calls();
        let busy = self.worker_seconds() - busy;
        let opened = self.searchers.tally().opened - tally.opened;
        let refused = self.searchers.tally().refused_connections - tally.refused_connections;
        self.signal_all(Signal::CONT);
        thread::sleep(Duration::from_millis(700));
        let after = self.request_counts();
        Outcome {
            scenario: self.scenario,
            variant: self.variant.clone(),
            lookups,
            micros: busy * 1e6
                / f64::from(u32::try_from(after.first - sent.first).unwrap_or(u32::MAX).max(1)),
            extra: ratio(after.extra - sent.extra, after.first - sent.first),
            opened,
            refused_connections: refused,
            calls: f64::from(u32::try_from(calls_after - calls).unwrap_or(u32::MAX))
                / ended.saturating_sub(begun).as_secs_f64(),
        }
    }

    fn await_daemons(&self) {
        let deadline = Instant::now() + START_LIMIT;
        for operator in &self.operators {
            while status(*operator).is_none() {
                assert!(Instant::now() < deadline, "{operator} does not answer");
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Returns the load of the scenario. The steady rates use about a third of the searchers'
    /// capacity.
    fn load(&self) -> Load {
        let steady = |lookup: &str| match lookup {
            "console" | "usage" | "courier" | "availability" => 150.0,
            "counter" | "overuse" => 100.0,
            "bulk" | "renewal" => 30.0,
            _ => 0.0,
        };
        let first = self.first_index();
        let rate = |lookup: &str| match self.scenario {
            Scenario::Overload if lookup == first => 250.0,
            Scenario::Overload if lookup == format!("{first}-audit") => 750.0,
            Scenario::Overload => 0.0,
            _ => steady(lookup) * self.scale,
        };
        let names = self.layout.lookups.keys().cloned().chain([format!("{first}-audit")]);
        let mixes =
            names.map(|lookup| RequestRate { rate: rate(&lookup), lookup }).filter(|mix| mix.rate > 0.0);
        let excluded = |number: &usize| match self.scenario {
            Scenario::FrozenDaemon => *number == 0,
            Scenario::ZoneGone => number % 2 == 1,
            _ => false,
        };
        let daemons = self.daemons.iter().enumerate().filter(|(n, _)| !excluded(n)).map(|(_, a)| *a);
        Load {
            daemons: daemons.collect(),
            mixes: mixes.collect(),
            time: self.time,
            warmup: self.time * 3 / 10,
            latency: Duration::from_millis(1),
            seed: self.seed,
        }
    }

    fn first_index(&self) -> &'static str {
        if self.layout.lookups.contains_key("console") { "console" } else { "usage" }
    }

    fn change_first_replicas(&self, change: impl Fn(&mut super::behaviour::Behaviour)) {
        for spec in self.layout.searchers.iter().filter(|spec| spec.replica == 0) {
            self.searchers.change(&spec.name, &change);
        }
    }

    /// Sets the behaviour that the scenario has from the start.
    fn set_initial(&self) {
        match self.scenario {
            Scenario::Slow => self.change_first_replicas(|b| b.service_ms = SERVICE_MS * 6.0),
            Scenario::Stragglers => self.searchers.change_all(|b| {
                b.straggle_percent = 1.0;
                b.straggle_ms = 100.0;
            }),
            Scenario::Instant => self.searchers.change_all(|b| {
                b.service_ms = 0.0;
                b.spread = 0.0;
                b.latency_ms = 0.0;
            }),
            Scenario::Shedding => self.change_first_replicas(|b| b.shed_ms = Some(500)),
            Scenario::Lying => {
                self.searchers.change_all(|b| b.lie_queued = Some(50));
                self.change_first_replicas(|b| {
                    b.service_ms = SERVICE_MS * 4.0;
                    b.lie_queued = Some(0);
                });
            }
            _ => {}
        }
    }

    /// Waits for half of the load's time, then triggers the scenario's event.
    fn trigger_event(&self) {
        thread::sleep(self.time / 2);
        match self.scenario {
            Scenario::Lost => self.change_first_replicas(|b| b.fault = Fault::Gone),
            Scenario::Cold => self.change_first_replicas(|b| b.cold_requests = u64::MAX / 2),
            Scenario::NewSnapshot => self.replace_snapshot(),
            Scenario::FrozenDaemon => self.signal(0, Signal::STOP),
            Scenario::PlatformGone => self.platform.set_down(0, true),
            Scenario::ZoneGone => {
                for number in (1..self.pids.len()).step_by(2) {
                    self.signal(number, Signal::STOP);
                }
                for spec in self.layout.searchers.iter().filter(|spec| spec.replica % 2 == 1) {
                    self.searchers.change(&spec.name, |b| b.fault = Fault::Gone);
                }
            }
            _ => {}
        }
    }

    fn replace_snapshot(&self) {
        for name in self.searchers.names() {
            self.searchers.change(&name, |b| b.held.push(2));
            thread::sleep(Duration::from_millis(3));
        }
        let index = self.first_index();
        let resource = self.layout.index_resource(index, &[2, 1]);
        self.platform.publish("config", vec![(format!("indexes/{index}"), resource)]);
        thread::sleep(Duration::from_secs(1));
        for name in self.searchers.names().iter().filter(|name| name.starts_with(index)) {
            self.searchers.change(name, |b| b.held.retain(|version| *version == 2));
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(pid) = self.pids.get(number).and_then(|pid| Pid::from_raw(*pid)) {
            let _ = kill_process(pid, signal).is_ok();
        }
    }

    fn signal_all(&self, signal: Signal) {
        for number in 0..self.pids.len() {
            self.signal(number, signal);
        }
    }

    /// Returns the processor time of all daemons' worker threads, in seconds.
    fn worker_seconds(&self) -> f64 {
        let mut times = BTreeMap::new();
        for pid in &self.pids {
            add_thread_times(*pid, &mut times);
        }
        times.iter().filter(|(name, _)| name.starts_with("worker")).map(|(_, time)| time).sum()
    }

    fn request_counts(&self) -> RequestCounts {
        let mut counts = RequestCounts::default();
        for workers in self.operators.iter().filter_map(|address| status(*address)) {
            for worker in workers["workers"].as_object().into_iter().flat_map(|w| w.values()) {
                counts.first += worker["first"].as_u64().unwrap_or(0);
                counts.extra += worker["extra"].as_u64().unwrap_or(0);
            }
        }
        counts
    }
}

fn ratio(some: u64, all: u64) -> f64 {
    let exact = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    if all == 0 { 0.0 } else { exact(some) / exact(all) }
}

/// Formats outcomes as a Markdown table with one row for each scenario, variant and lookup.
#[must_use]
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = "| scenario | variant | lookup | sent | p50 | p99 | p99.9 | whole | partial | refused | unknown | failed | coverage | extra | opened | too many | worker µs |\n".to_owned();
    text += "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for outcome in outcomes {
        for (lookup, f) in &outcome.lookups {
            text += &row(outcome, lookup, f);
        }
    }
    text
}

fn row(outcome: &Outcome, lookup: &str, f: &Figures) -> String {
    let scenario = serde_json::to_value(outcome.scenario).unwrap_or_default();
    let cells = [
        scenario.as_str().unwrap_or("").to_owned(),
        outcome.variant.clone(),
        lookup.to_owned(),
        f.sent.to_string(),
        format!("{:.1}", f.p50),
        format!("{:.1}", f.p99),
        format!("{:.1}", f.p999),
        f.whole.to_string(),
        f.partial.to_string(),
        f.refused.to_string(),
        f.unknown.to_string(),
        f.failed.to_string(),
        format!("{:.5}", f.coverage()),
        format!("{:.2}%", outcome.extra * 100.0),
        outcome.opened.to_string(),
        outcome.refused_connections.to_string(),
        format!("{:.0}", outcome.micros),
    ];
    format!("| {} |\n", cells.join(" | "))
}
