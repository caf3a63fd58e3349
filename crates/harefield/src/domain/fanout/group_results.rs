//! Handles the results of groups that were delegated to other daemons.

use std::time::Duration;
use std::time::Instant;

use super::context::StepContext;
use super::group_request::GroupOutcome;
use super::group_request::GroupRequest;
use super::group_request::ShardResult;
use super::machine::Fanout;
use super::shard::Action;
use super::shard::AttemptEnd;
use crate::domain::event::Cause;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;
use crate::domain::routing::Router;

/// A carrier that answered a group within this time is alive: as long as daemons wait before they
/// consider another one unresponsive.
const ALIVE_FOR: Duration = Duration::from_millis(150);

impl Fanout {
    /// Returns whether an overdue group of a scheduled index is still worked on: its daemon has
    /// just answered another one.
    ///
    /// Its requests then wait in the queues of their shards. Revoking the group would discard the
    /// replies that it has, and query all of its shards again when they have the least capacity.
    pub(super) fn is_still_served<S>(&self, at: usize, step: &StepContext<'_, S>) -> bool {
        let since = step.now.checked_sub(ALIVE_FOR).unwrap_or(step.now);
        step.router.schedules(&self.plan.index)
            && step.router.relays().has_answered_since(&self.groups[at].host, since)
    }

    /// Returns whether a shard that a carrier could not query in time is not queried again: the
    /// answer is possible without it, and each further request for it would compete with those that
    /// are still in time.
    fn skips_retry<S>(&self, shard: usize, why: Gap, step: &StepContext<'_, S>) -> bool {
        let late = matches!(why, Gap::Late | Gap::NotAsked | Gap::Overloaded);
        if !late || !step.router.schedules(&self.plan.index) {
            return false;
        }
        let others = self.shards.iter().enumerate().filter(|(number, _)| *number != shard);
        let possible = others.filter(|(_, state)| state.part.is_some() || state.is_open()).count();
        possible >= self.rules.min_shards(self.shards.len())
    }

    /// Closes a shard that isn't queried again.
    fn close_without_retry<S: Sink>(
        &mut self,
        shard: usize,
        group: &GroupRequest,
        (why, ran): (Gap, bool),
        step: &mut StepContext<'_, S>,
    ) {
        if self.remove_in_flight(shard, group.attempt).is_none() {
            return;
        }
        let state = &mut self.shards[shard];
        state.ran |= ran;
        if state.is_open() && !state.is_awaited() {
            state.gap = Some(why);
            self.close(shard, why, step);
        }
    }

    /// Handles the outcome of a group.
    pub fn on_group_end(
        &mut self,
        group: &GroupRequest,
        end: &GroupOutcome,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
    ) -> Vec<Action> {
        let mut step = StepContext::new(now, router, sink);
        match end {
            GroupOutcome::Results(all) => {
                for (shard, result) in all {
                    self.record_result(*shard, group, result, &mut step);
                }
            }
            GroupOutcome::NotSent => {
                for shard in &group.shards {
                    self.record_unsent(*shard, group, &mut step);
                }
            }
            GroupOutcome::Silent => {
                let lost = AttemptEnd::Lost { why: Gap::ReplyLost };
                for shard in &group.shards {
                    self.record_group_end(*shard, group, lost.clone(), &mut step);
                }
            }
        }
        self.resume_suspended(&mut step);
        step.actions
    }

    fn record_result<S: Sink>(
        &mut self,
        shard: usize,
        group: &GroupRequest,
        result: &ShardResult,
        step: &mut StepContext<'_, S>,
    ) {
        let end = match result {
            ShardResult::Part(reply) => AttemptEnd::Answered(reply.clone()),
            ShardResult::Missing { why, ran, .. } if self.skips_retry(shard, *why, step) => {
                return self.close_without_retry(shard, group, (*why, *ran), step);
            }
            ShardResult::Missing { ran: false, sent: 0, .. } => {
                return self.record_unsent(shard, group, step);
            }
            ShardResult::Missing { why, ran, sent } => {
                // The daemon's attempts count against the shard's limit.
                if let Some(state) = self.shards.get_mut(shard) {
                    state.sent = state.sent.saturating_add(sent.saturating_sub(1));
                }
                if *ran {
                    AttemptEnd::Lost { why: *why }
                } else {
                    AttemptEnd::Refused { why: *why, begun: false }
                }
            }
        };
        self.record_group_end(shard, group, end, step);
    }

    /// Handles a shard that was sent to no upstream: its next attempt counts as a first one.
    fn record_unsent<S: Sink>(&mut self, shard: usize, group: &GroupRequest, step: &mut StepContext<'_, S>) {
        if self.remove_in_flight(shard, group.attempt).is_none() {
            return;
        }
        let state = &mut self.shards[shard];
        state.sent = state.sent.saturating_sub(1);
        state.limit = None;
        if !state.is_open() || state.is_awaited() {
            return;
        }
        if self.is_suspect() {
            self.suspend(shard);
        } else {
            self.start_attempt(shard, Cause::First, step);
        }
    }

    fn record_group_end<S: Sink>(
        &mut self,
        shard: usize,
        group: &GroupRequest,
        end: AttemptEnd,
        step: &mut StepContext<'_, S>,
    ) {
        if let Some(flight) = self.remove_in_flight(shard, group.attempt) {
            self.record_end(shard, flight, end, step);
        }
    }
}
