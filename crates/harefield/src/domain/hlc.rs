//! Hybrid logical time: wall-clock microseconds that never run backwards and
//! that respect the order in which messages were sent and received.

use serde::Deserialize;
use serde::Serialize;

/// A point in hybrid logical time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall-clock microseconds since the Unix epoch, as far as known.
    pub micros: u64,
    /// Orders stamps that share their milliseconds.
    pub count: u32,
}

/// Issues stamps for one process.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the stamp of a local event at wall-clock `micros`.
    pub fn tick(&mut self, micros: u64) -> Stamp {
        self.advance(micros, Stamp::default())
    }

    /// Returns the stamp of receiving a message that was sent at `seen`.
    pub fn receive(&mut self, micros: u64, seen: Stamp) -> Stamp {
        self.advance(micros, seen)
    }

    fn advance(&mut self, micros: u64, seen: Stamp) -> Stamp {
        let floor = self.last.max(seen);
        self.last = if micros > floor.micros {
            Stamp { micros, count: 0 }
        } else {
            Stamp { micros: floor.micros, count: floor.count + 1 }
        };
        self.last
    }
}
