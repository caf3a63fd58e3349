//! Doing what goes wrong: one thing after the other, each on a thread of its own, so
//! that they overlap.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rustix::process::Signal;
use standin::ReplyMode as Conduct;

use crate::draw::Fault;
use crate::draw::Link;
use crate::draw::Stroke;
use crate::draw::draw;
use crate::draw::draw_storm;
use crate::ledger::Kind;
use crate::ledger::Leaving;
use crate::ledger::Ledger;
use crate::node::Node;
use crate::proxy::Manner;
use crate::proxy::Proxy;
use crate::world::SPOILS;
use crate::world::World;

/// How long a daemon is given after its start or wake before it is counted as well.
const SETTLE: Duration = Duration::from_secs(2);

/// How long it is calm after a storm: what it disturbed is checked then.
const CALM: Duration = Duration::from_secs(3);

/// How long a planned stop may take: the limit of 5.5 s, and a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// How long an upstream serves on after it said that it leaves: longer than the 3 s
/// within which work must no longer reach it, so that what comes late is seen.
const SERVES_ON: Duration = Duration::from_secs(7);

/// Draws and carries out what goes wrong.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    pub world: Arc<World>,
    pub ledger: Arc<Ledger>,
}

impl Faults {
    /// Lets storms come until `until`, with some calm after each, drawn apart from what
    /// else goes wrong: a seed goes on drawing that as it did.
    pub fn run_storms(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(!seed);
        while Instant::now() < until {
            let strokes = draw_storm(&mut random, self.world.nodes.len(), spares_silence(seed));
            let under_way: Vec<JoinHandle<()>> =
                strokes.into_iter().map(|stroke| self.strike(stroke)).collect();
            for stroke in under_way {
                stroke.join().expect("a stroke ends");
            }
            std::thread::sleep(CALM);
        }
    }

