//! Hybrid logical time: wall-clock microseconds that never run backwards and respect the order in
//! which messages were sent and received.

use serde::Deserialize;
use serde::Serialize;

/// A point in hybrid logical time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall-clock microseconds since the Unix epoch. Ahead of the local clock if a message with a
    /// later stamp was received.
    pub micros: u64,
    /// Orders stamps with equal microseconds.
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

    /// Returns the stamp of receiving a message that was sent at `sent`.
    pub fn receive(&mut self, micros: u64, sent: Stamp) -> Stamp {
        self.advance(micros, sent)
    }

    fn advance(&mut self, micros: u64, sent: Stamp) -> Stamp {
        let floor = self.last.max(sent);
        self.last = if micros > floor.micros {
            Stamp { micros, count: 0 }
        } else {
            Stamp { micros: floor.micros, count: floor.count + 1 }
        };
        self.last
    }
}
