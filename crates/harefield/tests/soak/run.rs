//! One soak from its seed to its verdict.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::callers::Calling;
use crate::checks::Checks;
use crate::client::Ending;
use crate::faults::Faults;
use crate::ledger::Ledger;
use crate::world::World;

/// How long the daemons may take to be ready at first.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How long all is calm at the end before requests must be served again.
const CALM: Duration = Duration::from_secs(5);

/// How long they are watched then.
const WATCHED: Duration = Duration::from_secs(2);

/// What a soak is told.
#[derive(Clone, Debug)]
pub(crate) struct Soak {
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
    pub broken: Vec<String>,
}

/// Plays one soak.
///
/// # Panics
///
/// Panics where the daemons' program is not there, or does not get ready.
pub(crate) fn play(soak: &Soak) -> Report {
    std::fs::create_dir_all(&soak.folder).expect("the folder can be made");
    let ledger: Arc<Ledger> = Arc::default();
    let world = World::start(soak.daemons, soak.shards, &soak.program, &soak.folder, &ledger);
    let world = Arc::new(world);
    let done = Arc::new(AtomicBool::new(false));
    await_ready(&world, &soak.folder);
    let calling = Calling {
        world: Arc::clone(&world),
        ledger: Arc::clone(&ledger),
        done: Arc::clone(&done),
        seed: soak.seed,
    };
    let callers = calling.start(soak.callers);
    let faults = Faults { world: Arc::clone(&world), ledger: Arc::clone(&ledger) };
    let until = Instant::now() + soak.time;
    let (seed, endings) = (soak.seed, faults.clone());
    let endings = std::thread::spawn(move || endings.run_endings(seed));
    if soak.slow {
        faults.run_slow_day(soak.seed, until);
    } else {
        run_faults(&faults, soak.seed, until);
    }
    let calm = Instant::now() + CALM;
    std::thread::sleep(CALM + WATCHED);
    done.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("callers end");
    }
    world.stop_endings();
    endings.join().expect("what ends upstreams ends");
    world.end();
    judge(&world, &ledger, calm)
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

fn await_ready(world: &World, folder: &Path) {
    let until = Instant::now() + READY_LIMIT;
    while !world.is_ready() {
        assert!(Instant::now() < until, "the daemons are not ready; see {}", folder.display());
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn judge(world: &World, ledger: &Ledger, calm: Instant) -> Report {
    let pages = ledger.pages();
    let upstreams = world.upstreams();
    let broken = Checks::new(&pages, &upstreams).all(calm);
    let good = |ending: &Ending| matches!(ending, Ending::Answered(answer) if answer.status == 200);
    Report {
        requests: pages.requests.len(),
        served: pages.requests.iter().filter(|request| good(&request.ending)).count(),
        broken: broken.iter().map(|broken| format!("{}: {}", broken.promise, broken.what)).collect(),
    }
}
