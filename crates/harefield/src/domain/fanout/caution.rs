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

use super::machine::Fanout;
use super::shard::Hedge;
use super::step::Step;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;

/// How many upstreams are asked alone in one fan-out where some ended and nobody has
/// answered: as many as decide.
pub const MOST_TRIALS: u32 = 2;

/// With as many shards, one of them has answered before a hedge is due, unless the request
/// itself is the reason.
const WIDE: usize = 4;

impl Fanout {
    /// Lets a shard wait whose upstream may have ended.
    pub(super) fn hold(&mut self, shard: usize) {
        self.held.insert(shard);
        let state = &mut self.shards[shard];
        state.retry_at = None;
        state.hedge = Hedge::Off;
    }

    /// Says whether hedges wait for the first answer: all but the first one do, which finds
    /// out whether just the connections are silent.
    ///
    /// A request that ends its upstreams after 60 ms would be hedged after some 45 ms, and
    /// end as many more as the budget allows.
    pub(super) fn awaits_first(&self) -> bool {
        if self.is_answered() || self.shards.len() < WIDE {
            return self.is_suspect();
        }
        let hedged = self.shards.iter().any(|shard| shard.hedge == Hedge::Sent);
        self.lost || hedged || self.rules.trials == 0
    }

    /// Notes that a reply was lost, or a group was taken back. Few shards wait for nothing
    /// unless their upstream is known to have ended: there may be no other answer to wait for.
    pub(super) fn note_lost(&mut self, why: Gap) {
        let waits = self.shards.len() >= WIDE || self.rules.trials == 0;
        self.lost |= why == Gap::UpstreamEnded || why == Gap::ReplyLost && waits;
    }

    /// Asks nobody alone: the request is known to have ended several upstreams, and who runs
    /// it alone is one for all daemons.
    pub fn leave_trials(&mut self) {
        self.rules.trials = 0;
    }

    /// Says whether nothing more of the request is to leave for now: an upstream may have ended
    /// while it had it, and nobody has answered.
    pub(super) fn is_suspect(&self) -> bool {
        self.lost && !self.is_answered()
    }

    /// Lets shards that wait go on where an upstream has answered, or one of them where
    /// nobody has the request any more.
    pub(super) fn settle_held<S: Sink>(&mut self, step: &mut Step<'_, S>) {
        if self.held.is_empty() {
            return;
        }
        let held: Vec<usize> = self.held.iter().copied().collect();
        if self.is_answered() {
            for shard in held {
                self.let_go(shard, step);
            }
            return;
        }
        let out = self.shards.iter().any(|shard| shard.is_open() && shard.is_awaited());
        if !out && !self.try_alone(&held, step) {
            self.give_up(&held, step);
        }
    }

    /// Asks for one of the shards; returns whether any could be.
    fn try_alone<S: Sink>(&mut self, held: &[usize], step: &mut Step<'_, S>) -> bool {
        if self.trials >= self.rules.trials {
            return false;
        }
        for shard in held.iter().copied() {
            self.let_go(shard, step);
            if self.shards[shard].is_awaited() {
                self.trials += 1;
                return true;
            }
            if self.shards[shard].is_open() {
                self.hold(shard);
            }
        }
        false
    }

    fn give_up<S: Sink>(&mut self, held: &[usize], step: &mut Step<'_, S>) {
        self.held.clear();
        for shard in held.iter().copied() {
            if self.shards[shard].is_open() {
                let why = if self.shards[shard].ran { Gap::ReplyLost } else { Gap::NotAsked };
                self.close(shard, why, step);
            }
        }
    }

    fn let_go<S: Sink>(&mut self, shard: usize, step: &mut Step<'_, S>) {
        self.held.remove(&shard);
        if self.shards[shard].is_open() {
            self.retry(shard, step);
        }
    }
}
