//! The queue of one class of requests at a gate.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::resources::Urgency;

/// The weight of a new sample in the exponentially weighted averages.
pub(super) const GAIN: f64 = 0.1;

/// Identifies a request that waits at a gate.
pub type WaiterId = u64;

/// A request that arrives at a gate.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its urgency, which selects the queue unless the request is late.
    pub urgency: Urgency,
    /// The account or team whose share it uses.
    pub team: Arc<str>,
    /// When it must be answered.
    pub deadline: Instant,
    /// When its objective passes; absent without an objective, or where that had passed on
    /// arrival.
    pub due: Option<Instant>,
    /// Whether its objective had passed on arrival.
    pub late: bool,
}

impl Arrival {
    /// Returns when the request is rejected if it still waits, given that `enough` seconds are
    /// usually needed until enough shards are in.
    pub(super) fn refuse_at(&self, enough: f64) -> Instant {
        let usual = Duration::from_secs_f64(enough);
        let due = self.due.map_or(self.deadline, |due| due.checked_sub(usual).unwrap_or(due));
        due.min(self.deadline)
    }
}

/// A request in a queue.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub id: WaiterId,
    pub arrival: Arrival,
}

/// The waiting requests of one class, earliest deadline first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub waiters: VecDeque<Waiter>,
    /// The number of waiters per account or team.
    counts: HashMap<Arc<str>, usize>,
    /// When the last waiter was dequeued, or when the queue last became non-empty.
    since: Option<Instant>,
    /// The average time between two dequeues, in seconds.
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

    /// Removes the waiter at a position to run it, and updates the average interval.
    pub fn dequeue(&mut self, at: usize, now: Instant) -> Option<Waiter> {
        let waiter = self.waiters.remove(at)?;
        self.uncount(&waiter.arrival.team);
        let since = self.since.replace(now).unwrap_or(now);
        let took = now.saturating_duration_since(since).as_secs_f64();
        let held = self.interval.unwrap_or(took);
        self.interval = Some(held + (took - held) * GAIN);
        Some(waiter)
    }

    /// Removes the waiters that match a predicate; the average interval stays.
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

    /// Shortens the waiters' deadlines to `until`. Removes those whose expected wait is too long, and
    /// returns them.
    pub fn limit_deadlines(
        &mut self,
        until: Instant,
        is_too_long: impl Fn(Duration) -> bool,
        usual: f64,
    ) -> Vec<WaiterId> {
        for waiter in &mut self.waiters {
            waiter.arrival.deadline = waiter.arrival.deadline.min(until);
        }
        let kept =
            (0..self.waiters.len()).take_while(|before| !is_too_long(self.wait_behind(*before, usual)));
        let removed: Vec<WaiterId> = self.waiters.iter().skip(kept.count()).map(|waiter| waiter.id).collect();
        self.remove(|waiter| removed.contains(&waiter.id));
        removed
    }

    fn uncount(&mut self, team: &Arc<str>) {
        let Some(count) = self.counts.get_mut(team) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(team);
        }
    }

    /// Returns the number of waiters of an account or team.
    pub fn team_waiting(&self, team: &str) -> usize {
        self.counts.get(team).copied().unwrap_or(0)
    }

    /// Returns the expected wait of one more request of an account or team, under round-robin
    /// with the others. `usual` is the interval assumed for an empty queue, in seconds.
    pub fn team_wait(&self, team: &str, usual: f64) -> Duration {
        let own = self.team_waiting(team);
        let others = self.counts.iter().filter(|(name, _)| ***name != *team);
        let before: usize = others.map(|(_, count)| (*count).min(own + 1)).sum();
        self.wait_behind(before + own, usual)
    }

    /// Returns the expected wait of one more request at the end of the queue.
    pub fn expected_wait(&self, usual: f64) -> Duration {
        self.wait_behind(self.waiters.len(), usual)
    }

    /// Returns the expected wait behind a number of requests.
    ///
    /// The measured interval is ignored while the queue is empty: otherwise one slow phase
    /// would make the gate reject requests, and the queue would stay empty.
    fn wait_behind(&self, before: usize, usual: f64) -> Duration {
        let interval = self.interval.filter(|_| !self.waiters.is_empty()).unwrap_or(usual);
        Duration::from_secs_f64((to_f64(before) + 1.0) * interval)
    }
}

/// Converts a count to a float, capped at `u32::MAX`.
pub(super) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
