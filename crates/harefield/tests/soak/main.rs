//! A randomized soak test: daemons run as processes on loopback, against simulated
//! versions of the users' store and upstreams, while faults are injected from outside. All
//! random choices come from one seed.
//!
//! `cluster` starts the daemons (each a `node`), the store and the upstreams, with a `proxy`
//! in front of each, and publishes the `configuration`. `draw` draws the faults and `faults`
//! injects them; `drills` restores the store from older copies. `callers` send requests and
//! record the results in the `ledger`; `checks` compares these with what the upstreams
//! recorded. Without arguments three short seeds run, as in CI.

mod callers;
mod checks;
mod client;
mod cluster;
mod configuration;
mod departures;
mod draw;
mod drills;
mod faults;
mod ledger;
mod locked;
mod node;
mod proxy;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::run::SoakOptions;
use crate::run::play;

const HELP: &str = "\
soak: runs harefield daemons as processes and injects faults from outside

Usage: cargo test -p harefield --test soak -- [--seed N] [--count N] [--kept]
           [--slow] [--seconds N] [--daemons N] [--callers N] [--shards N]
           [--program FILE] [--folder DIR]

Without arguments, runs seeds 1 to 3 for a short time, the last one as a slow day.
Otherwise runs COUNT seeds starting at SEED, or with --kept the seeds of seeds.txt, each for
SECONDS plus the time that its faults take to end. Keeps the logs of failed seeds in the
folder. Exits with 1 if a check failed for any seed.
";

/// The seeds that once failed a check, with the cause of each.
const KNOWN_SEEDS: &str = include_str!("seeds.txt");

/// The seed that runs as a slow day in the short run.
const SLOW_SEED: u64 = 3;

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<ExitCode, Failure> {
    let Some((first, seeds)) = parse_arguments()? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let mut failed = Vec::new();
    for seed in seeds.iter().copied() {
        let folder = first.folder.join(format!("seed-{seed}"));
        let slow = first.slow || (is_short() && seed == SLOW_SEED);
        let soak = SoakOptions { seed, slow, folder: folder.clone(), ..first.clone() };
        let report = play(&soak);
        println!("seed {seed}: {} of {} requests served", report.served, report.requests);
        for violation in &report.violations {
            println!("seed {seed}: BROKEN {violation}");
        }
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            failed.push(seed);
        }
    }
    let (good, bad) = (seeds.len() - failed.len(), failed.len());
    let verdict = if failed.is_empty() { "ok" } else { "FAILED" };
    println!("test result: {verdict}. {good} passed; {bad} failed");
    println!("{} seeds, {} with a failed check: {failed:?}", seeds.len(), failed.len());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns whether the program was started without arguments, as by the README's test command.
///
/// `cargo test` passes `--skip TEST` to every test program, so it doesn't count as an argument.
fn is_short() -> bool {
    let skips = std::env::args().filter(|argument| argument == "--skip").count();
    std::env::args().len() == 1 + 2 * skips
}

/// Returns the seeds listed in `seeds.txt`.
fn known_seeds() -> Result<Vec<u64>, Failure> {
    let lines = KNOWN_SEEDS.lines().filter(|line| !line.starts_with('#'));
    let numbers = lines.map(|line| line.split(' ').next().unwrap_or("").parse());
    Ok(numbers.collect::<Result<_, _>>()?)
}

fn parse_arguments() -> Result<Option<(SoakOptions, Vec<u64>)>, Failure> {
    let short = is_short();
    let mut soak = SoakOptions {
        seed: 1,
        slow: false,
        time: Duration::from_secs(if short { 5 } else { 12 }),
        daemons: if short { 4 } else { 5 },
        callers: if short { 4 } else { 8 },
        shards: 6,
        program: PathBuf::from(env!("CARGO_BIN_EXE_harefield")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", std::process::id())),
    };
    // Seed 2 is even: its store becomes unavailable only in storms and drills.
    let mut count = if short { SLOW_SEED } else { 1 };
    let mut only_known = false;
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seed") => soak.seed = parser.value()?.parse()?,
            Arg::Long("slow") => soak.slow = true,
            Arg::Long("kept") => only_known = true,
            Arg::Long("skip") => drop(parser.value()?),
            Arg::Long("count") => count = parser.value()?.parse()?,
            Arg::Long("seconds") => soak.time = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("daemons") => soak.daemons = parser.value()?.parse()?,
            Arg::Long("callers") => soak.callers = parser.value()?.parse()?,
            Arg::Long("shards") => soak.shards = parser.value()?.parse()?,
            Arg::Long("program") => soak.program = parser.value()?.into(),
            Arg::Long("folder") => soak.folder = parser.value()?.into(),
            // `cargo test` passes its filter to every test program.
            Arg::Value(filter) if !"soak".contains(&*filter.to_string_lossy()) => {
                return Ok(Some((soak, Vec::new())));
            }
            Arg::Value(_) => {}
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    if soak.daemons == 0 || soak.shards == 0 || soak.callers == 0 {
        return Err("--daemons, --callers and --shards must be at least 1".into());
    }
    let seeds = if only_known { known_seeds()? } else { (soak.seed..soak.seed + count).collect() };
    Ok(Some((soak, seeds)))
}
