//! A connection that something is written to, and that may be ended to make room.

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

/// Whether a connection is to end.
#[derive(Debug, Default)]
pub(super) struct Ending {
    ended: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

impl Ending {
    /// Ends the connection; returns whether it was not ended before.
    pub(super) fn end(&self) -> bool {
        let first = !self.ended.swap(true, Ordering::AcqRel);
        let waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
        first
    }
}

/// A connection that something is written to.
#[derive(Debug)]
pub struct Writer {
    memory: Memory,
    id: WriterId,
    ending: Arc<Ending>,
    /// What is left to be written, in bytes.
    left: Cell<usize>,
}

impl Memory {
    /// Creates the account of one connection.
    #[must_use]
    pub fn writer(&self) -> Writer {
        let mut account = self.lock();
        let id = account.next;
        account.next += 1;
        drop(account);
        Writer { memory: self.clone(), id, ending: Arc::default(), left: Cell::new(0) }
    }
}

impl Writer {
    /// Takes that so many bytes are to be written.
    pub fn begin(&self, bytes: usize) {
        if bytes < MIN_COUNTED {
            return;
        }
        self.left.set(bytes);
        let mut account = self.memory.lock();
        account.buffers.begin_write(self.id, bytes, Instant::now());
        account.writers.insert(self.id, Arc::clone(&self.ending));
    }

    /// Takes that the peer took so many bytes.
    pub fn progress(&self, bytes: usize) {
        if self.left.get() == 0 {
            return;
        }
        self.left.set(self.left.get().saturating_sub(bytes));
        self.memory.lock().buffers.progress(self.id, bytes, Instant::now());
    }

    /// Returns whether the connection is to end; who is told otherwise is woken when it is.
    #[must_use]
    pub fn is_ended(&self, waker: &Waker) -> bool {
        if self.ending.ended.load(Ordering::Acquire) {
            return true;
        }
        let mut held = self.ending.waker.lock().unwrap_or_else(PoisonError::into_inner);
        if !held.as_ref().is_some_and(|held| held.will_wake(waker)) {
            *held = Some(waker.clone());
        }
        drop(held);
        self.ending.ended.load(Ordering::Acquire)
    }

    /// Counts that its peer took nothing for too long.
    pub fn record_stalled(&self) {
        self.memory.shared.meters.stalled.inc();
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let mut account = self.memory.lock();
        account.buffers.end_write(self.id);
        account.writers.remove(&self.id);
    }
}
