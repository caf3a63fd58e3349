//! Runs one soak from its seed to its report.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::callers::CallerContext;
use crate::checks::Checks;
use crate::client::Outcome;
use crate::cluster::Cluster;
use crate::faults::Faults;
use crate::ledger::Ledger;

/// How long the daemons may take to become ready at the start.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How long no faults are injected at the end before requests must be served again.
const CALM_TIME: Duration = Duration::from_secs(5);

/// How long requests are observed after that.
const OBSERVED_TIME: Duration = Duration::from_secs(2);

/// The settings of a soak.
#[derive(Clone, Debug)]
pub(crate) struct SoakOptions {
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the store's drills are the only faults, among few configuration changes.
    pub slow: bool,
    /// How long faults are injected.
    pub time: Duration,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of callers that send to any daemon.
    pub callers: u64,
    /// The number of shards at the start.
    pub shards: usize,
    /// The path of the daemon's executable.
    pub program: PathBuf,
    /// The folder of the daemons' settings and logs.
    pub folder: PathBuf,
}

impl SoakOptions {
    /// Returns whether the daemons schedule the index of the merged route. Every other pair of
    /// seeds does, so that both even seeds, whose store stays available, and odd ones are among
    /// them.
    pub fn is_scheduled(&self) -> bool {
        self.seed / 2 % 2 == 1
    }
}

/// The results of a soak.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// The number of requests sent.
    pub requests: usize,
    /// The number of requests answered with status 200.
    pub served: usize,
    /// The violations found: the promise and where it was broken.
    pub violations: Vec<String>,
}

/// Runs one soak and checks its results.
///
/// # Panics
///
/// Panics if the daemons' program doesn't exist or the daemons don't become ready in time.
pub(crate) fn play(soak: &SoakOptions) -> Report {
    std::fs::create_dir_all(&soak.folder).expect("the folder can be created");
    let ledger: Arc<Ledger> = Arc::default();
    let cluster = Arc::new(Cluster::start(soak, &ledger));
    let done = Arc::new(AtomicBool::new(false));
    await_ready(&cluster, &soak.folder);
    let context = CallerContext {
        cluster: Arc::clone(&cluster),
        ledger: Arc::clone(&ledger),
        done: Arc::clone(&done),
        seed: soak.seed,
    };
    let callers = context.start(soak.callers);
    let faults = Faults { cluster: Arc::clone(&cluster), ledger: Arc::clone(&ledger) };
    let until = Instant::now() + soak.time;
    let (seed, crashes) = (soak.seed, faults.clone());
    let crashes = std::thread::spawn(move || crashes.run_crashes(seed));
    if soak.slow {
        faults.run_slow_day(soak.seed, until);
    } else {
        run_faults(&faults, soak.seed, until);
    }
    let calm = Instant::now() + CALM_TIME;
    std::thread::sleep(CALM_TIME + OBSERVED_TIME);
    done.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller panicked");
    }
    cluster.close_crashes();
    crashes.join().expect("the thread that crashes upstreams panicked");
    cluster.kill_daemons();
    check(&cluster, &ledger, calm)
}

/// Injects all kinds of faults until `until`, and waits until those under way have ended.
fn run_faults(faults: &Faults, seed: u64, until: Instant) {
    let foreign = faults.clone();
    let foreign = std::thread::spawn(move || foreign.run_foreign(seed, until));
    let departures = faults.clone();
    let departures = std::thread::spawn(move || departures.run_departures(seed, until));
    let endless = faults.clone();
    let endless = std::thread::spawn(move || endless.run_endless(seed, until));
    let storms = faults.clone();
    let storms = std::thread::spawn(move || storms.run_storms(seed, until));
    let drills = faults.clone();
    let drills = std::thread::spawn(move || drills.run_drills(seed, until));
    let mut under_way = faults.run(seed, until);
    under_way.extend([storms, foreign, drills, departures, endless]);
    for fault in under_way {
        fault.join().expect("a fault's thread panicked");
    }
    faults.end_day(seed);
}

fn await_ready(cluster: &Cluster, folder: &Path) {
    let until = Instant::now() + READY_LIMIT;
    while !cluster.is_ready() {
        assert!(Instant::now() < until, "the daemons did not become ready; see {}", folder.display());
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn check(cluster: &Cluster, ledger: &Ledger, calm: Instant) -> Report {
    let observations = ledger.observations();
    let upstreams = cluster.upstreams();
    let violations = Checks::new(&observations, &upstreams).run(calm);
    let is_served = |outcome: &Outcome| matches!(outcome, Outcome::Answered(answer) if answer.status == 200);
    Report {
        requests: observations.requests.len(),
        served: observations.requests.iter().filter(|request| is_served(&request.outcome)).count(),
        violations: violations
            .iter()
            .map(|violation| format!("{}: {}", violation.promise, violation.detail))
            .collect(),
    }
}
