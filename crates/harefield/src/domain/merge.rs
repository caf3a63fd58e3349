//! Merging the shards' records: fixed-length, compared byte by byte, the
//! greatest first.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

type Record<'a> = &'a [u8];

/// Returns the greatest `most` records of all bodies, in falling order.
///
/// Equal records all count. What is left over at the end of a body and is
/// shorter than a record is none.
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
    // Sorting what is wrapped in `Reverse` upwards puts the greatest first.
    kept.into_sorted_vec().into_iter().flat_map(|record| record.0.iter().copied()).collect()
}
