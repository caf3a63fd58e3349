//! Counts the bytes of control messages.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The approximate size of the heads of a request and its reply, in bytes.
const HEAD_BYTES: u64 = 300;

/// Counts the bytes of control messages; shared by a daemon's threads.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    bytes: Arc<AtomicU64>,
}

impl Traffic {
    /// Counts one request and its reply by the sizes of their bodies, in bytes.
    pub fn count(&self, request: usize, reply: usize) {
        let bodies = u64::try_from(request + reply).unwrap_or(u64::MAX);
        self.bytes.fetch_add(bodies + HEAD_BYTES, Ordering::Relaxed);
    }

    /// Returns the bytes counted since the daemon started.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
