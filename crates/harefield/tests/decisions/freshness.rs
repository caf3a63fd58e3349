//! How sure a daemon is that nothing confirmed is missing.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::after;
use crate::support::cases;
use harefield::domain::freshness::Freshness;
use harefield::domain::freshness::Pace;
use harefield::domain::freshness::shown_by_watch;

const WAIT: Duration = Duration::from_millis(1200);

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

/// How long a round of asking may take.
const ROUND: Duration = Duration::from_millis(400);

/// How long after a pull the next one begins.
const PULL_TURN: Duration = Duration::from_millis(300);

#[test]
fn two_rounds_in_time() {
    // The users' deployments give 3 to 6 s, the target size 9 s.
    for apply in [3, 5, 6, 9].map(Duration::from_secs) {
        let pace = Pace::new(apply);
        let first_lost = pace.overdue() + ROUND + pace.again(0);
        assert!(first_lost + ROUND + PULL_TURN <= apply, "{apply:?}");
        // After an outage, however long: a round that just failed, one lost, one that brings it.
        let after_outage = (ROUND + pace.again(9)) * 2 + ROUND + PULL_TURN;
        assert!(after_outage <= apply, "{apply:?}");
    }
}

proptest! {
    #![proptest_config(cases(200))]

    /// Where every watch is answered, whatever it brings, nothing is ever overdue.
    #[test]
    fn watches_keep_fresh(ends in prop::collection::vec((0_u64..1200, 0_u64..60), 1..60)) {
        const FOLD: Duration = Duration::from_millis(300);
        let start = Instant::now();
        let pace = Pace::new(Duration::from_secs(3));
        let mut freshness = Freshness::default();
        let mut now = start;
        freshness.prove(now);
        for (news, way) in ends {
            let (asked, way) = (now, Duration::from_millis(way));
            let wait = pace.wait(freshness.age(now));
            let quiet = Duration::from_millis(news) >= wait;
            now = asked + wait.min(Duration::from_millis(news)) + way;
            prop_assert!(freshness.age(now) < Some(pace.overdue()), "{:?}", freshness.age(now));
            freshness.prove(shown_by_watch(asked, now, wait, quiet));
            if !quiet {
                now += pace.fold(freshness.age(now), FOLD);
            }
        }
    }
}
