//! Shards that are left out of a fan-out before anything is sent, since they cannot answer in time.

use super::context::StepContext;
use super::machine::Fanout;
use crate::domain::event::Sink;
use crate::domain::outcome::Gap;
use crate::domain::view::ShardPlan;

impl Fanout {
    /// Closes the shards that the rules leave out.
    pub(super) fn leave_out<S: Sink>(&mut self, step: &mut StepContext<'_, S>) {
        for shard in self.rules.left_out.clone() {
            if self.shards.get(shard).is_some_and(super::shard::Shard::is_open) {
                self.close(shard, Gap::Overloaded, step);
            }
        }
    }

    /// Returns the shards that nothing was sent for yet, with their positions in the plan.
    pub(super) fn open_shards(&self) -> impl Iterator<Item = (usize, &ShardPlan)> {
        let plans = self.plan.shards.iter().enumerate();
        plans.zip(&self.shards).filter(|(_, state)| state.is_untried()).map(|(plan, _)| plan)
    }
}
