//! Injects faults one after the other, each on a thread of its own, so that they overlap.

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

use crate::cluster::CORRUPTIONS;
use crate::cluster::Cluster;
use crate::draw::Fault;
use crate::draw::LinkFault;
use crate::draw::StormEvent;
use crate::draw::draw;
use crate::draw::draw_storm;
use crate::ledger::Leaving;
use crate::ledger::Ledger;
use crate::ledger::Scope;
use crate::node::Node;
use crate::proxy::LinkMode;
use crate::proxy::Proxy;

/// How long after a start or resume a daemon still counts as disturbed.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The pause after a storm, in which the checks cover what the storm disturbed.
const CALM_TIME: Duration = Duration::from_secs(3);

/// How long a graceful shutdown may take: the daemon's limit of 5.5 s, plus an allowance for
/// a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// How long an upstream keeps serving after it announced that it is leaving: longer than the
/// 3 s after which no work may reach it, so that late requests are seen.
const DRAIN_TIME: Duration = Duration::from_secs(7);

/// Draws and injects faults.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    pub cluster: Arc<Cluster>,
    pub ledger: Arc<Ledger>,
}

impl Faults {
    /// Runs storms until `until`, with a calm period after each. They use a random generator of
    /// their own, so that a seed's other faults stay the same.
    pub fn run_storms(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(!seed);
        while Instant::now() < until {
            let events = draw_storm(&mut random, self.cluster.nodes.len(), skips_silence(seed));
            let under_way: Vec<JoinHandle<()>> =
                events.into_iter().map(|event| self.start_event(event)).collect();
            for event in under_way {
                event.join().expect("a storm event's thread panicked");
            }
            std::thread::sleep(CALM_TIME);
        }
    }

