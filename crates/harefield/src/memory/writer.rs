//! A connection that is written to, and that may be ended to free memory.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Waker;
use std::time::Instant;

use super::MIN_COUNTED;
use super::Memory;
use crate::domain::buffers::WriterId;

/// Signals a connection that it has to end.
#[derive(Debug, Default)]
pub(super) struct EndSignal {
    ended: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

impl EndSignal {
    /// Tells the connection to end and wakes it; returns whether this is the first time.
    pub(super) fn end(&self) -> bool {
        let first = !self.ended.swap(true, Ordering::AcqRel);
        let waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
        first
    }
}

/// A connection's side of the memory budget: reports how much is left to write, and learns
/// when the connection has to end.
#[derive(Debug)]
pub struct Writer {
    memory: Memory,
    id: WriterId,
    signal: Arc<EndSignal>,
    /// How many bytes are left to write; 0 while nothing is counted.
    left: Cell<usize>,
}

impl Memory {
    /// Creates the writer of one connection.
    #[must_use]
    pub fn writer(&self) -> Writer {
        let mut usage = self.lock();
        let id = usage.next;
        usage.next += 1;
        drop(usage);
        Writer { memory: self.clone(), id, signal: Arc::default(), left: Cell::new(0) }
    }
}

impl Writer {
    /// Records that `bytes` are about to be written; fewer than [`MIN_COUNTED`] are not counted.
    pub fn begin(&self, bytes: usize) {
        if bytes < MIN_COUNTED {
            return;
        }
        self.left.set(bytes);
        let mut usage = self.memory.lock();
        usage.buffers.begin_write(self.id, bytes, Instant::now());
        usage.writers.insert(self.id, Arc::clone(&self.signal));
    }

    /// Records that the connection accepted `bytes` for its peer.
    pub fn progress(&self, bytes: usize) {
        if self.left.get() == 0 {
            return;
        }
        self.left.set(self.left.get().saturating_sub(bytes));
        self.memory.lock().buffers.progress(self.id, bytes, Instant::now());
    }

    /// Returns whether the connection has to end; where it hasn't, `waker` is woken once it has.
    #[must_use]
    pub fn is_ended(&self, waker: &Waker) -> bool {
        if self.signal.ended.load(Ordering::Acquire) {
            return true;
        }
        let mut stored = self.signal.waker.lock().unwrap_or_else(PoisonError::into_inner);
        if !stored.as_ref().is_some_and(|stored| stored.will_wake(waker)) {
            *stored = Some(waker.clone());
        }
        drop(stored);
        self.signal.ended.load(Ordering::Acquire)
    }

    /// Counts the connection as ended because its peer read next to nothing for too long.
    pub fn record_stalled(&self) {
        self.memory.shared.meters.stalled.inc();
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let mut usage = self.memory.lock();
        usage.buffers.end_write(self.id);
        usage.writers.remove(&self.id);
    }
}
