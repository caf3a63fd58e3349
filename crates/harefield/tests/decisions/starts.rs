//! An upstream that starts again under its name: what was learnt of the former start is
//! forgotten.

use std::sync::Arc;
use std::time::Instant;

use crate::support::at;
use harefield::domain::resources::Upstream;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Report;
use harefield::domain::routing::UpstreamState;

const SHARE: u32 = 4;

fn spec(born: Option<u64>, port: u16) -> Arc<Upstream> {
    Arc::new(Upstream {
        address: ([127, 0, 0, 1], port).into(),
        zone: "z".into(),
        slots: 2,
        connections: 10,
        connect_ms: 0,
        holds: Vec::new(),
        leaving: false,
        born,
        cold_ms: 0,
    })
}

/// Returns an upstream that failed a few times in a row.
fn failed(spec: &Arc<Upstream>, now: Instant) -> UpstreamState {
    let mut searcher = UpstreamState::new(Arc::clone(spec), 1, SHARE);
    for millis in 0..6 {
        let start = at(now, millis);
        searcher.begin(start);
        searcher.end(start, AttemptOutcome::Failed, &Report::default(), start);
    }
    searcher
}

#[test]
fn new_start_is_asked() {
    let now = Instant::now();
    for (before, after) in [(Some(1), Some(2)), (Some(2), Some(1)), (None, Some(1))] {
        let mut searcher = failed(&spec(before, 80), now);
        assert!(searcher.is_backed_off(at(now, 10)));
        searcher.update(&spec(before, 80), SHARE, now);
        assert!(searcher.is_backed_off(at(now, 10)), "its entry was written again");
        searcher.update(&spec(after, 80), SHARE, now);
        assert!(!searcher.is_backed_off(at(now, 10)), "{before:?} to {after:?}");
    }
}

#[test]
fn former_start_says_nothing() {
    // What was under way at the former start ends later, and tells nothing of the new one.
    let now = Instant::now();
    let mut searcher = UpstreamState::new(spec(Some(1), 80), 1, SHARE);
    for _ in 0..6 {
        searcher.begin(now);
    }
    searcher.update(&spec(Some(2), 80), SHARE, now);
    assert_eq!(searcher.in_flight(), 0);
    for _ in 0..6 {
        searcher.end(now, AttemptOutcome::Failed, &Report::default(), at(now, 5));
    }
    assert!(!searcher.is_backed_off(at(now, 10)));
}
