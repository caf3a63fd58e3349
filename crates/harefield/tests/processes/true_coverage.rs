//! Reported coverage with stragglers, lost replicas and moved shards.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standin::Fault;

use crate::support::Cluster;
use harefield::domain::code::Code;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::revision::Revision;

#[test]
fn whole_answer() {
    let cluster = Cluster::start(3, "");
    for daemon in 0..3 {
        let answer = cluster.query(daemon);
        assert_eq!(answer.code, Code::Whole);
        assert_eq!(answer.coverage.contributed.len(), 3);
        assert_eq!(answer.results.len(), 3);
        let snapshot = answer.snapshot.expect("the answer names its snapshot");
        assert_eq!((snapshot.index.as_str(), snapshot.version), ("parcels", 1));
    }
}

#[test]
fn frozen_shard() {
    let cluster = Cluster::start(1, "");
    cluster.change_service("parcels-01", |b| b.frozen = true);
    let answer = cluster.query(0);
    assert_eq!(answer.code, Code::Partial);
    let names: Vec<&str> = answer.coverage.contributed.iter().map(|s| &**s).collect();
    assert_eq!(names, ["parcels-00/0", "parcels-02/0"]);
    assert_eq!(&*answer.coverage.missing[0].shard, "parcels-01/0");
    assert_eq!(answer.coverage.missing[0].why, Gap::Late);
    assert!(answer.coverage.missing[0].ran);
}

#[test]
fn one_replica_lost() {
    let cluster = Cluster::start(1, "");
    cluster.upstreams.change("parcels-01-0", |b| b.fault = Fault::Lose);
    for _ in 0..20 {
        assert_eq!(cluster.query(0).code, Code::Whole, "the other replica is retried");
    }
}

#[test]
fn straggler_hedged() {
    let cluster = Cluster::start(1, "");
    for _ in 0..30 {
        cluster.query(0);
    }
    for name in ["parcels-00-0", "parcels-01-0", "parcels-02-0"] {
        cluster.upstreams.change(name, |b| b.frozen = true);
    }
    let start = Instant::now();
    let answer = cluster.query(0);
    assert_eq!(answer.code, Code::Whole);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
}

#[test]
fn moved_shard() {
    let cluster = Cluster::start(1, "");
    cluster.change_service("parcels-02", |b| b.shards = vec!["parcels-02/9".to_owned()]);
    let answer = cluster.query(0);
    assert_eq!(answer.code, Code::Partial);
    assert_eq!(answer.coverage.missing[0].why, Gap::ShardMoved);
    assert!(!answer.coverage.missing[0].ran, "the rejection says that the request had not begun");
}

#[test]
fn moved_shard_fails_fast() {
    let cluster = Cluster::start(1, "");
    cluster.change_service("parcels-02", |b| b.shards = vec!["parcels-02/9".to_owned()]);
    let start = Instant::now();
    cluster.query(0);
    assert!(start.elapsed() < Duration::from_millis(700), "the answer does not wait for the deadline");
}

#[test]
fn reasons_true() {
    for (fault, why) in [
        (Fault::Lose, Gap::ReplyLost),
        (Fault::Truncate, Gap::ReplyLost),
        (Fault::Garbage, Gap::Failed),
        (Fault::RefuseBegun, Gap::Failed),
    ] {
        let cluster = Cluster::start(1, "[routing]\nhedge = false\n");
        cluster.publish("lookups/brief", json!({
            "index": "parcels", "urgency": "urgent", "deadline-ms": 2000, "repeatable": true, "prefer": "coverage",
        }));
        cluster.await_revision(Revision::first(2));
        cluster.change_service("parcels-01", |b| b.fault = fault);
        let answer = cluster.lookup(0, "brief", &json!({ "query": 1 }));
        assert_eq!(answer.outcome, Outcome::Answered);
        let missing = &answer.coverage.missing[0];
        assert!(missing.ran, "{fault:?}: the request ran");
        assert!([why, Gap::Unreachable].contains(&missing.why), "{fault:?}: {:?}", missing.why);
    }
}
