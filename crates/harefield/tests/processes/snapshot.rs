//! Every answer is drawn from a single snapshot while the index changes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::Fault;

use crate::support::World;
use crate::support::ask;
use harefield::domain::code::Code;
use harefield::domain::outcome::Answer;

/// Asserts that every result is from the snapshot that the answer names, if it names one.
fn assert_one_snapshot(answer: &Answer) {
    let Some(snapshot) = &answer.snapshot else {
        return;
    };
    for part in &answer.results {
        let reply: Value = serde_json::from_str(part.reply.get()).expect("it is JSON");
        assert_eq!(reply["version"].as_u64(), Some(snapshot.version));
    }
}

#[test]
fn index_moves() {
    let world = World::start(2, "");
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = world.daemons.iter().map(|d| d.addresses.callers).collect();
    let askers: Vec<_> = callers
        .into_iter()
        .map(|to| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut versions = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let answer = ask(to, "parcels", &json!({ "query": 1 })).expect("an answer");
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
        for name in world.searchers.names() {
            world.searchers.change(&name, |b| b.held.push(version));
            thread::sleep(Duration::from_millis(10));
        }
        let index = world.layout.index_at("parcels", &[version, version - 1]).expect("the index exists");
        let revision = world.publish("indexes/parcels", index);
        world.await_revision(revision);
        thread::sleep(Duration::from_millis(50));
        for name in world.searchers.names() {
            world.searchers.change(&name, |b| b.held.retain(|v| *v + 1 >= version));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for asker in askers {
        let versions = asker.join().expect("no answer mixes snapshots");
        assert_eq!(versions.last(), Some(&5));
    }
}

#[test]
fn published_early() {
    let world = World::start(1, "");
    let index = world.layout.index_at("parcels", &[2, 1]).expect("the index exists");
    let revision = world.publish("indexes/parcels", index);
    world.await_revision(revision);
    for _ in 0..5 {
        let answer = world.query(0);
        assert_one_snapshot(&answer);
        assert_eq!(answer.code, Code::Whole);
        assert_eq!(answer.snapshot.map(|s| s.version), Some(1), "no upstream holds the new snapshot yet");
    }
}

#[test]
fn wrong_version() {
    let world = World::start(1, "");
    world.searchers.change("parcels-00-0", |b| b.fault = Fault::WrongVersion);
    world.searchers.change("parcels-01-0", |b| b.fault = Fault::WrongVersion);
    for _ in 0..20 {
        let answer = world.query(0);
        assert_one_snapshot(&answer);
        assert_eq!(answer.code, Code::Whole, "the replica that holds the snapshot answers");
    }
}

#[test]
fn repartition() {
    let world = World::start(1, "");
    let halves = json!({ "team": "parcels", "shards": {
        "0": ["parcels-00-0", "parcels-00-1"],
        "0a": ["parcels-00-0", "parcels-00-1"], "0b": ["parcels-00-0", "parcels-00-1"],
    } });
    world.publish("services/parcels-00", halves);
    let index = json!({ "team": "parcels", "snapshots": [
        { "version": 1, "shards": { "parcels-00": ["0"], "parcels-01": ["0"], "parcels-02": ["0"] } },
        { "version": 2, "shards": { "parcels-00": ["0a", "0b"], "parcels-01": ["0"], "parcels-02": ["0"] } },
    ] });
    let revision = world.publish("indexes/parcels", index);
    world.await_revision(revision);
    assert_eq!(
        world.query(0).coverage.contributed.len(),
        3,
        "the old shards are used while no upstream holds the new ones"
    );
    world.searchers.change_all(|b| b.held = vec![1, 2]);
    crate::support::await_true("the new snapshot is used", || {
        let answer = world.query(0);
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
