//! Hybrid logical clocks.

use proptest::prelude::*;

use crate::support::cases;
use harefield::domain::hlc::HybridClock;
use harefield::domain::hlc::Stamp;

proptest! {
    #![proptest_config(cases(200))]

    /// Stamps increase and exceed every received stamp, even if the wall clock jumps back.
    #[test]
    fn stamps_increase(steps in prop::collection::vec((0_u64..100, prop::option::of(0_u64..100)), 1..50)) {
        let mut clock = HybridClock::default();
        let mut last = Stamp::default();
        for (wall, sent) in steps {
            let stamp = match sent {
                Some(micros) => {
                    let sent = Stamp { micros, count: 3 };
                    let stamp = clock.receive(wall, sent);
                    prop_assert!(stamp > sent);
                    stamp
                }
                None => clock.tick(wall),
            };
            prop_assert!(stamp > last);
            last = stamp;
        }
    }
}
