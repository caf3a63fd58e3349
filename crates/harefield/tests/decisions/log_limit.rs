//! How often something is logged.

use std::time::Duration;
use std::time::Instant;

use harefield::adapters::log_limit::LogLimit;

#[test]
fn omitted_counted() {
    let (start, interval) = (Instant::now(), Duration::from_secs(10));
    let mut limit = LogLimit::new(2, interval);
    let admitted: Vec<_> = (0..5).map(|second| limit.admit(start + Duration::from_secs(second))).collect();
    assert_eq!(admitted, [Some(0), Some(0), None, None, None]);
    let later = start + interval;
    assert_eq!([limit.admit(later), limit.admit(later), limit.admit(later)], [Some(3), Some(0), None]);
}
