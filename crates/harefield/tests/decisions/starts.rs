//! An upstream that restarts under its name: the state of its former incarnation is dropped.

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

/// Returns the state of an upstream that failed several times in a row.
fn failed(spec: &Arc<Upstream>, now: Instant) -> UpstreamState {
    let mut upstream = UpstreamState::new(Arc::clone(spec), 1, SHARE);
    for millis in 0..6 {
        let start = at(now, millis);
        upstream.begin(start);
        upstream.end(start, AttemptOutcome::Failed, &Report::default(), start);
    }
    upstream
}

#[test]
fn new_start_is_asked() {
    let now = Instant::now();
    for (before, after) in [(Some(1), Some(2)), (Some(2), Some(1)), (None, Some(1))] {
        let mut upstream = failed(&spec(before, 80), now);
        assert!(upstream.is_backed_off(at(now, 10)));
        upstream.update(&spec(before, 80), SHARE, now);
        assert!(
            upstream.is_backed_off(at(now, 10)),
            "the same incarnation stays backed off when its entry is written again"
        );
        upstream.update(&spec(after, 80), SHARE, now);
        assert!(!upstream.is_backed_off(at(now, 10)), "{before:?} to {after:?}");
    }
}

#[test]
fn former_start_says_nothing() {
    // Requests to the former incarnation end after the restart. They must not back off the
    // new one.
    let now = Instant::now();
    let mut upstream = UpstreamState::new(spec(Some(1), 80), 1, SHARE);
    for _ in 0..6 {
        upstream.begin(now);
    }
    upstream.update(&spec(Some(2), 80), SHARE, now);
    assert_eq!(upstream.in_flight(), 0);
    for _ in 0..6 {
        upstream.end(now, AttemptOutcome::Failed, &Report::default(), at(now, 5));
    }
    assert!(!upstream.is_backed_off(at(now, 10)));
}
