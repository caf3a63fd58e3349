//! The choice of the snapshot for an answer.

use std::sync::Arc;

use serde_json::json;

use crate::support::items;
use crate::support::set;
use crate::support::values;
use crate::support::view;
use harefield::domain::snapshot::choose;

#[test]
fn newest_chosen() {
    let view = view(&set(3, 2, &[1, 2]));
    let plans = &view.lookups["l"].plans;
    assert_eq!(choose(plans, |_, _| true).map(|plan| plan.version), Some(2));
}

#[test]
fn older_while_loading() {
    let view = view(&set(3, 2, &[1, 2]));
    let plans = &view.lookups["l"].plans;
    let loading = |upstream: &Arc<str>, version| version == 1 || !upstream.starts_with("u2");
    assert_eq!(choose(plans, loading).map(|plan| plan.version), Some(1));
}

#[test]
fn best_coverage_chosen() {
    let view = view(&set(3, 2, &[1, 2]));
    let plans = &view.lookups["l"].plans;
    let partly_usable = |upstream: &Arc<str>, version| match version {
        1 => upstream.starts_with("u0"),
        _ => !upstream.starts_with("u0"),
    };
    assert_eq!(choose(plans, partly_usable).map(|plan| plan.version), Some(2));
}

#[test]
fn shards_of_snapshot() {
    let mut all = values(3, 2, &[1]);
    let snapshots = json!({ "snapshots": [
        { "version": 1, "shards": { "s": ["000", "001"] } },
        { "version": 2, "shards": { "s": ["000", "002"] } },
    ] });
    all.insert("indexes/i".to_owned(), snapshots);
    let set = harefield::domain::resources::ResourceSet::parse(&items(all)).expect("it is valid");
    let view = view(&Arc::new(set));
    let plans = &view.lookups["l"].plans;
    let names = |at: usize| plans[at].shards.iter().map(|s| s.shard.to_string()).collect::<Vec<_>>();
    assert_eq!(names(0), ["s/000", "s/002"], "the newest first, with its own shards");
    assert_eq!(names(1), ["s/000", "s/001"]);
}

#[test]
fn service_not_in_snapshot() {
    let mut all = values(1, 1, &[1]);
    all.insert("services/t".to_owned(), json!({ "shards": { "0": ["u0-0"] } }));
    let snapshots = json!({ "snapshots": [
        { "version": 1, "shards": { "s": ["000"], "t": ["0"] } },
        { "version": 2, "shards": { "s": ["000"] } },
    ] });
    all.insert("indexes/i".to_owned(), snapshots);
    let lookup = json!({
        "index": "i", "services": ["s", "t"], "urgency": "urgent", "deadline-ms": 100,
        "repeatable": true, "prefer": "time",
    });
    all.insert("lookups/l".to_owned(), lookup);
    let set = harefield::domain::resources::ResourceSet::parse(&items(all)).expect("it is valid");
    let view = view(&Arc::new(set));
    let versions: Vec<u64> = view.lookups["l"].plans.iter().map(|plan| plan.version).collect();
    assert_eq!(versions, [1], "a snapshot without a requested service cannot be used");
}
