//! A leaving upstream receives no new requests after a few seconds.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standin::Fault;

use crate::support::World;
use crate::support::ask;
use harefield::domain::code::Code;

/// The time after which a leaving upstream may receive no new requests; the requirement says
/// "a few seconds".
const FEW_SECONDS: Duration = Duration::from_secs(3);

/// Threads that send lookups to every daemon until they are stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    askers: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn start(world: &World) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let askers = world.daemons.iter().map(|daemon| {
            let (to, stop) = (daemon.addresses.callers, Arc::clone(&stop));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    drop(ask(to, "parcels", &json!({ "query": 1 })));
                }
            })
        });
        let askers = askers.collect();
        Self { stop, askers }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for asker in self.askers {
            asker.join().expect("the caller does not panic");
        }
    }
}

/// Asserts that an upstream receives no request after the grace period.
fn assert_left_alone(world: &World, name: &str, since: Instant) {
    thread::sleep(FEW_SECONDS.saturating_sub(since.elapsed()));
    let taken = world.searchers.tally_of(name).taken;
    thread::sleep(Duration::from_millis(700));
    assert_eq!(world.searchers.tally_of(name).taken, taken, "new requests for {name}");
}

#[test]
fn listed_leaving() {
    let world = World::start(3, "");
    let traffic = Traffic::start(&world);
    let begun = Instant::now();
    world.list_searcher("parcels-00-0", "leaving");
    assert_left_alone(&world, "parcels-00-0", begun);
    assert!(world.searchers.tally_of("parcels-00-1").taken > 0);
    traffic.end();
}

#[test]
fn announced_leaving() {
    // The host list still has it as live, and the platform is down. The upstream's own
    // announcement is enough, and gossip passes it to daemons that did not receive it directly.
    let world = World::start(3, "");
    world.platform.set_down(0, true);
    let traffic = Traffic::start(&world);
    let begun = Instant::now();
    world.searchers.change("parcels-01-0", |b| b.draining = true);
    assert_left_alone(&world, "parcels-01-0", begun);
    traffic.end();
    assert_eq!(world.query(0).code, Code::Whole);
}

#[test]
fn removed_resource() {
    let world = World::start(2, "");
    let traffic = Traffic::start(&world);
    let begun = Instant::now();
    let alone = json!({ "team": "parcels", "shards": { "0": ["parcels-02-1"] } });
    world
        .platform
        .publish("config", vec![("services/parcels-02", Some(alone)), ("upstreams/parcels-02-0", None)]);
    assert_left_alone(&world, "parcels-02-0", begun);
    traffic.end();
    assert_eq!(world.query(1).code, Code::Whole);
}

#[test]
fn frozen_through_change() {
    let world = World::start(3, "");
    world.query(0);
    world.daemons[0].signal("STOP");
    world.list_searcher("parcels-00-0", "leaving");
    thread::sleep(FEW_SECONDS);
    let taken = world.searchers.tally_of("parcels-00-0").taken;
    // Requests wait in the daemon's socket when it resumes.
    let to = world.daemons[0].addresses.callers;
    let askers: Vec<_> =
        (0..8).map(|_| thread::spawn(move || ask(to, "parcels", &json!({ "query": 1 })))).collect();
    thread::sleep(Duration::from_millis(100));
    world.daemons[0].signal("CONT");
    for asker in askers {
        asker.join().expect("no panic").expect("an answer");
    }
    for _ in 0..20 {
        world.query(0);
    }
    assert_eq!(
        world.searchers.tally_of("parcels-00-0").taken,
        taken,
        "the resumed daemon used its old host list"
    );
}

#[test]
fn hedges_and_retries() {
    let world = World::start(1, "");
    for _ in 0..20 {
        world.query(0);
    }
    world.list_searcher("parcels-00-0", "leaving");
    let begun = Instant::now();
    // The only replica left is slow, then loses replies. Neither a hedge nor a retry may go to
    // the leaving replica.
    world.searchers.change("parcels-00-1", |b| b.service_ms = 100.0);
    thread::sleep(FEW_SECONDS.saturating_sub(begun.elapsed()));
    let taken = world.searchers.tally_of("parcels-00-0").taken;
    for _ in 0..5 {
        world.query(0);
    }
    world.searchers.change("parcels-00-1", |b| b.fault = Fault::Lose);
    for _ in 0..5 {
        world.query(0);
    }
    assert_eq!(world.searchers.tally_of("parcels-00-0").taken, taken);
}

#[test]
fn comes_back() {
    let world = World::start(1, "");
    world.searchers.change("parcels-00-0", |b| b.draining = true);
    for _ in 0..30 {
        world.query(0);
    }
    let revision = world.list_searcher("parcels-00-0", "leaving");
    world.await_hosts(revision);
    // A new upstream replaces it under the same name, at another address.
    world.searchers.change("parcels-00-0", |b| b.draining = false);
    let address = world.searchers.address("parcels-01-0");
    let moved = json!({ "address": address, "zone": "hall-1a", "slots": 2, "connections": 25 });
    let revision = world.publish("upstreams/parcels-00-0", moved);
    world.await_revision(revision);
    let before = world.searchers.tally_of("parcels-01-0").taken;
    for _ in 0..30 {
        assert_eq!(world.query(0).code, Code::Whole);
    }
    assert!(world.searchers.tally_of("parcels-01-0").taken > before + 5);
}