    fn strike(&self, stroke: Stroke) -> JoinHandle<()> {
        println!("storm {:?} after {:?} for {:?}", stroke.fault, stroke.pause, stroke.time);
        let this = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(stroke.pause);
            this.carry_out(stroke.fault, stroke.time);
        })
    }

    /// Lets things go wrong until `until`; returns what is still under way.
    pub fn run(&self, seed: u64, until: Instant) -> Vec<JoinHandle<()>> {
        let mut random = StdRng::seed_from_u64(seed);
        let spared = spares_store(seed);
        let mut under_way = Vec::new();
        while Instant::now() < until {
            let fault = draw(&mut random, self.world.nodes.len(), &self.world.present(), spared);
            let time = Duration::from_millis(random.random_range(100..2200));
            println!("fault {fault:?} for {time:?}");
            let this = self.clone();
            under_way.push(std::thread::spawn(move || this.carry_out(fault, time)));
            std::thread::sleep(Duration::from_millis(random.random_range(30..600)));
        }
        under_way
    }

    pub(crate) fn carry_out(&self, fault: Fault, time: Duration) {
        match fault {
            Fault::Kill(node) => self.on_process(node, Kind::Daemon(node), |held| {
                held.kill();
                std::thread::sleep(time);
                self.world.restart(held);
                std::thread::sleep(SETTLE);
            }),
            Fault::Pause(node) => self.on_process(node, Kind::Daemon(node), |held| {
                held.signal(Signal::STOP);
                std::thread::sleep(time);
                held.signal(Signal::CONT);
                std::thread::sleep(SETTLE);
            }),
            Fault::Stop(node) => self.on_process(node, Kind::Stop(node), |held| {
                held.signal(Signal::TERM);
                if !held.await_end(STOP_LIMIT) {
                    println!("daemon {node} did not end in time");
                    held.kill();
                }
                std::thread::sleep(time);
                self.world.restart(held);
                std::thread::sleep(SETTLE);
            }),
            Fault::Reload(node) => self.world.nodes[node].signal(Signal::HUP),
            Fault::StoreLink(node, link) => {
                self.on_link(Kind::StoreLink(node), &self.world.nodes[node].store, link, time);
            }
            Fault::StoreDown => self.during(Kind::Store, || {
                self.world.store.set_down(true);
                std::thread::sleep(time);
                self.world.store.set_down(false);
            }),
            Fault::StoreSilent => self.during(Kind::Store, || {
                self.world.store.set_silent(true);
                std::thread::sleep(time);
                self.world.store.set_silent(false);
            }),
            Fault::StoreForgets => self.world.store.compact(),
            Fault::PeerLink(node, link) => {
                self.on_link(Kind::Peers, &self.world.nodes[node].peers, link, time);
            }
            Fault::UpstreamLink(name, link) => {
                if let Some(upstream) = self.world.upstream(&name) {
                    self.on_link(Kind::Upstreams, &upstream.proxy, link, time);
                }
            }
            Fault::Conduct(name, conduct, delay) => {
                if let Some(upstream) = self.world.upstream(&name) {
                    upstream.inner.set_mode(conduct, delay);
                    std::thread::sleep(time);
                    upstream.inner.set_mode(Conduct::Good, Duration::ZERO);
                }
            }
            Fault::Drain(name) => self.replace(&name, true),
            Fault::Vanish(name) => self.replace(&name, false),
            Fault::Change => {
                self.world.publish(None, &self.ledger);
            }
            Fault::Reshard(count) => self.reshard(count, time),
        }
    }

    /// Lets another writer put entries into the store until `until`: ones that are none, and
    /// some over those of upstreams, which write theirs again. Drawn apart from what else goes
    /// wrong.
    pub fn run_foreign(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(29));
        for number in 0.. {
            std::thread::sleep(Duration::from_millis(random.random_range(200..900)));
            if Instant::now() >= until {
                return;
            }
            self.world.list_foreign(number, random.random_range(0..SPOILS.len()));
            let present = self.world.present();
            let Some(name) = present.choose(&mut random).filter(|_| random.random_bool(0.3)) else {
                continue;
            };
            self.during(Kind::Upstreams, || {
                self.world.spoil(name, random.random_range(0..SPOILS.len()));
                std::thread::sleep(Duration::from_millis(random.random_range(100..1200)));
                if self.world.present().contains(name) {
                    self.world.list(name, "ready");
                }
            });
        }
    }

    /// Ends upstreams that do not outlive what they run; another one takes the place of
    /// each after some time.
    pub fn run_endings(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(7));
        let mut under_way = Vec::new();
        while let Some(name) = self.world.next_ending() {
            let gone = Duration::from_millis(random.random_range(300..1800));
            let this = self.clone();
            under_way.push(std::thread::spawn(move || this.end_upstream(&name, gone)));
        }
        for ending in under_way {
            ending.join().expect("an upstream ends");
        }
    }

    fn end_upstream(&self, name: &str, gone: Duration) {
        let Some(upstream) = self.world.upstream(name) else { return };
        self.during(Kind::Upstreams, || {
            upstream.proxy.end();
            std::thread::sleep(gone);
            if self.world.take_leave(name) {
                self.world.add(&upstream.service, upstream.zone, &upstream.records);
            }
            self.world.unlist(name);
        });
    }

    /// Does something to a daemon's process, unless something is done to it.
    fn on_process(&self, node: usize, kind: Kind, act: impl FnOnce(&Node)) {
        let held = &self.world.nodes[node];
        if held.busy.swap(true, Ordering::SeqCst) {
            return;
        }
        self.during(kind, || act(held));
        held.busy.store(false, Ordering::SeqCst);
    }

    fn on_link(&self, kind: Kind, proxy: &Proxy, link: Link, time: Duration) {
        self.during(kind, || match link {
            Link::Is(manner) => {
                proxy.set(manner);
                std::thread::sleep(time);
                proxy.set(Manner::Pass);
            }
            Link::Reset => proxy.reset(),
        });
    }

    pub(crate) fn during(&self, kind: Kind, act: impl FnOnce()) {
        let number = self.ledger.begin(kind);
        act();
        self.ledger.end(number);
    }

    /// Lets an upstream leave, by its own word or without any, and another one of
    /// its service take its place.
    fn replace(&self, name: &str, says: bool) {
        let Some(upstream) = self.world.upstream(name) else { return };
        // What belongs to one version alone has no replica.
        if upstream.service.starts_with("version-") || !self.world.take_leave(name) {
            return;
        }
        self.world.add(&upstream.service, upstream.zone, &upstream.records);
        if says {
            std::thread::sleep(Duration::from_millis(300));
            self.leave(&[name.to_owned()]);
        } else {
            upstream.proxy.set(Manner::Refuse);
            upstream.proxy.reset();
            self.world.unlist(name);
        }
    }

    fn leave(&self, names: &[String]) {
        for name in names {
            self.world.list(name, "draining");
            self.ledger.pages().leaving.push(Leaving { id: name.clone(), at: Instant::now() });
        }
        std::thread::sleep(SERVES_ON);
        for name in names {
            self.world.unlist(name);
        }
    }

    fn reshard(&self, count: usize, time: Duration) {
        let next = self.world.make_shards(count);
        std::thread::sleep(time);
        let before = self.world.publish(Some(next), &self.ledger);
        // The old upstreams leave once the new version is due everywhere.
        std::thread::sleep(Duration::from_secs(3));
        let of_before = |name: &String| {
            self.world.upstream(name).is_some_and(|upstream| before.contains(&upstream.service))
        };
        let leaving: Vec<String> = self.world.present().into_iter().filter(of_before).collect();
        let leaving: Vec<String> = leaving.into_iter().filter(|name| self.world.take_leave(name)).collect();
        self.leave(&leaving);
    }
}

/// Says whether a seed spares the store what is not a storm: every other one does.
fn spares_store(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Says whether a seed's storms leave the store well: every fourth one's do, so that what
/// must hold within seconds of its word can be checked at all times.
fn spares_silence(seed: u64) -> bool {
    seed.is_multiple_of(4)
}
