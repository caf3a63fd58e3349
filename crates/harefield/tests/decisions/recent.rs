//! The median of recent times.

use harefield::domain::recent::Recent;

#[test]
fn median_of_recent() {
    let millis = std::time::Duration::from_millis;
    let mut recent = Recent::default();
    assert_eq!(recent.median(), millis(0));
    for time in [2000, 2000, 8000, 2000, 500] {
        recent.take(millis(time));
    }
    assert_eq!(recent.median(), millis(2000), "a patient caller and a late try change nothing");
    for _ in 0..15 {
        recent.take(millis(3000));
    }
    assert_eq!(recent.median(), millis(3000));
}
