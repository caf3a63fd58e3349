//! Drills of the store, which is away for a moment and comes back from a copy, and kills of
//! all daemons at one moment; drawn apart from what else goes wrong.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::Away;

use crate::draw::Fault;
use crate::faults::Faults;
use crate::ledger::Scope;

/// One drill.
#[derive(Clone, Copy, Debug)]
struct Drill {
    /// How old the copy is.
    age: Duration,
    away: Away,
    /// How long it is away.
    time: Duration,
    /// How long after its return operators and upstreams write again.
    rewrite_delay: Duration,
    /// Whether all daemons are killed beside it.
    kills_all: bool,
}

fn draw(random: &mut StdRng) -> Drill {
    let mut span = |min: u64, max: u64| Duration::from_millis(random.random_range(min..max));
    let (age, time, rewrite_delay) = (span(0, 8000), span(100, 2500), span(0, 1500));
    let away = if random.random_bool(0.5) { Away::Silent } else { Away::Down };
    Drill { age, away, time, rewrite_delay, kills_all: random.random_bool(0.2) }
}

/// Says whether a seed's store comes back from copies: where its storms leave it well, it
/// stays well.
fn has_drills(seed: u64) -> bool {
    !seed.is_multiple_of(4)
}

impl Faults {
    /// Lets drills come until `until`, beside changes in series.
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

    /// Plays a slow day until `until`: changes one after the other, a copy that lacks most of
    /// them, and then changes that are seconds apart. Whoever goes by the store's counter
    /// misses those, as writes bring it back to what it was; where changes are many, the next
    /// one hides that.
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
            store.drill(store.copy_of(age), away, time);
            std::thread::sleep(rewrite_delay);
            store.write_again();
            for kill in restarts.into_iter().flatten() {
                kill.join().expect("a daemon starts again");
            }
        });
    }

    /// Ends the day: all daemons are killed at one moment, right after a change, on some seeds
    /// beside a drill.
    pub fn end_day(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(43));
        self.cluster.publish(None, &self.ledger);
        if has_drills(seed) && random.random_bool(0.5) {
            self.drill(Drill { kills_all: true, ..draw(&mut random) });
            return;
        }
        let time = Duration::from_millis(random.random_range(100..1500));
        for kill in self.kill_daemons(time) {
            kill.join().expect("a daemon starts again");
        }
    }

    /// Kills all daemons at one moment; they start again after a time.
    fn kill_daemons(&self, time: Duration) -> Vec<std::thread::JoinHandle<()>> {
        let kill = |node| {
            let this = self.clone();
            std::thread::spawn(move || this.apply(Fault::Kill(node), time))
        };
        (0..self.cluster.nodes.len()).map(kill).collect()
    }
}
