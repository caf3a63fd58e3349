//! What is usual among recent times.

use harefield::domain::recent::Recent;

#[test]
fn usual_of_recent() {
    let millis = std::time::Duration::from_millis;
    let mut recent = Recent::default();
    assert_eq!(recent.usual(), millis(0));
    for time in [2000, 2000, 8000, 2000, 500] {
        recent.take(millis(time));
    }
    assert_eq!(recent.usual(), millis(2000), "a patient caller and a late try change nothing");
    for _ in 0..15 {
        recent.take(millis(3000));
    }
    assert_eq!(recent.usual(), millis(3000));
}

#[test]
fn late_tries_outnumber() {
    // After an outage two of three requests are late tries.
    let millis = std::time::Duration::from_millis;
    let mut recent = Recent::default();
    for number in 0..15 {
        recent.take(millis(if number % 3 == 0 { 3000 } else { 1400 + number }));
    }
    assert_eq!(recent.usual(), millis(3000));
}
