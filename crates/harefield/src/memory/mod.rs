//! The memory budget for the requests, replies and messages that a daemon's threads hold.
//!
//! [`Memory`] shares the byte counts of `domain::buffers` between the threads. [`HeldBytes`] is a
//! reservation that is released when dropped, and that may be attached to the bytes themselves.
//! A [`Writer`] is a connection that may be ended to free memory.

mod held;
mod writer;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use crate::domain::buffers::Buffers;
use crate::domain::buffers::Purpose;
use crate::domain::buffers::WriterId;

pub use self::held::HeldBytes;
pub use self::writer::Writer;

/// Fewer bytes than this are not counted: the state of one request takes more memory.
pub const MIN_COUNTED: usize = 1024;

/// How long a connection's peer may read nothing, where no setting gives a limit.
const DEFAULT_STALL: Duration = Duration::from_secs(5);

/// How long to wait for ended connections to release their memory.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(50);

/// How often to check whether they have.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The metrics of the memory budget.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    /// Bytes held, by purpose.
    pub held: BTreeMap<Purpose, Gauge>,
    /// Connections ended because their peers read next to nothing for too long.
    pub stalled: Counter,
    /// Connections ended to free memory.
    pub evicted: Counter,
}

/// The memory budget; clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    usage: Mutex<Usage>,
    stall: Duration,
    meters: Meters,
}

/// The byte counts, and the connections that may be ended to free memory.
#[derive(Debug)]
struct Usage {
    buffers: Buffers,
    writers: HashMap<WriterId, Arc<writer::EndSignal>>,
    next: WriterId,
}

/// Counts without a limit.
impl Default for Memory {
    fn default() -> Self {
        Self::new(usize::MAX, DEFAULT_STALL, Meters::default())
    }
}

impl Memory {
    /// Creates a budget of `limit` bytes; a connection whose peer reads nothing for `stall` is
    /// ended.
    #[must_use]
    pub fn new(limit: usize, stall: Duration, meters: Meters) -> Self {
        let usage = Usage { buffers: Buffers::new(limit), writers: HashMap::new(), next: 0 };
        Self { shared: Arc::new(Shared { usage: Mutex::new(usage), stall, meters }) }
    }

    /// Returns how long a connection's peer may read nothing.
    #[must_use]
    pub fn stall(&self) -> Duration {
        self.shared.stall
    }

    /// Reserves bytes; none where they don't fit the budget.
    #[must_use]
    pub fn try_reserve(&self, purpose: Purpose, bytes: usize) -> Option<HeldBytes> {
        let reserved = self.lock().buffers.reserve(purpose, bytes);
        reserved.then(|| HeldBytes::new(self.clone(), purpose, bytes))
    }

    /// Reserves bytes; where they don't fit, first ends connections whose peers do not read, if that
    /// frees enough. None where they don't fit within `RELEASE_TIMEOUT` of that.
    pub async fn reserve(&self, purpose: Purpose, bytes: usize) -> Option<HeldBytes> {
        if let Some(held) = self.try_reserve(purpose, bytes) {
            return Some(held);
        }
        let now = Instant::now();
        if !self.make_room(bytes, now) {
            return None;
        }
        while now.elapsed() < RELEASE_TIMEOUT {
            Timer::after(POLL_INTERVAL).await;
            if let Some(held) = self.try_reserve(purpose, bytes) {
                return Some(held);
            }
        }
        None
    }

    /// Counts bytes that are in memory already, whether they fit or not.
    #[must_use]
    pub fn hold(&self, purpose: Purpose, bytes: usize) -> HeldBytes {
        self.lock().buffers.add(purpose, bytes);
        HeldBytes::new(self.clone(), purpose, bytes)
    }

    /// Returns after how long to retry what did not fit: when the first connection whose peer does
    /// not read is ended. None where all peers read.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.lock().buffers.next_eviction(self.shared.stall, Instant::now())
    }

    /// Ends connections so that `bytes` fit; returns whether any were chosen. None are where ending
    /// all connections whose peers do not read would not be enough.
    fn make_room(&self, bytes: usize, now: Instant) -> bool {
        let usage = self.lock();
        let writers = usage.buffers.pick_evictions(bytes, now);
        let signals: Vec<_> = writers.iter().filter_map(|id| usage.writers.get(id)).map(Arc::clone).collect();
        drop(usage);
        for signal in &signals {
            if signal.end() {
                self.shared.meters.evicted.inc();
            }
        }
        !signals.is_empty()
    }

    /// Updates the gauges of the bytes held for each purpose.
    pub fn update_gauges(&self) {
        let usage = self.lock();
        for (purpose, gauge) in &self.shared.meters.held {
            gauge.set(i64::try_from(usage.buffers.held(*purpose)).unwrap_or(i64::MAX));
        }
    }

    /// Locks the counts; they are consistent even where a thread panicked while holding the lock.
    fn lock(&self) -> MutexGuard<'_, Usage> {
        self.shared.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
