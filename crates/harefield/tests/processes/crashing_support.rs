//! Three daemons in three availability zones with a sharded index whose upstreams crash while
//! they run certain requests, and callers that send ordinary requests meanwhile.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::CrashingSearcher;
use standin::CrashingSpec;
use standin::FATAL;
use standin::SiteStore;
use standin::StartedRequest;

use crate::site_support::Answer;
use crate::site_support::begin;
use crate::site_support::limits;
use crate::site_support::request_at;
use crate::support::Daemon;
use crate::support::await_true;

pub const SHARDS: usize = 20;
pub const REPLICAS: usize = 2;

/// How long a crashed upstream is down.
pub const DOWNTIME: Duration = Duration::from_millis(1800);

/// Within this time a suspect found by one daemon is known to every daemon that it can reach.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// The number of later sends that the users accept.
pub const MAX_LATE_SENDS: usize = 3;

/// The pause between two repetitions of a fatal request.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const WORK: Duration = Duration::from_millis(15);

/// What some upstreams do with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Others {
    /// The same as all.
    Same,
    /// One in seven answers 40% of its requests with a failure of its own.
    Fail,
    /// The second half of the service `one` stays silent on a fatal request, and doesn't crash.
    StaySilent,
}

/// Variants of the fleet that a test starts.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// Whether restarted upstreams keep their names.
    pub keep_names: bool,
    /// The number of upstreams of the service `one`, which has a single shard.
    pub single_upstreams: usize,
    /// How long after its start a fatal request crashes its upstream.
    pub crash_after: Duration,
    /// Whether daemons query one shard first for 10 s after the start of all, as they do by default.
    pub cautious: bool,
    /// What some upstreams do besides.
    pub others: Others,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            keep_names: false,
            single_upstreams: 0,
            crash_after: WORK,
            cautious: false,
            others: Others::Same,
        }
    }
}

pub struct Fleet {
    pub store: SiteStore,
    pub daemons: Vec<Daemon>,
    pub upstreams: Vec<CrashingSearcher>,
    cautious: bool,
}

impl Fleet {
    pub fn start(options: FleetOptions) -> Self {
        let store = SiteStore::start();
        let mut upstreams = Vec::new();
        let mut add = |service: &str, number: usize, zone: usize| {
            let fails = options.others == Others::Fail && upstreams.len() % 7 == 5;
            let silent = options.others == Others::StaySilent
                && service == "one"
                && number * 2 >= options.single_upstreams;
            let spec = CrashingSpec {
                id: format!("i-{service}-{number}"),
                service: service.to_owned(),
                zone: ZONES[zone % ZONES.len()].to_owned(),
                work: WORK,
                crash_after: options.crash_after,
                silent,
                failing_percent: if fails { 40 } else { 0 },
                downtime: DOWNTIME,
                keeps_name: options.keep_names,
            };
            upstreams.push(CrashingSearcher::start(spec, store.clone()));
        };
        for shard in 0..SHARDS {
            for replica in 0..REPLICAS {
                add(&format!("s{shard}"), replica, shard + replica);
            }
        }
        for number in 0..options.single_upstreams {
            add("one", number, number);
        }
        store.put("op/config", Some(&configuration()));
        let mut fleet = Self { store, daemons: Vec::new(), upstreams, cautious: options.cautious };
        for zone in ZONES {
            fleet.join(zone);
        }
        fleet.await_serving(options);
        fleet
    }

    /// Kills all daemons and starts as many that know nothing of the past.
    pub fn restart_all(&mut self) {
        self.daemons.iter().for_each(|daemon| daemon.signal("KILL"));
        self.daemons.clear();
        for zone in ZONES {
            self.join(zone);
        }
    }

    /// Starts one more daemon, whose seed is the first one.
    pub fn join(&mut self, zone: &str) {
        let seed = self.daemons.first().map(|daemon| format!("\"{}\"", daemon.addresses.peers));
        let caution = if self.cautious { "" } else { "cautious-ms = 0\n" };
        let settings = settings(&self.store, zone, &seed.unwrap_or_default()) + caution;
        self.daemons.push(Daemon::start(&settings));
    }

    fn await_serving(&self, options: FleetOptions) {
        let path = if options.single_upstreams > 0 { "/one/warm" } else { "/all/warm" };
        let serves = |daemon: &Daemon| {
            ["/all/warm", path].iter().all(|path| {
                let answer = request_at(daemon, path, "warm", 2000);
                answer.status == 200 && ["", "0"].contains(&answer.header("missing-parts"))
            })
        };
        await_true("all daemons serve", || self.daemons.iter().all(serves));
    }

    /// Sends a request that crashes every upstream that runs it.
    pub fn send_fatal(&self, daemon: usize, path: &str, number: usize) -> Answer {
        request_at(&self.daemons[daemon], &format!("/{path}{FATAL}"), &format!("fatal-{number}"), 2000)
    }

