//! How sure a daemon is that nothing confirmed is missing.

use std::time::Duration;
use std::time::Instant;

use harefield::domain::freshness::Freshness;
use harefield::domain::freshness::shown_by_watch;

const WAIT: Duration = Duration::from_millis(1200);

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn proof_only_grows() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(start), None);
    assert!(freshness.prove(after(start, 500)));
    assert!(!freshness.prove(after(start, 400)), "an older proof is no news");
    assert_eq!(freshness.proven(), Some(after(start, 500)));
    assert_eq!(freshness.age(after(start, 700)), Some(Duration::from_millis(200)));
    assert_eq!(freshness.age(start), Some(Duration::ZERO), "a proof from a moment ahead");
}

#[test]
fn quiet_watch_shows_its_wait() {
    let start = Instant::now();
    assert_eq!(shown_by_watch(start, after(start, 1204), WAIT, true), after(start, 1200));
    assert_eq!(shown_by_watch(start, after(start, 300), WAIT, true), start, "it ended before its wait");
    assert_eq!(shown_by_watch(start, after(start, 1204), WAIT, false), start, "news may be old");
    // A process that stood still finds an answer that is as old as its pause.
    assert_eq!(shown_by_watch(start, after(start, 9000), WAIT, true), after(start, 1200));
}
