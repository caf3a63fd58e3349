//! The queue of one urgency at a gate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::resources::Urgency;

/// How fast what was learnt follows what is seen.
pub(super) const GAIN: f64 = 0.1;

/// Numbers the requests that wait at a gate.
pub type WaiterId = u64;

/// A request at a gate.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its urgency.
    pub urgency: Urgency,
    /// The team whose share it uses.
    pub team: Arc<str>,
    /// When it must be answered.
    pub deadline: Instant,
    /// By when it is wanted, where that is sooner and was not over when it came.
    pub due: Option<Instant>,
    /// Whether its objective had passed when it came.
    pub late: bool,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub id: WaiterId,
    pub arrival: Arrival,
}

/// The requests of one class that wait, earliest deadline first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub waiters: VecDeque<Waiter>,
    /// Since when it has had waiters that none was called of.
    since: Option<Instant>,
    /// The usual time between two calls, in seconds.
    interval: Option<f64>,
}

impl Queue {
    pub fn insert(&mut self, waiter: Waiter, now: Instant) {
        if self.waiters.is_empty() {
            self.since = Some(now);
        }
        let deadline = waiter.arrival.deadline;
        let at = self.waiters.partition_point(|held| held.arrival.deadline <= deadline);
        self.waiters.insert(at, waiter);
    }

    /// Takes out a waiter that is called, and learns how often one is.
    pub fn call(&mut self, at: usize, now: Instant) -> Option<Waiter> {
        let waiter = self.waiters.remove(at)?;
        let since = self.since.replace(now).unwrap_or(now);
        let took = now.saturating_duration_since(since).as_secs_f64();
        let held = self.interval.unwrap_or(took);
        self.interval = Some(held + (took - held) * GAIN);
        Some(waiter)
    }

    /// Returns how long one more would wait, by how often one is called. What
    /// was learnt is not held against a queue that is empty: else one bad spell
    /// would keep it so.
    pub fn wait(&self, usual: f64) -> Duration {
        let interval = self.interval.filter(|_| !self.waiters.is_empty()).unwrap_or(usual);
        Duration::from_secs_f64((number(self.waiters.len()) + 1.0) * interval)
    }
}

/// Returns a count as a number with a fraction.
pub(super) fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