    /// Sends such a request and closes its connection after `patience` without an answer.
    pub fn leave_fatal(&self, daemon: usize, path: &str, number: usize, patience: Duration) {
        let path = format!("/{path}{FATAL}");
        let connection = begin(&self.daemons[daemon], &path, &format!("fatal-{number}"));
        std::thread::sleep(patience);
        drop(connection);
    }

    /// Returns the attempts of fatal requests that upstreams began, by time.
    pub fn fatal_attempts(&self) -> Vec<StartedRequest> {
        let all = self.upstreams.iter().flat_map(CrashingSearcher::started);
        let mut attempts: Vec<StartedRequest> =
            all.filter(|attempt| attempt.target.contains(FATAL)).collect();
        attempts.sort_by_key(|attempt| attempt.at);
        attempts
    }

    /// Returns the times of all crashes in order.
    pub fn ends(&self) -> Vec<Instant> {
        let mut ends: Vec<Instant> = self.upstreams.iter().flat_map(CrashingSearcher::crash_times).collect();
        ends.sort_unstable();
        ends
    }

    /// Returns how many fatal attempts began after the whole fleet had to know of the third crash.
    pub fn late_sends(&self) -> usize {
        let Some(third) = self.ends().get(2).copied() else { return 0 };
        self.fatal_attempts().iter().filter(|attempt| attempt.at > third + PROPAGATION_TIME).count()
    }
}

/// Runs `step` for some rounds, with the number of the round and each daemon in turn, during ordinary
/// traffic; returns the answers to that.
pub fn during_traffic(fleet: &Fleet, rounds: usize, step: impl Fn(usize, usize)) -> Vec<Answered> {
    let ordinary = Callers::start(fleet, Duration::from_millis(75), |number| format!("/all/own-{number}"));
    for number in 0..rounds {
        step(number % fleet.daemons.len(), number);
    }
    ordinary.stop()
}

/// An answer that a caller got, with the time of its request.
#[derive(Clone, Debug)]
pub struct Answered {
    pub at: Instant,
    pub status: u16,
    pub code: String,
}

/// Callers that send requests one after another until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<Answered>>>,
}

impl Callers {
    /// Starts a caller for each daemon that pauses for `pause` between requests; `path` returns
    /// the path of the request with a number.
    pub fn start(
        fleet: &Fleet,
        pause: Duration,
        path: impl Fn(usize) -> String + Clone + Send + 'static,
    ) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let answers: Arc<Mutex<Vec<Answered>>> = Arc::default();
        let threads = fleet.daemons.iter().enumerate().map(|(index, daemon)| {
            let (stop, answers, path, to) =
                (Arc::clone(&stop), Arc::clone(&answers), path.clone(), daemon.addresses);
            std::thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let path = path(number);
                    let at = Instant::now();
                    let headers = format!("Attempt-Id: c{index}-{number}\r\nDeadline-Remaining: 1000\r\n");
                    let answer = crate::site_support::send_request(to.callers, &path, &headers);
                    let answered = Answered { at, status: answer.status, code: code(&answer) };
                    answers.lock().unwrap_or_else(PoisonError::into_inner).push(answered);
                    std::thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads, answers }
    }

    /// Stops the callers and returns all answers.
    pub fn stop(self) -> Vec<Answered> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("the caller does not panic"));
        self.answers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Returns the result code of an answer that a daemon made itself; empty for an upstream's.
pub fn code(answer: &Answer) -> String {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["code"].as_str().unwrap_or_default().to_owned()
}

fn settings(store: &SiteStore, zone: &str, seeds: &str) -> String {
    format!(
        "[host]\nzone = \"{zone}\"\n[host.regions]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r2\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\n[platform]\nkind = \"store\"\naddresses = [\"{}\"]\n\
         [peers]\nexchange-ms = 1000\njoin-ms = 200\nseeds = [{seeds}]\n[limits]\nbody-ms = 400\n\
         [routing]\nextra-load = 0.2\nextra-slack = 54\n",
        store.address()
    )
}

fn configuration() -> Value {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    let services: Vec<Value> = shards
        .iter()
        .map(String::as_str)
        .chain(["one"])
        .map(|name| json!({ "name": name, "connectionLimit": 26 }))
        .collect();
    let routes = json!([
        {
            "name": "all", "host": "x.example", "pathPrefix": "/all/", "kind": "safe", "timeoutMs": 2000,
            "targetLatencyMs": 200, "priority": 1, "attempts": 2, "fanoutServices": shards,
            "resultLimit": 50, "oldestVersion": 0.89,
        },
        {
            "name": "one", "host": "x.example", "pathPrefix": "/one/", "kind": "safe", "timeoutMs": 2000,
            "targetLatencyMs": 600, "priority": 2, "attempts": 2, "service": "one",
        },
    ]);
    json!({ "version": 1, "routes": routes, "services": services, "limits": limits() })
}
