//! The bounded ring from every duty to the telemetry thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::domain::event::Event;
use crate::domain::hlc::Stamp;
use crate::domain::ids::RequestId;

/// How many batches the ring holds.
const RING_LENGTH: usize = 4096;

/// Events of one request or duty.
#[derive(Debug)]
pub struct Batch {
    /// The request that they concern.
    pub request: Option<RequestId>,
    /// The events, in order.
    pub events: Vec<(Stamp, Event)>,
}

/// The sending end of the ring.
#[derive(Clone, Debug)]
pub struct Telemetry {
    sender: async_channel::Sender<Batch>,
    dropped: Arc<AtomicU64>,
}

/// Creates the ring: its sending and its receiving end.
#[must_use]
pub fn ring() -> (Telemetry, async_channel::Receiver<Batch>) {
    let (sender, receiver) = async_channel::bounded(RING_LENGTH);
    (Telemetry { sender, dropped: Arc::default() }, receiver)
}

impl Telemetry {
    /// Sends a batch, or counts it as dropped where the ring is full.
    pub fn send(&self, batch: Batch) {
        let count = u64::try_from(batch.events.len()).unwrap_or(u64::MAX);
        if self.sender.try_send(batch).is_err() {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Takes the count of events dropped since it was last taken.
    #[must_use]
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}
