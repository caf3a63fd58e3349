//! Proof of freshness: until when a daemon is certain that nothing confirmed is missing.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::after;
use crate::support::cases;
use harefield::domain::freshness::Freshness;
use harefield::domain::freshness::FreshnessSchedule;
use harefield::domain::freshness::proven_by_watch;

const WAIT: Duration = Duration::from_millis(1200);

#[test]
fn proof_only_grows() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(start), None);
    assert!(freshness.record_proof(after(start, 500)));
    assert!(!freshness.record_proof(after(start, 400)), "an older proof changes nothing");
    assert_eq!(freshness.proven(), Some(after(start, 500)));
    assert_eq!(freshness.age(after(start, 700)), Some(Duration::from_millis(200)));
    assert_eq!(freshness.age(start), Some(Duration::ZERO), "the proof is in the future");
}

#[test]
fn renewal_counts_from_sent_proof() {
    // Guards against a proof that is too little newer to be passed on, and postpones the next one.
    let (start, step) = (Instant::now(), Duration::from_millis(600));
    let now = after(start, 2200);
    let mut freshness = Freshness::default();
    assert_eq!(freshness.renewal_age(step, now), None);
    freshness.record_proof(start);
    assert_eq!(freshness.renewal_age(step, now), Some(Duration::from_millis(2200)), "nothing was sent");
    freshness.record_sent();
    freshness.record_proof(after(start, 550));
    assert_eq!(freshness.renewal_age(step, now), Some(Duration::from_millis(2200)), "others have less");
    freshness.record_proof(after(start, 700));
    assert_eq!(freshness.renewal_age(step, now), Some(Duration::from_millis(1500)), "it is passed on");
}

#[test]
fn unchanged_watch_proves_wait() {
    let start = Instant::now();
    assert_eq!(proven_by_watch(start, after(start, 1204), WAIT, true), after(start, 1200));
    assert_eq!(proven_by_watch(start, after(start, 300), WAIT, true), start, "it ended before its wait");
    assert_eq!(proven_by_watch(start, after(start, 1204), WAIT, false), start, "updates may be old");
    // A process that was paused finds an answer that is as old as the pause.
    assert_eq!(proven_by_watch(start, after(start, 9000), WAIT, true), after(start, 1200));
}

/// The longest duration of a round of queries.
const ROUND: Duration = Duration::from_millis(400);

/// How long after a pull the next one begins.
const PULL_INTERVAL: Duration = Duration::from_millis(300);

#[test]
fn two_rounds_in_time() {
    // The users' deployments require 3 to 6 s, and the target size 9 s.
    for deadline in [3, 5, 6, 9].map(Duration::from_secs) {
        let schedule = FreshnessSchedule::new(deadline);
        let first_lost = schedule.overdue_age() + ROUND + schedule.retry_pause(0);
        assert!(first_lost + ROUND + PULL_INTERVAL <= deadline, "{deadline:?}");
        // After an outage of any length: a round that just failed, one that is lost, and one that
        // succeeds.
        let after_outage = (ROUND + schedule.retry_pause(9)) * 2 + ROUND + PULL_INTERVAL;
        assert!(after_outage <= deadline, "{deadline:?}");
    }
}

proptest! {
    #![proptest_config(cases(200))]

    /// As long as every watch is answered, with whatever result, no proof is ever overdue.
    #[test]
    fn watches_keep_fresh(ends in prop::collection::vec((0_u64..1200, 0_u64..60), 1..60)) {
        const BATCH: Duration = Duration::from_millis(300);
        let start = Instant::now();
        let schedule = FreshnessSchedule::new(Duration::from_secs(3));
        let mut freshness = Freshness::default();
        let mut now = start;
        freshness.record_proof(now);
        for (news, transit) in ends {
            let (requested, transit) = (now, Duration::from_millis(transit));
            let wait = schedule.watch_wait(freshness.age(now));
            let unchanged = Duration::from_millis(news) >= wait;
            now = requested + wait.min(Duration::from_millis(news)) + transit;
            prop_assert!(freshness.age(now) < Some(schedule.overdue_age()), "{:?}", freshness.age(now));
            freshness.record_proof(proven_by_watch(requested, now, wait, unchanged));
            if !unchanged {
                now += schedule.batch_time(freshness.age(now), BATCH);
            }
        }
    }
}
