//! Since when the platform is unreachable, and when it became reachable again.

use std::time::Duration;
use std::time::Instant;

use crate::support::after;
use harefield::domain::reach::Reachability;

const GRACE: Duration = Duration::from_millis(2200);

#[test]
fn unreachable_until_answered() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    assert!(!reach.was_unreachable(start, GRACE));
    assert!(reach.record_failure(start));
    assert!(!reach.record_failure(after(start, 1000)), "the call before had failed too");
    assert!(reach.was_unreachable(after(start, 9000), GRACE));
    assert_eq!(reach.record_answer(after(start, 9000)), Some(Duration::from_secs(9)));
    assert_eq!(reach.record_answer(after(start, 9100)), None);
    assert!(reach.was_unreachable(after(start, 11_100), GRACE));
    assert!(!reach.was_unreachable(after(start, 11_200), GRACE));
}

#[test]
fn others_show_it_is_back() {
    // A daemon that reads the platform only while nobody else can stops reading when another daemon
    // can. Without that daemon's proof it would consider the platform unreachable forever.
    let start = Instant::now();
    let mut reach = Reachability::default();
    reach.record_failure(after(start, 1000));
    reach.record_proof(after(start, 900), after(start, 1100));
    assert!(
        reach.was_unreachable(after(start, 5000), GRACE),
        "a proof from before the failure does not count"
    );
    reach.record_proof(after(start, 5500), after(start, 6000));
    assert!(reach.was_unreachable(after(start, 8100), GRACE));
    assert!(!reach.was_unreachable(after(start, 8200), GRACE));
    // A daemon whose own calls fail reports it once, and reports when they succeed again.
    assert!(!reach.record_failure(after(start, 9000)), "the failure was reported before");
    assert_eq!(reach.record_answer(after(start, 11_000)), Some(Duration::from_secs(10)));
}
