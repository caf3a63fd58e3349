//! The memory that a daemon's threads share for what they hold for others.
//!
//! [`Memory`] carries the account of `domain::buffers`; [`Held`] is a part of it that is
//! given back when dropped, and may go with the bytes themselves. A [`Writer`] is a connection
//! that the account may end.

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
use crate::domain::buffers::Use;
use crate::domain::buffers::WriterId;

pub use self::held::HeldBytes;
pub use self::writer::Writer;

/// Fewer bytes than this are not counted: the state of one request takes more.
pub const MIN_COUNTED: usize = 1024;

/// How long a peer may take nothing where no setting says.
const DEFAULT_STALL: Duration = Duration::from_secs(5);

/// How long it is awaited that ended connections give back what they hold.
const ROOM_WAIT: Duration = Duration::from_millis(50);

/// How often it is looked whether they have.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// What is shown of the account.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    /// Bytes held, by use.
    pub held: BTreeMap<Use, Gauge>,
    /// Connections ended, since their peers took nothing for long.
    pub stalled: Counter,
    /// Connections ended to make room.
    pub evicted: Counter,
}

/// The account that the threads share.
#[derive(Clone, Debug)]
pub struct Memory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    account: Mutex<Account>,
    stall: Duration,
    meters: Meters,
}

#[derive(Debug)]
struct Account {
    buffers: Buffers,
    writers: HashMap<WriterId, Arc<writer::Ending>>,
    next: WriterId,
}

/// Counts without a bound.
impl Default for Memory {
    fn default() -> Self {
        Self::new(usize::MAX, DEFAULT_STALL, Meters::default())
    }
}

impl Memory {
    /// Creates the account of at most `limit` bytes; a connection whose peer takes nothing
    /// for `stall` is ended.
    #[must_use]
    pub fn new(limit: usize, stall: Duration, meters: Meters) -> Self {
        let account = Account { buffers: Buffers::new(limit), writers: HashMap::new(), next: 0 };
        Self { shared: Arc::new(Shared { account: Mutex::new(account), stall, meters }) }
    }

    /// Returns how long a connection's peer may take nothing.
    #[must_use]
    pub fn stall(&self) -> Duration {
        self.shared.stall
    }

    /// Takes bytes in where they fit.
    #[must_use]
    pub fn try_reserve(&self, held_for: Use, bytes: usize) -> Option<HeldBytes> {
        let taken = self.lock().buffers.take(held_for, bytes);
        taken.then(|| HeldBytes::new(self.clone(), held_for, bytes))
    }

    /// Takes bytes in, ending connections whose peers do not read where that makes room.
    pub async fn reserve(&self, held_for: Use, bytes: usize) -> Option<HeldBytes> {
        if let Some(held) = self.try_reserve(held_for, bytes) {
            return Some(held);
        }
        let now = Instant::now();
        if !self.make_room(bytes, now) {
            return None;
        }
        while now.elapsed() < ROOM_WAIT {
            Timer::after(LOOK_EVERY).await;
            if let Some(held) = self.try_reserve(held_for, bytes) {
                return Some(held);
            }
        }
        None
    }

    /// Counts bytes that are there already.
    #[must_use]
    pub fn hold(&self, held_for: Use, bytes: usize) -> HeldBytes {
        self.lock().buffers.add(held_for, bytes);
        HeldBytes::new(self.clone(), held_for, bytes)
    }

    /// Returns when to come back where something did not fit.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.lock().buffers.next_end(self.shared.stall, Instant::now())
    }

    /// Ends connections so that so many bytes fit; returns whether that is enough.
    fn make_room(&self, bytes: usize, now: Instant) -> bool {
        let account = self.lock();
        let ended = account.buffers.make_room(bytes, now);
        let endings: Vec<_> = ended.iter().filter_map(|id| account.writers.get(id)).map(Arc::clone).collect();
        drop(account);
        for ending in &endings {
            if ending.end() {
                self.shared.meters.evicted.inc();
            }
        }
        !endings.is_empty()
    }

    /// Shows how much is held for each use.
    pub fn update_gauges(&self) {
        let account = self.lock();
        for (held_for, gauge) in &self.shared.meters.held {
            gauge.set(i64::try_from(account.buffers.held(*held_for)).unwrap_or(i64::MAX));
        }
    }

    /// Locks the account; it is whole even where a thread panicked beside it.
    fn lock(&self) -> MutexGuard<'_, Account> {
        self.shared.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
