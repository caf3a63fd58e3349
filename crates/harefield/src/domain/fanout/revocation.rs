//! Ends the groups of a fan-out whose answer is out of reach.

use super::context::StepContext;
use super::group_request::GroupRequest;
use super::machine::Fanout;
use super::shard::Action;
use crate::domain::event::Event;
use crate::domain::event::Sink;

impl Fanout {
    /// Revokes all groups in flight if the index is scheduled, so that their daemons cancel their
    /// attempts. Otherwise a request that has failed would use up slots until its deadline.
    pub(super) fn revoke_all<S: Sink>(&mut self, step: &mut StepContext<'_, S>) {
        if !step.router.schedules(&self.plan.index) {
            return;
        }
        for group in std::mem::take(&mut self.groups) {
            if !self.is_in_flight(&group) {
                continue;
            }
            step.emit(Event::GroupRevoked { from: group.host, attempt: group.attempt });
            step.actions.push(Action::Revoke(group.attempt));
        }
    }

    /// Returns whether a group has no outcome yet.
    fn is_in_flight(&self, group: &GroupRequest) -> bool {
        let in_group =
            |shard: &usize| self.shards[*shard].in_flight.iter().any(|f| f.attempt == group.attempt);
        group.shards.iter().any(in_group)
    }
}
