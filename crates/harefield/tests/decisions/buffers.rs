//! What a daemon holds for others: what is taken in, and who is let go to make room.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::after;
use crate::support::cases;
use harefield::domain::buffers::Buffers;
use harefield::domain::buffers::Use;
use harefield::domain::buffers::WriterId;

const LIMIT: usize = 1_000_000;

/// Returns a full account, whose writers 1 to 4 began at 0 s with 100 to 400 kB each.
fn full(start: Instant) -> Buffers {
    let mut buffers = Buffers::new(LIMIT);
    for writer in 1..=4_u32 {
        let bytes = writer as usize * 100_000;
        assert!(buffers.take(Use::Replies, bytes));
        buffers.begin_write(WriterId::from(writer), bytes, start);
    }
    buffers
}

#[test]
fn taken_while_it_fits() {
    let mut buffers = Buffers::new(LIMIT);
    assert!(buffers.take(Use::Requests, 600_000));
    assert!(!buffers.take(Use::Replies, 500_000));
    assert!(buffers.take(Use::Replies, 400_000));
    buffers.release(Use::Requests, 600_000);
    assert_eq!((buffers.held(Use::Requests), buffers.total()), (0, 400_000));
    // What is there already is counted, whether it fits or not.
    buffers.add(Use::Messages, 900_000);
    assert!(!buffers.take(Use::Requests, 1));
}

#[test]
fn most_for_longest_goes() {
    let start = Instant::now();
    let mut buffers = full(start);
    // The largest one began later, and has kept its bytes for less time than the next two.
    buffers.begin_write(4, 400_000, after(start, 2500));
    let ended = buffers.make_room(350_000, after(start, 3100));
    assert_eq!(ended, [3, 2]);
    assert_eq!(buffers.make_room(50_000, after(start, 3100)), [3]);
}

#[test]
fn readers_stay() {
    let start = Instant::now();
    let mut buffers = full(start);
    // 3 and 4 take 20 kB a second, and 2 next to nothing.
    for second in 1..=3 {
        let now = after(start, 1000 * second);
        buffers.progress(3, 20_000, now);
        buffers.progress(4, 20_000, now);
        buffers.progress(2, 100, now);
    }
    let now = after(start, 3100);
    assert_eq!(buffers.make_room(150_000, now), [2]);
    assert!(buffers.make_room(500_000, now).is_empty(), "readers are not ended for it");
    // One that has just begun may be about to read.
    buffers.begin_write(1, 100_000, after(start, 3000));
    assert!(buffers.make_room(290_000, now).is_empty());
}

#[test]
fn ends_are_told() {
    let start = Instant::now();
    let mut buffers = full(start);
    let stall = Duration::from_secs(5);
    assert_eq!(buffers.next_end(stall, after(start, 1000)), Some(Duration::from_secs(4)));
    for writer in 1..=4 {
        buffers.end_write(writer);
    }
    assert_eq!(buffers.next_end(stall, after(start, 1000)), None);
}

proptest! {
    #![proptest_config(cases(256))]

    /// Whatever comes and goes: no more is taken than fits, and a peer that takes 16 kB a
    /// second is never ended.
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
            if let std::collections::btree_map::Entry::Vacant(free) = held.entry(writer) {
                if buffers.take(Use::Replies, bytes) {
                    buffers.begin_write(writer, bytes, now);
                    free.insert(bytes);
                } else {
                    let ended = buffers.make_room(bytes, now);
                    prop_assert!(!ended.contains(&0));
                    for writer in ended {
                        buffers.end_write(writer);
                        buffers.release(Use::Replies, held.remove(&writer).unwrap_or(0));
                    }
                }
            } else if writer != 0 {
                buffers.progress(writer, 1, now);
            }
            prop_assert!(buffers.total() <= LIMIT);
        }
    }
}
