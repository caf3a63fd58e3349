//! Canary requests: fan-outs that query one shard before the others.
//!
//! A daemon that may lack what others learned of a request finds out at one upstream whether the
//! request is harmless. Without that, each fleet that was killed as a whole would again send a
//! harmful request to all shards at once.

use super::context::StepContext;
use super::machine::Fanout;
use super::shard::Hedge;
use crate::domain::event::Cause;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;

/// The most canaries that may reach an upstream before one has answered: the users allow a request
/// that they know to be harmful three sends.
const MAX_CANARIES: usize = 3;

/// Which shards are queried at this stage of a fan-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// One after another, until one has answered.
    Canaries,
    /// All of them.
    All,
}

impl Fanout {
    /// Makes the fan-out query one shard, and the others only once that one has answered. Has to be
    /// called before the start.
    pub fn canary_first(&mut self) {
        self.stage = Stage::Canaries;
        self.disable_trials();
    }

    /// Queries one more shard, the nearest; returns whether one was left.
    pub(super) fn send_canary<S: Sink>(&mut self, step: &mut StepContext<'_, S>) -> bool {
        let reached = self.shards.iter().filter(|shard| shard.may_have_run()).count();
        if reached >= MAX_CANARIES {
            return false;
        }
        let untried: Vec<usize> =
            (0..self.shards.len()).filter(|shard| self.shards[*shard].is_untried()).collect();
        let nearest = untried.iter().copied().min_by_key(|shard| self.distance(*shard, step));
        let Some(near) = nearest.map(|shard| self.distance(shard, step)) else { return false };
        let equal: Vec<usize> =
            untried.into_iter().filter(|shard| self.distance(*shard, step) == near).collect();
        let shard = equal[step.router.draw_below(equal.len())];
        self.start_attempt(shard, Cause::First, step);
        true
    }

    fn distance<S: Sink>(&self, shard: usize, step: &StepContext<'_, S>) -> std::time::Duration {
        let replicas = self.plan.shards[shard].replicas.iter();
        replicas.map(|name| step.router.rtt_to(name)).min().unwrap_or_default()
    }

    /// Queries the other shards once the first has answered. Closes them where its upstream ended,
    /// and queries another one first where it could not be asked.
    pub(super) fn end_canaries<S: Sink>(&mut self, step: &mut StepContext<'_, S>) {
        if self.stage == Stage::All {
            return;
        }
        if self.is_answered() {
            self.stage = Stage::All;
            let direct = self.delegate_groups(step);
            self.start_direct(direct, step);
            return;
        }
        let waits = |shard: &super::shard::Shard| shard.is_awaited() || shard.retry_at.is_some();
        let is_pending = self.shards.iter().any(|shard| shard.is_open() && waits(shard));
        if is_pending || !self.queued.is_empty() || (!self.loss_seen && self.send_canary(step)) {
            return;
        }
        self.stage = Stage::All;
        for shard in 0..self.shards.len() {
            if self.shards[shard].is_open() {
                self.close(shard, Gap::NotAsked, step);
            }
        }
    }

    /// Queries another shard beside the one whose answer is overdue.
    pub(super) fn send_canary_beside<S: Sink>(&mut self, shard: usize, step: &mut StepContext<'_, S>) {
        self.shards[shard].hedge = Hedge::Off;
        self.send_canary(step);
    }
}
