//! Hybrid logical time.

use proptest::prelude::*;

use crate::support::cases;
use harefield::domain::hlc::HybridClock;
use harefield::domain::hlc::Stamp;

proptest! {
    #![proptest_config(cases(200))]

    /// Stamps grow, past what was received, though the wall clock jumps back.
    #[test]
    fn only_forward(steps in prop::collection::vec((0_u64..100, prop::option::of(0_u64..100)), 1..50)) {
        let mut clock = HybridClock::default();
        let mut last = Stamp::default();
        for (wall, seen) in steps {
            let stamp = match seen {
                Some(micros) => {
                    let seen = Stamp { micros, count: 3 };
                    let stamp = clock.receive(wall, seen);
                    prop_assert!(stamp > seen);
                    stamp
                }
                None => clock.tick(wall),
            };
            prop_assert!(stamp > last);
            last = stamp;
        }
    }
}
