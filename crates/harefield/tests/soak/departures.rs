//! Upstreams that leave without a word, several at a time, and upstreams whose replies have no end.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use standin::Endless;
use standin::EndlessServer;
use standin::upstream_entry;

use crate::faults::Faults;
use crate::ledger::Leaving;

/// The bytes per second of a reply without end.
const ENDLESS_RATE: u32 = 1 << 20;

/// The name by which KNOWN-RED.txt lets CI pass over the departures.
const NAME: &str = "soak::departures";

fn is_skipped() -> bool {
    std::env::args().any(|argument| argument == NAME)
}

impl Faults {
    /// Takes several upstreams away within a second until `until`: their entries go, and they serve
    /// on. Uses a random generator of its own.
    pub fn run_departures(&self, seed: u64, until: Instant) {
        if is_skipped() {
            return;
        }
        let mut random = StdRng::seed_from_u64(seed.rotate_left(13));
        let mut departed: Vec<String> = Vec::new();
        while Instant::now() < until {
            for _ in 0..random.random_range(3..10) {
                std::thread::sleep(Duration::from_millis(500));
                // A store that came back from a copy drops the entries that nobody writes.
                for id in &departed {
                    self.cluster.remove_entry(id);
                }
            }
            let present = self.cluster.present();
            let count = random.random_range(2..5);
            let names: Vec<String> = present.choose_multiple(&mut random, count).cloned().collect();
            let leaving: Vec<String> = names.into_iter().filter(|name| self.replace_silently(name)).collect();
            std::thread::sleep(Duration::from_millis(300));
            for id in leaving {
                self.cluster.remove_entry(&id);
                self.ledger.observations().leaving.push(Leaving { id: id.clone(), at: Instant::now() });
                departed.push(id);
                std::thread::sleep(Duration::from_millis(random.random_range(0..300)));
            }
        }
    }

    /// Starts a successor of an upstream; returns whether that one may leave.
    fn replace_silently(&self, name: &str) -> bool {
        let Some(upstream) = self.cluster.upstream(name) else { return false };
        // The upstream of a configuration version has no replica.
        if upstream.service.starts_with("version-") || !self.cluster.remove_present(name) {
            return false;
        }
        self.cluster.add(&upstream.service, upstream.zone, &upstream.records);
        true
    }

    /// Adds upstreams whose replies have no end until `until`, one at a time, each for a moment. Uses a
    /// random generator of its own.
    pub fn run_endless(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(41));
        for number in 0.. {
            std::thread::sleep(Duration::from_millis(random.random_range(500..3000)));
            if Instant::now() >= until {
                return;
            }
            let present = self.cluster.present();
            let Some(beside) = present.choose(&mut random).and_then(|name| self.cluster.upstream(name))
            else {
                continue;
            };
            let kind = *Endless::ALL.choose(&mut random).unwrap_or(&Endless::Noise);
            println!("endless {kind:?} in {}", beside.service);
            let server = EndlessServer::start(kind, ENDLESS_RATE);
            let key = format!("servers/i-endless-{number}");
            let entry = upstream_entry(server.address(), beside.zone, &beside.service, "ready");
            self.cluster.store.put(&key, Some(&entry));
            std::thread::sleep(Duration::from_millis(random.random_range(500..2000)));
            self.cluster.store.put(&key, None);
        }
    }
}
