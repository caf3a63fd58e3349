//! Protection against requests that crash the upstreams that run them ("queries of death").
//!
//! The guard exists because one request over 20 shards crashed each upstream that ran it and was
//! retried at once on the shards' other upstreams, so that all 40 crashed and every other request
//! of the next seconds failed. While no upstream has answered a request, shards whose upstream
//! crashed are suspended: until one answers, which shows that the request is harmless, or until no
//! attempt is in flight. Then a single trial attempt is sent.
//!
//! A request whose upstreams crash for other reasons has an answer from another shard by then, so
//! it is delayed by a few milliseconds at most.

use super::context::StepContext;
use super::machine::Fanout;
use super::shard::Hedge;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;

/// The most trial attempts in one fan-out after a crash without any answer: two crashes in trials
/// are enough for the request to be withheld.
pub const MAX_TRIALS: u32 = 2;

/// With at least this many shards, one has answered before a hedge is due, unless the request
/// itself is the cause.
pub(super) const WIDE_SHARDS: usize = 4;

impl Fanout {
    /// Suspends retries and hedges of a shard whose upstream may have crashed.
    pub(super) fn suspend(&mut self, shard: usize) {
        self.suspended.insert(shard);
        let state = &mut self.shards[shard];
        state.retry_at = None;
        state.hedge = Hedge::Off;
    }

    /// Returns whether hedges have to wait for the first answer. A wide fan-out may send one hedge
    /// before, to find out whether only the connections are unresponsive.
    ///
    /// A request that crashes its upstreams after 60 ms would otherwise be hedged after about 45
    /// ms, and crash as many more upstreams as the budget allows.
    pub(super) fn delays_hedges(&self) -> bool {
        if self.hedges_held && !self.is_answered() {
            return true;
        }
        if self.is_answered() || self.shards.len() < WIDE_SHARDS {
            return self.is_suspect();
        }
        let hedged = self.shards.iter().any(|shard| shard.hedge == Hedge::Sent);
        self.loss_seen || hedged || self.rules.trials == 0
    }

    /// Records that a reply was lost or a group was revoked. In a narrow fan-out only a known crash
    /// suspends shards: there may be no other answer to wait for.
    pub(super) fn record_loss(&mut self, why: Gap) {
        let waits = self.shards.len() >= WIDE_SHARDS || self.rules.trials == 0;
        self.loss_seen |= why == Gap::UpstreamEnded || why == Gap::ReplyLost && waits;
    }

    /// Sets whether hedges have to wait for the first answer because of what is known outside this
    /// fan-out: upstreams crashed during the same work before, or a lost reply is being checked.
    ///
    /// While a check took up to 150 ms on a busy machine, a request of one shard was hedged, and
    /// crashed a second upstream.
    pub fn hold_hedges(&mut self, hold: bool) {
        self.hedges_held = hold;
    }

    /// Disables trials: the request is known to have crashed several upstreams, and the fleet
    /// allows only one trial of it at a time.
    pub fn disable_trials(&mut self) {
        self.rules.trials = 0;
    }

    /// Returns whether sending is suspended: an upstream may have crashed while it had the request,
    /// and no upstream has answered.
    pub(super) fn is_suspect(&self) -> bool {
        self.loss_seen && !self.is_answered()
    }

    /// Resumes suspended shards once an upstream has answered, or sends a trial for one of them if
    /// no attempt is in flight.
    pub(super) fn resume_suspended<S: Sink>(&mut self, step: &mut StepContext<'_, S>) {
        if self.suspended.is_empty() {
            return;
        }
        let suspended: Vec<usize> = self.suspended.iter().copied().collect();
        if self.is_answered() {
            for shard in suspended {
                self.resume(shard, step);
            }
            return;
        }
        let out = self.shards.iter().any(|shard| shard.is_open() && shard.is_awaited());
        if !out && !self.send_trial(&suspended, step) {
            self.close_suspended(&suspended, step);
        }
    }

    /// Sends a trial attempt for one of the shards; returns whether one was sent.
    fn send_trial<S: Sink>(&mut self, suspended: &[usize], step: &mut StepContext<'_, S>) -> bool {
        if self.trials >= self.rules.trials {
            return false;
        }
        for shard in suspended.iter().copied() {
            self.resume(shard, step);
            if self.shards[shard].is_awaited() {
                self.trials += 1;
                return true;
            }
            if self.shards[shard].is_open() {
                self.leave_queue(shard, step);
                self.suspend(shard);
            }
        }
        false
    }

    fn close_suspended<S: Sink>(&mut self, suspended: &[usize], step: &mut StepContext<'_, S>) {
        self.suspended.clear();
        for shard in suspended.iter().copied() {
            if self.shards[shard].is_open() {
                let why = if self.shards[shard].ran { Gap::ReplyLost } else { Gap::NotAsked };
                self.close(shard, why, step);
            }
        }
    }

    fn resume<S: Sink>(&mut self, shard: usize, step: &mut StepContext<'_, S>) {
        self.suspended.remove(&shard);
        if self.shards[shard].is_open() {
            self.retry(shard, step);
        }
    }
}
