//! The limit that a planned stop of the daemon sets to a fan-out.

use std::time::Instant;

use super::context::StepContext;
use super::machine::Fanout;
use super::shard::Shard;
use crate::domain::event::Sink;
use crate::domain::routing::Router;
use crate::domain::stop::StopSchedule;

/// How a planned stop limits a fan-out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StopLimit {
    /// When the fan-out ends if no upstream has its request: no reply could be in time any more.
    begin_until: Option<Instant>,
    /// When the fan-out ends in any case.
    run_until: Option<Instant>,
    /// Whether the fan-out was ended for one of these reasons.
    pub reached: bool,
}

impl Fanout {
    /// Limits the fan-out to what a planned stop leaves time for.
    pub fn limit_to_stop(&mut self, schedule: StopSchedule, router: &Router) {
        let shortest = router.latency(&self.rules.kind).shortest();
        self.stop.begin_until = Some(schedule.begin_until(shortest));
        self.stop.run_until = Some(schedule.run_until());
        self.rules.deadline = self.rules.deadline.min(schedule.run_until());
    }

    /// Ends a fan-out that has not started if a planned stop leaves it no time; returns whether it
    /// did.
    pub fn end_if_stopped(&mut self, now: Instant, router: &mut Router, sink: &mut impl Sink) -> bool {
        let is_stopped = self.is_stopped(now);
        if is_stopped {
            self.end_for_stop(&mut StepContext::new(now, router, sink));
        }
        is_stopped
    }

    pub(super) fn end_for_stop<S: Sink>(&mut self, step: &mut StepContext<'_, S>) {
        self.stop.reached = true;
        self.cut_answer(step);
    }

    /// Returns whether a planned stop ends the fan-out now.
    pub(super) fn is_stopped(&self, now: Instant) -> bool {
        let is_past = |limit: Option<Instant>| limit.is_some_and(|limit| now >= limit);
        is_past(self.stop.run_until) || (is_past(self.stop.begin_until) && self.is_nowhere())
    }

    /// Returns when a planned stop ends the fan-out if nothing changes until then.
    pub(super) fn stop_due(&self) -> Option<Instant> {
        if self.is_nowhere() { self.stop.begin_until } else { self.stop.run_until }
    }

    /// Returns whether no upstream has the request, or may have run it.
    fn is_nowhere(&self) -> bool {
        let is_unsent = self.groups.is_empty() && !self.shards.iter().any(Shard::may_have_run);
        is_unsent && !self.is_answered()
    }
}
