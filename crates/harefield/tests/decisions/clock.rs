//! The system clock, also across a suspension of the host.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use harefield::adapters::clock::SystemClock;
use harefield::adapters::clock::sleep_by;
use harefield::domain::lease::Lease;
use harefield::domain::lease::PAUSE_LIMIT;
use harefield::domain::lease::Renewal;
use harefield::ports::Clock;

#[test]
fn runs_with_monotonic_clock() {
    let clock = SystemClock;
    let (own, monotonic) = (clock.now(), Instant::now());
    async_io::block_on(clock.sleep(Duration::from_millis(60)));
    let (own, monotonic) = (clock.now() - own, monotonic.elapsed());
    assert!(own >= Duration::from_millis(60), "{own:?}");
    let difference = own.abs_diff(monotonic);
    assert!(difference < Duration::from_millis(20), "{own:?} and {monotonic:?}");
}

#[test]
fn suspension_is_counted() {
    // The monotonic clock excludes the time in which a host is suspended. A timer based on it would
    // continue to wait, and the lease would count as fresh as before.
    let start = Instant::now();
    let suspended = Cell::new(Duration::ZERO);
    let reads = Cell::new(0);
    let now = || {
        reads.set(reads.get() + 1);
        if reads.get() == 2 {
            suspended.set(Duration::from_secs(60));
        }
        Instant::now() + suspended.get()
    };
    let mut lease = Lease::new(start);
    async_io::block_on(sleep_by(now, start + Duration::from_secs(30)));
    assert!(start.elapsed() < Duration::from_secs(10), "it reads the clock while it waits");
    let woken = Instant::now() + suspended.get();
    assert!(!lease.held(woken));
    assert!(matches!(lease.renew(woken), Renewal::Lapsed(gap) if gap > PAUSE_LIMIT));
}
