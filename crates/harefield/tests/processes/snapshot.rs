//! Every answer is drawn from a single snapshot while the index changes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::Fault;

use crate::support::Cluster;
use crate::support::send_lookup;
use harefield::domain::code::Code;
use harefield::domain::outcome::Answer;

/// Asserts that every result is from the snapshot that the answer names, if it names one.
fn assert_one_snapshot(answer: &Answer) {
    let Some(snapshot) = &answer.snapshot else {
        return;
    };
    for part in &answer.results {
        let reply: Value = serde_json::from_str(part.reply.get()).expect("the body is JSON");
        assert_eq!(reply["version"].as_u64(), Some(snapshot.version));
    }
}

#[test]
fn index_moves() {
    let cluster = Cluster::start(2, "");
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = cluster.daemons.iter().map(|d| d.addresses.callers).collect();
    let threads: Vec<_> = callers
        .into_iter()
        .map(|to| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut versions = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let answer = send_lookup(to, "parcels", &json!({ "query": 1 })).expect("an answer");
                    assert_one_snapshot(&answer);
                    assert_eq!(answer.code, Code::Whole, "{:?}", answer.coverage);
                    versions.extend(answer.snapshot.map(|snapshot| snapshot.version));
                }
                versions
            })
        })
        .collect();
    for version in 2..6_u64 {
        // The upstreams load the next version one by one, then it is published, then they drop
        // the version before the last one.
        for name in cluster.upstreams.names() {
            cluster.upstreams.change(&name, |b| b.held.push(version));
            thread::sleep(Duration::from_millis(10));
        }
        let index =
            cluster.layout.index_resource("parcels", &[version, version - 1]).expect("the index exists");
        let revision = cluster.publish("indexes/parcels", index);
        cluster.await_revision(revision);
        thread::sleep(Duration::from_millis(50));
        for name in cluster.upstreams.names() {
            cluster.upstreams.change(&name, |b| b.held.retain(|v| *v + 1 >= version));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let versions = thread.join().expect("no answer mixes snapshots");
        assert_eq!(versions.last(), Some(&5));
    }
}

#[test]
fn published_early() {
    let cluster = Cluster::start(1, "");
    let index = cluster.layout.index_resource("parcels", &[2, 1]).expect("the index exists");
    let revision = cluster.publish("indexes/parcels", index);
    cluster.await_revision(revision);
    for _ in 0..5 {
        let answer = cluster.query(0);
        assert_one_snapshot(&answer);
        assert_eq!(answer.code, Code::Whole);
        assert_eq!(answer.snapshot.map(|s| s.version), Some(1), "no upstream holds the new snapshot yet");
    }
}

#[test]
fn wrong_version() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change("parcels-00-0", |b| b.fault = Fault::WrongVersion);
    cluster.upstreams.change("parcels-01-0", |b| b.fault = Fault::WrongVersion);
    for _ in 0..20 {
        let answer = cluster.query(0);
        assert_one_snapshot(&answer);
        assert_eq!(answer.code, Code::Whole, "the replica that holds the snapshot answers");
    }
}

#[test]
fn repartition() {
    let cluster = Cluster::start(1, "");
    let halves = json!({ "team": "parcels", "shards": {
        "0": ["parcels-00-0", "parcels-00-1"],
        "0a": ["parcels-00-0", "parcels-00-1"], "0b": ["parcels-00-0", "parcels-00-1"],
    } });
    cluster.publish("services/parcels-00", halves);
    let index = json!({ "team": "parcels", "snapshots": [
        { "version": 1, "shards": { "parcels-00": ["0"], "parcels-01": ["0"], "parcels-02": ["0"] } },
        { "version": 2, "shards": { "parcels-00": ["0a", "0b"], "parcels-01": ["0"], "parcels-02": ["0"] } },
    ] });
    let revision = cluster.publish("indexes/parcels", index);
    cluster.await_revision(revision);
    assert_eq!(
        cluster.query(0).coverage.contributed.len(),
        3,
        "the old shards are used while no upstream holds the new ones"
    );
    cluster.upstreams.change_all(|b| b.held = vec![1, 2]);
    crate::support::await_true("the new snapshot is used", || {
        let answer = cluster.query(0);
        assert_one_snapshot(&answer);
        assert_eq!(answer.code, Code::Whole);
        let version = answer.snapshot.map(|s| s.version);
        let expected = if version == Some(2) { 4 } else { 3 };
        assert_eq!(
            answer.coverage.contributed.len(),
            expected,
            "the shards are those of the answer's snapshot"
        );
        version == Some(2)
    });
}
