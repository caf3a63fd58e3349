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

use crate::support::Cluster;
use crate::support::send_lookup;
use harefield::domain::code::Code;

/// The time after which a leaving upstream may receive no new requests; the requirement says
/// "a few seconds".
const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Threads that send lookups to every daemon until they are stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn start(cluster: &Cluster) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = cluster.daemons.iter().map(|daemon| {
            let (to, stop) = (daemon.addresses.callers, Arc::clone(&stop));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    drop(send_lookup(to, "parcels", &json!({ "query": 1 })));
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the caller does not panic");
        }
    }
}

/// Asserts that an upstream receives no request after the grace period.
fn assert_no_requests(cluster: &Cluster, name: &str, since: Instant) {
    thread::sleep(GRACE_PERIOD.saturating_sub(since.elapsed()));
    let received = cluster.upstreams.tally_of(name).taken;
    thread::sleep(Duration::from_millis(700));
    assert_eq!(cluster.upstreams.tally_of(name).taken, received, "new requests for {name}");
}

#[test]
fn listed_leaving() {
    let cluster = Cluster::start(3, "");
    let traffic = Traffic::start(&cluster);
    let start = Instant::now();
    cluster.list_upstream("parcels-00-0", "leaving");
    assert_no_requests(&cluster, "parcels-00-0", start);
    assert!(cluster.upstreams.tally_of("parcels-00-1").taken > 0);
    traffic.end();
}

#[test]
fn own_word() {
    // The host list still has it as live, and the platform is down. The upstream's own
    // announcement is enough, and gossip passes it to daemons that did not receive it directly.
    let cluster = Cluster::start(3, "");
    cluster.platform.set_down(0, true);
    let traffic = Traffic::start(&cluster);
    let start = Instant::now();
    cluster.upstreams.change("parcels-01-0", |b| b.draining = true);
    assert_no_requests(&cluster, "parcels-01-0", start);
    traffic.end();
    assert_eq!(cluster.query(0).code, Code::Whole);
}

#[test]
fn removed_resource() {
    let cluster = Cluster::start(2, "");
    let traffic = Traffic::start(&cluster);
    let start = Instant::now();
    let alone = json!({ "team": "parcels", "shards": { "0": ["parcels-02-1"] } });
    cluster
        .platform
        .publish("config", vec![("services/parcels-02", Some(alone)), ("upstreams/parcels-02-0", None)]);
    assert_no_requests(&cluster, "parcels-02-0", start);
    traffic.end();
    assert_eq!(cluster.query(1).code, Code::Whole);
}

#[test]
fn frozen_through_change() {
    let cluster = Cluster::start(3, "");
    cluster.query(0);
    cluster.daemons[0].signal("STOP");
    cluster.list_upstream("parcels-00-0", "leaving");
    thread::sleep(GRACE_PERIOD);
    let received = cluster.upstreams.tally_of("parcels-00-0").taken;
    // Requests wait in the daemon's socket when it resumes.
    let to = cluster.daemons[0].addresses.callers;
    let threads: Vec<_> =
        (0..8).map(|_| thread::spawn(move || send_lookup(to, "parcels", &json!({ "query": 1 })))).collect();
    thread::sleep(Duration::from_millis(100));
    cluster.daemons[0].signal("CONT");
    for thread in threads {
        thread.join().expect("the thread does not panic").expect("an answer");
    }
    for _ in 0..20 {
        cluster.query(0);
    }
    assert_eq!(
        cluster.upstreams.tally_of("parcels-00-0").taken,
        received,
        "the resumed daemon used its old host list"
    );
}

#[test]
fn hedges_and_retries() {
    let cluster = Cluster::start(1, "");
    for _ in 0..20 {
        cluster.query(0);
    }
    cluster.list_upstream("parcels-00-0", "leaving");
    let start = Instant::now();
    // The only replica left is slow, then loses replies. Neither a hedge nor a retry may go to
    // the leaving replica.
    cluster.upstreams.change("parcels-00-1", |b| b.service_ms = 100.0);
    thread::sleep(GRACE_PERIOD.saturating_sub(start.elapsed()));
    let received = cluster.upstreams.tally_of("parcels-00-0").taken;
    for _ in 0..5 {
        cluster.query(0);
    }
    cluster.upstreams.change("parcels-00-1", |b| b.fault = Fault::Lose);
    for _ in 0..5 {
        cluster.query(0);
    }
    assert_eq!(cluster.upstreams.tally_of("parcels-00-0").taken, received);
}

#[test]
fn comes_back() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change("parcels-00-0", |b| b.draining = true);
    for _ in 0..30 {
        cluster.query(0);
    }
    let revision = cluster.list_upstream("parcels-00-0", "leaving");
    cluster.await_hosts(revision);
    // A new upstream replaces it under the same name, at another address.
    cluster.upstreams.change("parcels-00-0", |b| b.draining = false);
    let address = cluster.upstreams.address("parcels-01-0");
    let moved = json!({ "address": address, "zone": "hall-1a", "slots": 2, "connections": 25 });
    let revision = cluster.publish("upstreams/parcels-00-0", moved);
    cluster.await_revision(revision);
    let before = cluster.upstreams.tally_of("parcels-01-0").taken;
    for _ in 0..30 {
        assert_eq!(cluster.query(0).code, Code::Whole);
    }
    assert!(cluster.upstreams.tally_of("parcels-01-0").taken > before + 5);
}
