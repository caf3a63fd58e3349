//! The queue of one urgency at a gate.

use std::collections::HashMap;
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
    /// How many wait of each account or team.
    counts: HashMap<Arc<str>, usize>,
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
        *self.counts.entry(Arc::clone(&waiter.arrival.team)).or_default() += 1;
        self.waiters.insert(at, waiter);
    }

    /// Takes out a waiter that is called, and learns how often one is.
    pub fn call(&mut self, at: usize, now: Instant) -> Option<Waiter> {
        let waiter = self.waiters.remove(at)?;
        self.uncount(&waiter.arrival.team);
        let since = self.since.replace(now).unwrap_or(now);
        let took = now.saturating_duration_since(since).as_secs_f64();
        let held = self.interval.unwrap_or(took);
        self.interval = Some(held + (took - held) * GAIN);
        Some(waiter)
    }

    /// Takes out those that `leaves` says.
    pub fn remove(&mut self, leaves: impl Fn(&Waiter) -> bool) {
        if !self.waiters.iter().any(&leaves) {
            return;
        }
        let (left, kept): (Vec<Waiter>, Vec<Waiter>) =
            std::mem::take(&mut self.waiters).into_iter().partition(&leaves);
        self.waiters = kept.into();
        for waiter in left {
            self.uncount(&waiter.arrival.team);
        }
    }

    fn uncount(&mut self, team: &Arc<str>) {
        let Some(count) = self.counts.get_mut(team) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(team);
        }
    }

    /// Returns how many wait of an account or team.
    pub fn waiting_of(&self, team: &str) -> usize {
        self.counts.get(team).copied().unwrap_or(0)
    }

    /// Returns how long one more of an account or team would wait, which goes by turns with
    /// the others.
    pub fn wait_of(&self, team: &str, usual: f64) -> Duration {
        let own = self.waiting_of(team);
        let others = self.counts.iter().filter(|(name, _)| ***name != *team);
        let before: usize = others.map(|(_, count)| (*count).min(own + 1)).sum();
        self.wait_behind(before + own, usual)
    }

    /// Returns how long one more would wait, by how often one is called. What
    /// was learnt is not held against a queue that is empty: else one bad spell
    /// would keep it so.
    pub fn wait(&self, usual: f64) -> Duration {
        self.wait_behind(self.waiters.len(), usual)
    }

    fn wait_behind(&self, before: usize, usual: f64) -> Duration {
        let interval = self.interval.filter(|_| !self.waiters.is_empty()).unwrap_or(usual);
        Duration::from_secs_f64((number(before) + 1.0) * interval)
    }
}

/// Returns a count as a number with a fraction.
pub(super) fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
