//! Care with a request that may end whoever runs it.
//!
//! The pattern: one request of 20 shards crashed each upstream that ran it, and was asked
//! again at the shards' other upstreams at once, so that all 40 ended and every other
//! request of the next seconds failed. While nobody has answered a request, what was lost
//! with its upstream waits: until one answers, which shows that the request can be run, or
//! until nobody has it any more. Then one upstream is asked alone.
//!
//! The limits: a request beside upstreams that crash for other reasons has an answer of
//! another shard by then, so that it waits for some milliseconds at most.

use super::context::StepContext;
use super::machine::Fanout;
use super::shard::Hedge;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;

/// How many upstreams are asked alone in one fan-out where some ended and nobody has
/// answered: as many as decide.
pub const MAX_TRIALS: u32 = 2;

/// With as many shards, one of them has answered before a hedge is due, unless the request
/// itself is the reason.
const WIDE_SHARDS: usize = 4;

impl Fanout {
    /// Lets a shard wait whose upstream may have ended.
    pub(super) fn suspend(&mut self, shard: usize) {
        self.suspended.insert(shard);
        let state = &mut self.shards[shard];
        state.retry_at = None;
        state.hedge = Hedge::Off;
    }

    /// Says whether hedges wait for the first answer: all but the first one do, which finds
    /// out whether just the connections are silent.
    ///
    /// A request that ends its upstreams after 60 ms would be hedged after some 45 ms, and
    /// end as many more as the budget allows.
    pub(super) fn delays_hedges(&self) -> bool {
        if self.is_answered() || self.shards.len() < WIDE_SHARDS {
            return self.is_suspect();
        }
        let hedged = self.shards.iter().any(|shard| shard.hedge == Hedge::Sent);
        self.loss_seen || hedged || self.rules.trials == 0
    }

    /// Notes that a reply was lost, or a group was taken back. Few shards wait for nothing
    /// unless their upstream is known to have ended: there may be no other answer to wait for.
    pub(super) fn record_loss(&mut self, why: Gap) {
        let waits = self.shards.len() >= WIDE_SHARDS || self.rules.trials == 0;
        self.loss_seen |= why == Gap::UpstreamEnded || why == Gap::ReplyLost && waits;
    }

    /// Asks nobody alone: the request is known to have ended several upstreams, and who runs
    /// it alone is one for all daemons.
    pub fn disable_trials(&mut self) {
        self.rules.trials = 0;
    }

    /// Says whether nothing more of the request is to leave for now: an upstream may have ended
    /// while it had it, and nobody has answered.
    pub(super) fn is_suspect(&self) -> bool {
        self.loss_seen && !self.is_answered()
    }

    /// Lets shards that wait go on where an upstream has answered, or one of them where
    /// nobody has the request any more.
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

    /// Asks for one of the shards; returns whether any could be.
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
