//! The bounded ring that carries events to the telemetry thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::domain::event::Event;
use crate::domain::hlc::Stamp;
use crate::domain::ids::RequestId;

/// The capacity of the ring, in batches.
const RING_LENGTH: usize = 4096;

/// Events that are sent to the telemetry thread together.
#[derive(Debug)]
pub struct Batch {
    /// The request that they belong to; none for events of the daemon itself.
    pub request: Option<RequestId>,
    /// The events with their stamps, in the order in which they happened.
    pub events: Vec<(Stamp, Event)>,
}

/// The sending end of the ring; clones share it and its count of dropped events.
#[derive(Clone, Debug)]
pub struct Telemetry {
    sender: async_channel::Sender<Batch>,
    dropped: Arc<AtomicU64>,
}

/// Creates the ring and returns its sending and its receiving end.
#[must_use]
pub fn ring() -> (Telemetry, async_channel::Receiver<Batch>) {
    let (sender, receiver) = async_channel::bounded(RING_LENGTH);
    (Telemetry { sender, dropped: Arc::default() }, receiver)
}

impl Telemetry {
    /// Sends a batch; where the ring is full, drops it and counts its events.
    pub fn send(&self, batch: Batch) {
        let count = u64::try_from(batch.events.len()).unwrap_or(u64::MAX);
        if self.sender.try_send(batch).is_err() {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Returns how many events were dropped since the last call, and resets the count.
    #[must_use]
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}
