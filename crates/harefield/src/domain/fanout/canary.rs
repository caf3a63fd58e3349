//! Canary requests: fan-outs that query one shard before the others.
//!
//! A daemon that may lack what others learned of a request finds out at one upstream whether the
//! request is harmless. Without that, each fleet that was killed as a whole would again send a
//! harmful request to all shards at once.

use super::context::StepContext;
use super::crash_guard::WIDE_SHARDS;
use super::machine::Fanout;
use super::shard::Shard;
use crate::domain::event::Cause;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;
use crate::domain::view::ShardPlan;

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
    /// Makes a wide fan-out query one shard, and the others only once that one has answered. Has to be
    /// called before the start.
    pub fn canary_first(&mut self) {
        if self.shards.len() < WIDE_SHARDS {
            return;
        }
        self.stage = Stage::Canaries;
        self.disable_trials();
    }

    /// Queries one more shard, the nearest; returns whether one was left.
    pub(super) fn send_canary<S: Sink>(&mut self, step: &mut StepContext<'_, S>) -> bool {
        let reached = self.shards.iter().filter(|shard| shard.may_have_run()).count();
        if reached >= MAX_CANARIES {
            return false;
        }
        let router = &*step.router;
        let rtt = |plan: &ShardPlan| plan.replicas.iter().map(|name| router.rtt_to(name)).min();
        let untried: Vec<_> = self.open_shards().map(|(shard, plan)| (rtt(plan), shard)).collect();
        let nearest = untried.iter().map(|(rtt, _)| *rtt).min();
        let equal: Vec<usize> =
            untried.iter().filter(|(rtt, _)| Some(*rtt) == nearest).map(|(_, shard)| *shard).collect();
        if equal.is_empty() {
            return false;
        }
        let shard = equal[step.router.draw_below(equal.len())];
        step.emit(Event::CanarySent { shard: self.name(shard) });
        self.start_attempt(shard, Cause::First, step);
        true
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
        let waits = |shard: &Shard| shard.is_open() && (shard.is_awaited() || shard.retry_at.is_some());
        let is_pending = self.shards.iter().any(waits) || !self.queued.is_empty();
        if is_pending || (!self.loss_seen && self.send_canary(step)) {
            return;
        }
        self.stage = Stage::All;
        for shard in 0..self.shards.len() {
            if self.shards[shard].is_open() {
                self.close(shard, Gap::NotAsked, step);
            }
        }
    }
}
