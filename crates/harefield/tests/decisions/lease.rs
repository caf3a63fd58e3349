//! A worker that was paused sends no work until its facts are confirmed.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::cases;
use harefield::domain::lease::Lease;
use harefield::domain::lease::PAUSE_LIMIT;
use harefield::domain::lease::RENEW_EVERY;
use harefield::domain::lease::Renewal;

#[test]
fn held_while_renewed() {
    let mut now = Instant::now();
    let mut lease = Lease::new(now);
    for _ in 0..100 {
        now += RENEW_EVERY;
        assert_eq!(lease.renew(now), Renewal::Held);
        assert!(lease.held(now));
    }
}

#[test]
fn held_up_seen() {
    let start = Instant::now();
    let mut lease = Lease::new(start);
    let busy = Duration::from_millis(20);
    lease.renew(start + RENEW_EVERY + busy);
    assert_eq!(
        lease.queueing_delay(start + RENEW_EVERY + busy),
        Duration::ZERO,
        "a busy turn of the executor is no delay"
    );
    let renewed = start + RENEW_EVERY + busy;
    let held = Duration::from_millis(560);
    let woken = renewed + RENEW_EVERY + held;
    assert_eq!(lease.queueing_delay(woken), held, "before the timer fires");
    lease.renew(woken);
    assert_eq!(lease.queueing_delay(woken), held, "what it reads next has waited as long");
    lease.renew(woken + RENEW_EVERY);
    assert_eq!(lease.queueing_delay(woken + RENEW_EVERY), Duration::ZERO);
}

#[test]
fn lapsed_by_pause() {
    let start = Instant::now();
    let mut lease = Lease::new(start);
    let woken = start + PAUSE_LIMIT + Duration::from_millis(1);
    assert!(!lease.held(woken), "even before the timer fires");
    assert!(matches!(lease.renew(woken), Renewal::Lapsed(_)));
    assert!(!lease.held(woken), "renewing alone does not end a lapse");
    lease.confirm(woken, woken + Duration::from_millis(50));
    assert!(lease.held(woken + Duration::from_millis(50)));
}

#[test]
fn outdated_confirmation() {
    let start = Instant::now();
    let mut lease = Lease::new(start);
    let woken = start + PAUSE_LIMIT * 3;
    lease.renew(woken);
    lease.confirm(start, woken);
    assert!(!lease.held(woken), "it was requested before the pause");
}

proptest! {
    #![proptest_config(cases(400))]

    /// After any gap above the limit, the lease is held only once a confirmation succeeds that was
    /// requested after the gap.
    #[test]
    fn never_without_confirmation(steps in prop::collection::vec((0_u64..2500, any::<bool>()), 1..40)) {
        let mut now = Instant::now();
        let mut lease = Lease::new(now);
        let mut last = now;
        let mut good = true;
        for (millis, confirm) in steps {
            now += Duration::from_millis(millis);
            if now - last > PAUSE_LIMIT {
                good = false;
            }
            lease.renew(now);
            last = now;
            if confirm {
                lease.confirm(now, now);
                good = true;
            }
            prop_assert_eq!(lease.held(now), good);
        }
    }
}
