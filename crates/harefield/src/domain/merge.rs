//! Merging of the shards' records: records of fixed length, compared byte by byte, greatest first.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record<'a> = &'a [u8];

/// Returns the `most` greatest records of all bodies in descending order.
///
/// Equal records are all kept. A remainder at the end of a body that is shorter than a record is
/// ignored.
#[must_use]
pub fn greatest<'a>(bodies: impl IntoIterator<Item = &'a [u8]>, most: usize) -> Vec<u8> {
    let mut kept: BinaryHeap<Reverse<Record<'a>>> = BinaryHeap::with_capacity(most.min(1024) + 1);
    for record in bodies.into_iter().flat_map(|body| body.chunks_exact(RECORD_BYTES)) {
        if kept.len() < most {
            kept.push(Reverse(record));
        } else if kept.peek().is_some_and(|least| record.cmp(least.0) == Ordering::Greater) {
            kept.pop();
            kept.push(Reverse(record));
        }
    }
    // Ascending order of `Reverse` values puts the greatest record first.
    kept.into_sorted_vec().into_iter().flat_map(|record| record.0.iter().copied()).collect()
}
