//! Since when the platform does not answer, and when it came back.

use std::time::Duration;
use std::time::Instant;

use crate::support::after;
use harefield::domain::reach::Reach;

const GRACE: Duration = Duration::from_millis(2200);

#[test]
fn away_until_answered() {
    let start = Instant::now();
    let mut reach = Reach::default();
    assert!(!reach.was_away(start, GRACE));
    assert!(reach.lose(start));
    assert!(!reach.lose(after(start, 1000)), "it was lost already");
    assert!(reach.was_away(after(start, 9000), GRACE));
    assert_eq!(reach.regain(after(start, 9000)), Some(Duration::from_secs(9)));
    assert_eq!(reach.regain(after(start, 9100)), None);
    assert!(reach.was_away(after(start, 11_100), GRACE));
    assert!(!reach.was_away(after(start, 11_200), GRACE));
}

#[test]
fn others_show_it_is_back() {
    // A daemon that reads only while nobody can stops when another one can, and would
    // take the platform for lost for good.
    let start = Instant::now();
    let mut reach = Reach::default();
    reach.lose(after(start, 1000));
    reach.vouch(after(start, 900), after(start, 1100));
    assert!(reach.was_away(after(start, 5000), GRACE), "what was known before says nothing");
    reach.vouch(after(start, 5500), after(start, 6000));
    assert!(reach.was_away(after(start, 8100), GRACE));
    assert!(!reach.was_away(after(start, 8200), GRACE));
    // One that is cut off alone says so once, and that it is back when it is.
    assert!(!reach.lose(after(start, 9000)), "it said so before");
    assert_eq!(reach.regain(after(start, 11_000)), Some(Duration::from_secs(10)));
}
