//! Memory budget for buffered bytes: what is accepted, and which connections are closed to free
//! memory.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::after;
use crate::support::cases;
use harefield::domain::buffers::Buffers;
use harefield::domain::buffers::Purpose;
use harefield::domain::buffers::WriterId;

const LIMIT: usize = 1_000_000;

/// Returns a full account. Its writers 1 to 4 began at 0 s with 100 to 400 kB each.
fn full(start: Instant) -> Buffers {
    let mut buffers = Buffers::new(LIMIT);
    for writer in 1..=4_u32 {
        let bytes = writer as usize * 100_000;
        assert!(buffers.reserve(Purpose::Replies, bytes));
        buffers.begin_write(WriterId::from(writer), bytes, start);
    }
    buffers
}

#[test]
fn reserved_within_limit() {
    let mut buffers = Buffers::new(LIMIT);
    assert!(buffers.reserve(Purpose::Requests, 600_000));
    assert!(!buffers.reserve(Purpose::Replies, 500_000));
    assert!(buffers.reserve(Purpose::Replies, 400_000));
    buffers.release(Purpose::Requests, 600_000);
    assert_eq!((buffers.held(Purpose::Requests), buffers.total()), (0, 400_000));
    // Bytes that are already in memory are counted whether they fit or not.
    buffers.add(Purpose::Messages, 900_000);
    assert!(!buffers.reserve(Purpose::Requests, 1));
}

#[test]
fn largest_oldest_evicted() {
    let start = Instant::now();
    let mut buffers = full(start);
    // The largest write began later and has fewer byte-seconds than the next two.
    buffers.begin_write(4, 400_000, after(start, 2500));
    let evicted = buffers.pick_evictions(350_000, after(start, 3100));
    assert_eq!(evicted, [3, 2]);
    assert_eq!(buffers.pick_evictions(50_000, after(start, 3100)), [3]);
}

#[test]
fn reading_peers_kept() {
    let start = Instant::now();
    let mut buffers = full(start);
    // Writers 3 and 4 accept 20 kB per second, and 2 almost nothing.
    for second in 1..=3 {
        let now = after(start, 1000 * second);
        buffers.progress(3, 20_000, now);
        buffers.progress(4, 20_000, now);
        buffers.progress(2, 100, now);
    }
    let now = after(start, 3100);
    assert_eq!(buffers.pick_evictions(150_000, now), [2]);
    assert!(buffers.pick_evictions(500_000, now).is_empty(), "connections whose peers read are not closed");
    // A peer whose write has just begun may be about to read.
    buffers.begin_write(1, 100_000, after(start, 3000));
    assert!(buffers.pick_evictions(290_000, now).is_empty());
}

#[test]
fn next_eviction_known() {
    let start = Instant::now();
    let mut buffers = full(start);
    let stall = Duration::from_secs(5);
    assert_eq!(buffers.next_eviction(stall, after(start, 1000)), Some(Duration::from_secs(4)));
    for writer in 1..=4 {
        buffers.end_write(writer);
    }
    assert_eq!(buffers.next_eviction(stall, after(start, 1000)), None);
}

proptest! {
    #![proptest_config(cases(256))]

    /// For any sequence of writes, no more bytes are accepted than fit, and the connection of a
    /// peer that accepts 16 kB per second is never closed.
    #[test]
    fn bounded_and_fair(steps in prop::collection::vec((0..6_u64, 0..200_000_usize, 1..400_u64), 1..80)) {
        let start = Instant::now();
        let mut buffers = Buffers::new(LIMIT);
        let mut held: BTreeMap<WriterId, usize> = BTreeMap::new();
        let mut millis = 0;
        for (writer, bytes, pause) in steps {
            millis += pause;
            let now = after(start, millis);
            // Writer 0 always reads.
            buffers.progress(0, usize::try_from(pause).expect("it is small") * 20, now);
            if let std::collections::btree_map::Entry::Vacant(vacant) = held.entry(writer) {
                if buffers.reserve(Purpose::Replies, bytes) {
                    buffers.begin_write(writer, bytes, now);
                    vacant.insert(bytes);
                } else {
                    let evicted = buffers.pick_evictions(bytes, now);
                    prop_assert!(!evicted.contains(&0));
                    for writer in evicted {
                        buffers.end_write(writer);
                        buffers.release(Purpose::Replies, held.remove(&writer).unwrap_or(0));
                    }
                }
            } else if writer != 0 {
                buffers.progress(writer, 1, now);
            }
            prop_assert!(buffers.total() <= LIMIT);
        }
    }
}
