//! Reported coverage with stragglers, lost replicas and moved shards.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standin::Fault;

use crate::support::World;
use harefield::domain::code::Code;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::revision::Revision;

#[test]
fn whole_answer() {
    let world = World::start(3, "");
    for daemon in 0..3 {
        let answer = world.query(daemon);
        assert_eq!(answer.code, Code::Whole);
        assert_eq!(answer.coverage.contributed.len(), 3);
        assert_eq!(answer.results.len(), 3);
        let snapshot = answer.snapshot.expect("the answer names its snapshot");
        assert_eq!((snapshot.index.as_str(), snapshot.version), ("parcels", 1));
    }
}

#[test]
fn frozen_shard() {
    let world = World::start(1, "");
    world.change_service("parcels-01", |b| b.frozen = true);
    let answer = world.query(0);
    assert_eq!(answer.code, Code::Partial);
    let names: Vec<&str> = answer.coverage.contributed.iter().map(|s| &**s).collect();
    assert_eq!(names, ["parcels-00/0", "parcels-02/0"]);
    assert_eq!(&*answer.coverage.missing[0].shard, "parcels-01/0");
    assert_eq!(answer.coverage.missing[0].why, Gap::Late);
    assert!(answer.coverage.missing[0].ran);
}

#[test]
fn one_replica_lost() {
    let world = World::start(1, "");
    world.searchers.change("parcels-01-0", |b| b.fault = Fault::Lose);
    for _ in 0..20 {
        assert_eq!(world.query(0).code, Code::Whole, "the other replica is retried");
    }
}

#[test]
fn straggler_hedged() {
    let world = World::start(1, "");
    for _ in 0..30 {
        world.query(0);
    }
    for name in ["parcels-00-0", "parcels-01-0", "parcels-02-0"] {
        world.searchers.change(name, |b| b.frozen = true);
    }
    let begun = Instant::now();
    let answer = world.query(0);
    assert_eq!(answer.code, Code::Whole);
    assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
}

#[test]
fn moved_shard() {
    let world = World::start(1, "");
    world.change_service("parcels-02", |b| b.shards = vec!["parcels-02/9".to_owned()]);
    let answer = world.query(0);
    assert_eq!(answer.code, Code::Partial);
    assert_eq!(answer.coverage.missing[0].why, Gap::ShardMoved);
    assert!(!answer.coverage.missing[0].ran, "the rejection says that the request had not begun");
}

#[test]
fn moved_shard_fails_fast() {
    let world = World::start(1, "");
    world.change_service("parcels-02", |b| b.shards = vec!["parcels-02/9".to_owned()]);
    let begun = Instant::now();
    world.query(0);
    assert!(begun.elapsed() < Duration::from_millis(700), "the answer does not wait for the deadline");
}

#[test]
fn missing_reasons() {
    for (fault, why) in [
        (Fault::Lose, Gap::ReplyLost),
        (Fault::Truncate, Gap::ReplyLost),
        (Fault::Garbage, Gap::Failed),
        (Fault::RefuseBegun, Gap::Failed),
    ] {
        let world = World::start(1, "[routing]\nhedge = false\n");
        world.publish("lookups/brief", json!({
            "index": "parcels", "urgency": "urgent", "deadline-ms": 2000, "repeatable": true, "prefer": "coverage",
        }));
        world.await_revision(Revision::first(2));
        world.change_service("parcels-01", |b| b.fault = fault);
        let answer = world.ask(0, "brief", &json!({ "query": 1 }));
        assert_eq!(answer.outcome, Outcome::Answered);
        let missing = &answer.coverage.missing[0];
        assert!(missing.ran, "{fault:?}: the request ran");
        assert!([why, Gap::Unreachable].contains(&missing.why), "{fault:?}: {:?}", missing.why);
    }
}
