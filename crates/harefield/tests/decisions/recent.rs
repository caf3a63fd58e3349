//! The typical value of recent durations.

use harefield::domain::recent::RecentTimes;

#[test]
fn typical_of_recent() {
    let millis = std::time::Duration::from_millis;
    let mut recent = RecentTimes::default();
    assert_eq!(recent.typical(), millis(0));
    for time in [2000, 2000, 8000, 2000, 500] {
        recent.record(millis(time));
    }
    assert_eq!(recent.typical(), millis(2000), "one longer and one shorter time change nothing");
    for _ in 0..15 {
        recent.record(millis(3000));
    }
    assert_eq!(recent.typical(), millis(3000));
}

#[test]
fn late_attempts_outnumber() {
    // After an outage two of three requests are late attempts.
    let millis = std::time::Duration::from_millis;
    let mut recent = RecentTimes::default();
    for number in 0..15 {
        recent.record(millis(if number % 3 == 0 { 3000 } else { 1400 + number }));
    }
    assert_eq!(recent.typical(), millis(3000));
}
