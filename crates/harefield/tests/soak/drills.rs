//! Recovery drills, in which the store is unavailable for a moment and is restored from an
//! older copy, and simultaneous kills of all daemons. Both use random generators of their
//! own, so that the other faults of a seed stay the same.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::Outage;

use crate::draw::Fault;
use crate::faults::Faults;
use crate::ledger::Scope;

/// One restore of the store from an older copy.
#[derive(Clone, Copy, Debug)]
struct Drill {
    /// The age of the copy.
    age: Duration,
    away: Outage,
    /// How long the store is unavailable.
    time: Duration,
    /// The delay from the restore until operators and upstreams write again what was lost.
    rewrite_delay: Duration,
    /// Whether all daemons are killed at the same time.
    kills_all: bool,
}

fn draw(random: &mut StdRng) -> Drill {
    let mut span = |min: u64, max: u64| Duration::from_millis(random.random_range(min..max));
    let (age, time, rewrite_delay) = (span(0, 8000), span(100, 2500), span(0, 1500));
    let away = if random.random_bool(0.5) { Outage::Silent } else { Outage::Down };
    Drill { age, away, time, rewrite_delay, kills_all: random.random_bool(0.2) }
}

/// Returns whether a seed's store is restored from copies: a store that the seed's storms
/// leave alone isn't.
fn has_drills(seed: u64) -> bool {
    !seed.is_multiple_of(4)
}

impl Faults {
    /// Runs drills until `until`, with a series of configuration changes after each.
    pub fn run_drills(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(17));
        while has_drills(seed) {
            std::thread::sleep(Duration::from_millis(random.random_range(500..4000)));
            if Instant::now() >= until {
                return;
            }
            let drill = draw(&mut random);
            println!("drill {drill:?}");
            self.drill(drill);
            for _ in 0..random.random_range(0..4) {
                std::thread::sleep(Duration::from_millis(random.random_range(300..4000)));
                self.cluster.publish(None, &self.ledger);
            }
        }
    }

    /// Runs a slow day until `until`: a series of configuration changes, a restore from a copy
    /// that lacks most of them, and then changes that are seconds apart. A daemon that relies
    /// on the store's revision counter misses the later changes, because their writes bring
    /// the counter back to its earlier value. With frequent changes the next one hides this.
    pub fn run_slow_day(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(31));
        let mut change_after = |min: u64, max: u64| {
            std::thread::sleep(Duration::from_millis(random.random_range(min..max)));
            self.cluster.publish(None, &self.ledger);
        };
        let mut drill_random = StdRng::seed_from_u64(!seed.rotate_left(31));
        while Instant::now() < until {
            for _ in 0..7 {
                change_after(900, 1300);
            }
            let age = Duration::from_millis(drill_random.random_range(5000..8000));
            let drill = Drill { age, kills_all: false, ..draw(&mut drill_random) };
            println!("slow day: drill {drill:?}");
            self.drill(drill);
            for _ in 0..3 {
                change_after(3900, 4600);
            }
        }
    }

    fn drill(&self, drill: Drill) {
        let Drill { age, away, time, rewrite_delay, kills_all } = drill;
        self.during(Scope::Store, || {
            let restarts = kills_all.then(|| self.kill_daemons(time));
            let store = &self.cluster.store;
            store.drill(store.backup_from(age), away, time);
            std::thread::sleep(rewrite_delay);
            store.rewrite_lost();
            for kill in restarts.into_iter().flatten() {
                kill.join().expect("a restart's thread panicked");
            }
        });
    }

    /// Ends the run of faults: kills all daemons at the same moment, right after a
    /// configuration change, and with some seeds during a drill.
    pub fn end_day(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(43));
        self.cluster.publish(None, &self.ledger);
        if has_drills(seed) && random.random_bool(0.5) {
            self.drill(Drill { kills_all: true, ..draw(&mut random) });
            return;
        }
        let time = Duration::from_millis(random.random_range(100..1500));
        for kill in self.kill_daemons(time) {
            kill.join().expect("a restart's thread panicked");
        }
    }

    /// Kills all daemons at the same moment and restarts them after `time`.
    fn kill_daemons(&self, time: Duration) -> Vec<std::thread::JoinHandle<()>> {
        let kill = |node| {
            let this = self.clone();
            std::thread::spawn(move || this.apply(Fault::Kill(node), time))
        };
        (0..self.cluster.nodes.len()).map(kill).collect()
    }
}