    fn start_event(&self, event: StormEvent) -> JoinHandle<()> {
        println!("storm {:?} after {:?} for {:?}", event.fault, event.pause, event.time);
        let this = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(event.pause);
            this.apply(event.fault, event.time);
        })
    }

    /// Injects random faults until `until`; returns the threads of those still under way.
    pub fn run(&self, seed: u64, until: Instant) -> Vec<JoinHandle<()>> {
        let mut random = StdRng::seed_from_u64(seed);
        let skip_store = skips_store(seed);
        let mut under_way = Vec::new();
        while Instant::now() < until {
            let fault = draw(&mut random, self.cluster.nodes.len(), &self.cluster.present(), skip_store);
            let time = Duration::from_millis(random.random_range(100..2200));
            println!("fault {fault:?} for {time:?}");
            let this = self.clone();
            under_way.push(std::thread::spawn(move || this.apply(fault, time)));
            std::thread::sleep(Duration::from_millis(random.random_range(30..600)));
        }
        under_way
    }

    pub(crate) fn apply(&self, fault: Fault, time: Duration) {
        match fault {
            Fault::Kill(node) => self.on_process(node, Scope::Daemon(node), |target| {
                target.kill();
                std::thread::sleep(time);
                self.cluster.restart(target);
                std::thread::sleep(SETTLE_TIME);
            }),
            Fault::Pause(node) => self.on_process(node, Scope::Daemon(node), |target| {
                target.signal(Signal::STOP);
                std::thread::sleep(time);
                target.signal(Signal::CONT);
                std::thread::sleep(SETTLE_TIME);
            }),
            Fault::Stop(node) => self.on_process(node, Scope::Stop(node), |target| {
                target.signal(Signal::TERM);
                if !target.await_end(STOP_LIMIT) {
                    println!("daemon {node} did not exit in time");
                    target.kill();
                }
                std::thread::sleep(time);
                self.cluster.restart(target);
                std::thread::sleep(SETTLE_TIME);
            }),
            Fault::Reload(node) => self.cluster.nodes[node].signal(Signal::HUP),
            Fault::StoreLink(node, link) => {
                self.on_link(Scope::StoreLink(node), &self.cluster.nodes[node].store, link, time);
            }
            Fault::StoreDown => self.during(Scope::Store, || {
                self.cluster.store.set_down(true);
                std::thread::sleep(time);
                self.cluster.store.set_down(false);
            }),
            Fault::StoreSilent => self.during(Scope::Store, || {
                self.cluster.store.set_silent(true);
                std::thread::sleep(time);
                self.cluster.store.set_silent(false);
            }),
            Fault::StoreCompacts => self.cluster.store.compact(),
            Fault::PeerLink(node, link) => {
                self.on_link(Scope::Peers, &self.cluster.nodes[node].peers, link, time);
            }
            Fault::UpstreamLink(name, link) => {
                if let Some(upstream) = self.cluster.upstream(&name) {
                    self.on_link(Scope::Upstreams, &upstream.proxy, link, time);
                }
            }
            Fault::Conduct(name, conduct, delay) => {
                if let Some(upstream) = self.cluster.upstream(&name) {
                    upstream.inner.set_mode(conduct, delay);
                    std::thread::sleep(time);
                    upstream.inner.set_mode(Conduct::Good, Duration::ZERO);
                }
            }
            Fault::Drain(name) => self.replace(&name, true),
            Fault::Remove(name) => self.replace(&name, false),
            Fault::Publish => {
                self.cluster.publish(None, &self.ledger);
            }
            Fault::Reshard(count) => self.reshard(count, time),
        }
    }

    /// Acts as another writer to the store until `until`: adds invalid entries and overwrites
    /// some entries of upstreams, which then write theirs again. Uses a random generator of its
    /// own.
    pub fn run_foreign(&self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(29));
        for number in 0.. {
            std::thread::sleep(Duration::from_millis(random.random_range(200..900)));
            if Instant::now() >= until {
                return;
            }
            self.cluster.put_foreign(number, random.random_range(0..CORRUPTIONS.len()));
            let present = self.cluster.present();
            let Some(name) = present.choose(&mut random).filter(|_| random.random_bool(0.3)) else {
                continue;
            };
            self.during(Scope::Upstreams, || {
                self.cluster.corrupt(name, random.random_range(0..CORRUPTIONS.len()));
                std::thread::sleep(Duration::from_millis(random.random_range(100..1200)));
                if self.cluster.present().contains(name) {
                    self.cluster.put_entry(name, "ready");
                }
            });
        }
    }

    /// Crashes the upstreams that run a fatal request; each is replaced by another one after
    /// some time.
    pub fn run_crashes(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(7));
        let mut under_way = Vec::new();
        while let Some(name) = self.cluster.next_crash() {
            let downtime = Duration::from_millis(random.random_range(300..1800));
            let this = self.clone();
            under_way.push(std::thread::spawn(move || this.crash_upstream(&name, downtime)));
        }
        for ending in under_way {
            ending.join().expect("the thread that crashes an upstream panicked");
        }
    }

    fn crash_upstream(&self, name: &str, downtime: Duration) {
        let Some(upstream) = self.cluster.upstream(name) else { return };
        self.during(Scope::Upstreams, || {
            upstream.proxy.end();
            std::thread::sleep(downtime);
            if self.cluster.remove_present(name) {
                self.cluster.add(&upstream.service, upstream.zone, &upstream.records);
            }
            self.cluster.remove_entry(name);
        });
    }

    /// Injects a fault into a daemon's process, unless one is already under way there.
    fn on_process(&self, node: usize, scope: Scope, act: impl FnOnce(&Node)) {
        let target = &self.cluster.nodes[node];
        if target.busy.swap(true, Ordering::SeqCst) {
            return;
        }
        self.during(scope, || act(target));
        target.busy.store(false, Ordering::SeqCst);
    }

    fn on_link(&self, scope: Scope, proxy: &Proxy, link: LinkFault, time: Duration) {
        self.during(scope, || match link {
            LinkFault::Mode(mode) => {
                proxy.set(mode);
                std::thread::sleep(time);
                proxy.set(LinkMode::Pass);
            }
            LinkFault::Reset => proxy.reset(),
        });
    }

    pub(crate) fn during(&self, scope: Scope, act: impl FnOnce()) {
        let number = self.ledger.begin(scope);
        act();
        self.ledger.end(number);
    }

    /// Replaces an upstream by another one of its service. The old one leaves with an
    /// announcement if `announced`, otherwise at once.
    fn replace(&self, name: &str, announced: bool) {
        let Some(upstream) = self.cluster.upstream(name) else { return };
        // The upstream of a configuration version has no replica.
        if upstream.service.starts_with("version-") || !self.cluster.remove_present(name) {
            return;
        }
        self.cluster.add(&upstream.service, upstream.zone, &upstream.records);
        if announced {
            std::thread::sleep(Duration::from_millis(300));
            self.leave(&[name.to_owned()]);
        } else {
            upstream.proxy.set(LinkMode::Refuse);
            upstream.proxy.reset();
            self.cluster.remove_entry(name);
        }
    }

    fn leave(&self, names: &[String]) {
        for name in names {
            self.cluster.put_entry(name, "draining");
            self.ledger.observations().leaving.push(Leaving { id: name.clone(), at: Instant::now() });
        }
        std::thread::sleep(DRAIN_TIME);
        for name in names {
            self.cluster.remove_entry(name);
        }
    }

    fn reshard(&self, count: usize, time: Duration) {
        let next = self.cluster.make_shards(count);
        std::thread::sleep(time);
        let replaced = self.cluster.publish(Some(next), &self.ledger);
        // The old upstreams leave once the new version must be active everywhere.
        std::thread::sleep(Duration::from_secs(3));
        let is_replaced = |name: &String| {
            self.cluster.upstream(name).is_some_and(|upstream| replaced.contains(&upstream.service))
        };
        let leaving: Vec<String> = self.cluster.present().into_iter().filter(is_replaced).collect();
        let leaving: Vec<String> =
            leaving.into_iter().filter(|name| self.cluster.remove_present(name)).collect();
        self.leave(&leaving);
    }
}

/// Returns whether a seed keeps the store available outside of storms and drills: every second
/// seed does.
fn skips_store(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Returns whether a seed's storms leave the store alone: those of every fourth seed do, so that
/// properties that must hold within seconds of a write to the store can be checked at all times.
fn skips_silence(seed: u64) -> bool {
    seed.is_multiple_of(4)
}
