//! One soak from its seed to its verdict.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::callers::CallerContext;
use crate::checks::Checks;
use crate::client::RequestOutcome;
use crate::cluster::Cluster;
use crate::faults::Faults;
use crate::ledger::Ledger;

/// How long the daemons may take to be ready at first.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How long all is calm at the end before requests must be served again.
const CALM_TIME: Duration = Duration::from_secs(5);

/// How long they are watched then.
const OBSERVED_TIME: Duration = Duration::from_secs(2);

/// What a soak is told.
#[derive(Clone, Debug)]
pub(crate) struct SoakOptions {
    /// Everything is drawn from it.
    pub seed: u64,
    /// Whether nothing but the store's drills goes wrong, among few changes.
    pub slow: bool,
    /// How long things go wrong.
    pub time: Duration,
    /// How many daemons run.
    pub daemons: usize,
    /// How many callers there are.
    pub callers: u64,
    /// How many shards there are at first.
    pub shards: usize,
    /// The daemons' program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// What a soak found.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// How many requests were sent.
    pub requests: usize,
    /// How many of them were answered with success.
    pub served: usize,
    /// Each promise that was broken, with where.
    pub violations: Vec<String>,
}

/// Plays one soak.
///
/// # Panics
///
/// Panics where the daemons' program is not there, or does not get ready.
pub(crate) fn play(soak: &SoakOptions) -> Report {
    std::fs::create_dir_all(&soak.folder).expect("the folder can be made");
    let ledger: Arc<Ledger> = Arc::default();
    let cluster = Cluster::start(soak.daemons, soak.shards, &soak.program, &soak.folder, &ledger);
    let cluster = Arc::new(cluster);
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
        caller.join().expect("callers end");
    }
    cluster.close_crashes();
    crashes.join().expect("what ends upstreams ends");
    cluster.kill_daemons();
    check(&cluster, &ledger, calm)
}

/// Lets all kinds of things go wrong until `until`, and ends what is under way then.
fn run_faults(faults: &Faults, seed: u64, until: Instant) {
    let foreign = faults.clone();
    let foreign = std::thread::spawn(move || foreign.run_foreign(seed, until));
    let storms = faults.clone();
    let storms = std::thread::spawn(move || storms.run_storms(seed, until));
    let drills = faults.clone();
    let drills = std::thread::spawn(move || drills.run_drills(seed, until));
    let mut under_way = faults.run(seed, until);
    under_way.extend([storms, foreign, drills]);
    for fault in under_way {
        fault.join().expect("what goes wrong ends");
    }
    faults.end_day(seed);
}

fn await_ready(cluster: &Cluster, folder: &Path) {
    let until = Instant::now() + READY_LIMIT;
    while !cluster.is_ready() {
        assert!(Instant::now() < until, "the daemons are not ready; see {}", folder.display());
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn check(cluster: &Cluster, ledger: &Ledger, calm: Instant) -> Report {
    let observations = ledger.observations();
    let upstreams = cluster.upstreams();
    let violations = Checks::new(&observations, &upstreams).run(calm);
    let is_served = |outcome: &RequestOutcome| matches!(outcome, RequestOutcome::Answered(answer) if answer.status == 200);
    Report {
        requests: observations.requests.len(),
        served: observations.requests.iter().filter(|request| is_served(&request.outcome)).count(),
        violations: violations
            .iter()
            .map(|violation| format!("{}: {}", violation.promise, violation.detail))
            .collect(),
    }
}
