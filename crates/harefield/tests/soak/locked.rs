//! Locking of state that threads share.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks shared state, also if a thread panicked while holding the lock.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
