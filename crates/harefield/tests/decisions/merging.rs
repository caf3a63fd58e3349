//! Merging of records.

use proptest::prelude::*;

use harefield::domain::merge::RECORD_BYTES;
use harefield::domain::merge::greatest;

use crate::support::cases;

proptest! {
    #![proptest_config(cases(200))]

    /// The result equals that of sorting all records and keeping the first ones.
    #[test]
    fn greatest_kept(bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 0..6), most in 0_usize..12) {
        let mut all: Vec<&[u8]> = bodies.iter().flat_map(|body| body.chunks_exact(RECORD_BYTES)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let expected: Vec<u8> = all.into_iter().take(most).flatten().copied().collect();
        prop_assert_eq!(greatest(bodies.iter().map(|body| &**body), most), expected);
    }

    /// Merging already merged parts gives the same result as merging everything at once.
    #[test]
    fn merge_of_merges(bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 2..6), most in 1_usize..8) {
        let parts: Vec<Vec<u8>> = bodies.chunks(2).map(|some| greatest(some.iter().map(|body| &**body), most)).collect();
        let twice = greatest(parts.iter().map(|body| &**body), most);
        prop_assert_eq!(twice, greatest(bodies.iter().map(|body| &**body), most));
    }
}
