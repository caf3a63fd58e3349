//! Admission by the queueing delays of shards, and the recording of the delays that other daemons
//! report.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::find::ResolvedRequest;
use super::worker::Worker;
use crate::domain::admission::RoomDecision;
use crate::domain::admission::RoomRequest;
use crate::domain::admission::ShortShard;
use crate::domain::event::Event;
use crate::domain::event::MAX_LEFT_OUT_NAMED;
use crate::domain::event::ShardDelay;
use crate::domain::event::Sink;
use crate::domain::fanout::AnswerRules;
use crate::domain::fanout::GroupRequest;
use crate::domain::routing::Router;
use crate::domain::time::micros;
use crate::domain::view::Plan;
use crate::domain::view::ShardPlan;
use crate::ports::Clock;
use crate::ports::GroupDelay;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// A request is admitted if there is time for this many attempts on a shard, one after the other.
const ATTEMPTS_ALLOWED: u32 = 2;

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Returns the shards of a plan that a request leaves out, by their positions; none where the
    /// index is not scheduled.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before a retry when too few shards have room in time.
    pub(super) fn decide_room(
        &self,
        resolved: &ResolvedRequest,
        plan: &Plan,
        rules: &AnswerRules,
        trace: &mut Trace<C>,
    ) -> Result<Vec<usize>, Duration> {
        let router = self.router.borrow();
        if !router.schedules(&plan.index) {
            return Ok(Vec::new());
        }
        let now = self.ports.clock.now();
        let until = if resolved.late { None } else { rules.cutoff };
        let latency = router.latency(&rules.kind);
        let (mean, slow) = (latency.mean(), latency.slow());
        let request = RoomRequest {
            shards: &plan.shards,
            rank: rules.rank,
            left: until.unwrap_or(rules.deadline).saturating_duration_since(now),
            work: mean / slots(&router, plan),
            // A request that cannot be repeated is not answered in part by plan.
            min_shards: if rules.repeatable {
                rules.min_shards(plan.shards.len())
            } else {
                plan.shards.len()
            },
        };
        // A rank whose share is unused may wait less than a more urgent one. Counting the longest
        // wait of both refuses the less urgent request first all the same.
        let local = |shard: &ShardPlan| router.longest_shard_delay(&shard.shard, rules.rank, now);
        // A fan-out needs nearly all of its shards, so that slow replies decide, and those that are
        // only in time because they were hedged: time for two attempts.
        let usual = |shard: &ShardPlan| slow * ATTEMPTS_ALLOWED + router.nearest_rtt(&shard.replicas);
        let decision = self.shard_room.borrow_mut().decide(&request, local, usual, now);
        match decision {
            RoomDecision::Admit { leave_out } => {
                report_left_out(resolved, plan, &leave_out, trace);
                Ok(leave_out)
            }
            RoomDecision::Refuse { wait, short, longest } => {
                report_refusal(resolved, plan, (short, &longest), trace);
                let mut gates = self.gates.borrow_mut();
                let gate = gates.get_mut(&plan.index);
                Err(gate.map_or(wait, |gate| gate.retry_after_room(rules.rank, wait, now)))
            }
        }
    }

    /// Records the queueing delays that a group's daemon reported: those of the shards that it does
    /// not name are zero.
    pub(super) fn record_delays(&self, plan: &Plan, rank: u32, group: &GroupRequest, delays: &[GroupDelay]) {
        if !self.router.borrow().schedules(&plan.index) {
            return;
        }
        let now = self.ports.clock.now();
        let named: HashMap<usize, u64> = delays.iter().map(|delay| (delay.at, delay.micros)).collect();
        let mut room = self.shard_room.borrow_mut();
        for (at, shard) in group.shards.iter().enumerate() {
            let delay = Duration::from_micros(named.get(&at).copied().unwrap_or(0));
            room.record(&plan.shards[*shard].shard, rank, delay, now);
        }
    }
}

fn report_left_out<C: Clock>(
    resolved: &ResolvedRequest,
    plan: &Plan,
    leave_out: &[usize],
    trace: &mut Trace<C>,
) {
    if leave_out.is_empty() {
        return;
    }
    let named = leave_out.iter().take(MAX_LEFT_OUT_NAMED);
    let shards = named.map(|at| Arc::clone(&plan.shards[*at].shard)).collect();
    let lookup = resolved.plan.name.to_string();
    trace.emit(Event::LeftOut { lookup, count: leave_out.len(), shards });
}

fn report_refusal<C: Clock>(
    resolved: &ResolvedRequest,
    plan: &Plan,
    (count, longest): (usize, &[ShortShard]),
    trace: &mut Trace<C>,
) {
    let named = |short: &ShortShard| ShardDelay {
        shard: Arc::clone(&plan.shards[short.at].shard),
        micros: micros(short.delay),
    };
    let shards = longest.iter().map(named).collect();
    trace.emit(Event::NoShardRoom { lookup: resolved.plan.name.to_string(), count, shards });
}

/// Returns how many requests a replica of a plan's shards runs concurrently.
fn slots(router: &Router, plan: &Plan) -> u32 {
    let first = plan.shards.iter().flat_map(|shard| &shard.replicas).find_map(|name| router.upstream(name));
    first.map_or(1, |upstream| upstream.spec().slots.max(1))
}
