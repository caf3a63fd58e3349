//! Groups of shards of other availability zones, delegated to a daemon near their replicas. What
//! that daemon does with them is in `relay`.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;

use super::attempt::CompletedAttempt;
use super::forward_attempt::TRANSIT_ALLOWANCE;
use super::job::Job;
use super::worker::Worker;
use crate::domain::event::Event;
use crate::domain::fanout::AnswerRules;
use crate::domain::fanout::GroupOutcome;
use crate::domain::fanout::GroupRequest;
use crate::domain::fanout::ShardResult;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::query::OpaqueQuery;
use crate::domain::query::Query;
use crate::domain::reply::OpaqueReply;
use crate::domain::reply::Reply;
use crate::domain::routing::RelayOutcome;
use crate::domain::time::micros;
use crate::domain::view::Plan;
use crate::domain::view::ReplicaLimit;
use crate::ports::Clock;
use crate::ports::Group;
use crate::ports::GroupReply;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// One group in flight. It is taken off its daemon's in-flight count when dropped before it
/// completes, also where its task has not run yet.
struct GroupGuard<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    lookup: Arc<str>,
    group: GroupRequest,
    completed: Cell<bool>,
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for GroupGuard<U, P, C> {
    fn drop(&mut self) {
        if !self.completed.get() {
            self.worker.release_relay(&self.lookup, &self.group, RelayOutcome::Abandoned);
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Delegates a group to its daemon as a task of its own.
    pub(super) fn spawn_group(
        self: &Rc<Self>,
        job: &Job,
        plan: &Arc<Plan>,
        rules: &AnswerRules,
        group: GroupRequest,
        sender: Sender<CompletedAttempt>,
    ) -> Task<()> {
        let message = self.group_message(job, plan, rules, &group);
        job.passed_on.set();
        let job = job.clone();
        let (plan, rank) = (Arc::clone(plan), rules.rank);
        let pending = job.evidence.begin();
        let (worker, lookup) = (Rc::clone(self), Arc::clone(&job.lookup));
        let guard = GroupGuard { worker, lookup, group, completed: Cell::new(false) };
        let task = async move {
            let _pending = pending;
            let GroupGuard { worker: this, group, completed, .. } = &guard;
            let left = job.deadline.saturating_duration_since(this.ports.clock.now());
            let result = this.ports.peers.delegate(&group.host, &message, left + TRANSIT_ALLOWANCE).await;
            completed.set(true);
            let reported = result.as_ref().ok().filter(|reply| !reply.declined);
            if let Some(reply) = reported {
                this.record_delays(&plan, rank, group, &reply.delays);
            }
            let (outcome, end) = this.group_outcome(group, result);
            this.release_relay(&job.lookup, group, outcome);
            this.record_group(&job, group, outcome, &end);
            let _ = sender.try_send(CompletedAttempt::Group(group.clone(), end)).is_ok();
        };
        self.executor.spawn(task)
    }

    fn group_message(&self, job: &Job, plan: &Plan, rules: &AnswerRules, group: &GroupRequest) -> Group {
        let left = job.deadline.saturating_duration_since(self.ports.clock.now());
        let rank = self.router.borrow().schedules(&plan.index).then_some(rules.rank);
        let has_asker = rank.is_some() || !job.requester.is_open();
        let query = match &job.query {
            Query::Opaque(query) => (**query).clone(),
            Query::Json(_) => OpaqueQuery::default(),
        };
        Group {
            from: Arc::clone(&self.settings.host),
            stamp: self.stamp(),
            request: job.request.to_string(),
            lookup: job.lookup.to_string(),
            index: plan.index.to_string(),
            only: replica_limits(group),
            shards: group.shards.iter().map(|at| Arc::clone(&plan.shards[*at].shard)).collect(),
            query,
            most: job.merge.unwrap_or(usize::MAX),
            needed: rules.needed(group.shards.len(), plan.shards.len()),
            remaining: micros(left),
            gather: group.gather_time.map(micros),
            again: rules.repeated,
            possible: Some(rules.min_possible(group.shards.len(), plan.shards.len())),
            suspects: self.reports(&job.work),
            regions: Arc::clone(&job.regions),
            asker: has_asker.then(|| job.requester.clone()),
            rank,
        }
    }

    fn release_relay(&self, lookup: &Arc<str>, group: &GroupRequest, outcome: RelayOutcome) {
        let now = self.ports.clock.now();
        self.router.borrow_mut().relays_mut().end(&group.host, lookup, group.start, outcome, now);
    }

    fn group_outcome(
        &self,
        group: &GroupRequest,
        result: Result<GroupReply, PeerError>,
    ) -> (RelayOutcome, GroupOutcome) {
        let reply = match result {
            Ok(reply) if !reply.declined => reply,
            Ok(_declined) => return (RelayOutcome::Declined, GroupOutcome::NotSent),
            Err(PeerError::Unreachable) => return (RelayOutcome::Silent, GroupOutcome::NotSent),
            Err(PeerError::Silent) => return (RelayOutcome::Silent, GroupOutcome::Silent),
        };
        self.receive_stamp(reply.stamp);
        let total = self.ports.clock.now().saturating_duration_since(group.start);
        let round_trip = total.saturating_sub(Duration::from_micros(reply.took));
        (RelayOutcome::Answered(round_trip), GroupOutcome::Results(shard_results(group, reply)))
    }

    fn record_group(&self, job: &Job, group: &GroupRequest, outcome: RelayOutcome, end: &GroupOutcome) {
        let contributed = match end {
            GroupOutcome::Results(all) => {
                all.iter().filter(|(_, result)| matches!(result, ShardResult::Part(_))).count()
            }
            GroupOutcome::NotSent | GroupOutcome::Silent => 0,
        };
        let round_trip = match outcome {
            RelayOutcome::Answered(round_trip) => micros(round_trip),
            RelayOutcome::Declined | RelayOutcome::Silent | RelayOutcome::Abandoned => 0,
        };
        let took = self.ports.clock.now().saturating_duration_since(group.start);
        let event = Event::GroupEnded {
            to: Arc::clone(&group.host),
            attempt: group.attempt,
            contributed,
            missing: group.shards.len() - contributed,
            micros: micros(took),
            way: round_trip,
        };
        self.record_event(&job.request, event);
    }
}

/// Returns which replicas may be queried, by the shards' positions in the group.
fn replica_limits(group: &GroupRequest) -> Vec<(usize, Vec<UpstreamId>)> {
    let position = |shard: usize| group.shards.iter().position(|other| *other == shard);
    let free = (0..group.free).map(|_| UpstreamId::from(""));
    let names = |fallback: &UpstreamId| std::iter::once(Arc::clone(fallback)).chain(free.clone()).collect();
    group
        .fallbacks
        .iter()
        .filter_map(|(shard, fallback)| Some((position(*shard)?, names(fallback))))
        .collect()
}

/// Returns which replicas may be queried, from their names in a message.
pub(super) fn parse_limit(replicas: &[UpstreamId]) -> ReplicaLimit {
    let (free, named): (Vec<_>, Vec<_>) = replicas.iter().map(Arc::clone).partition(|name| name.is_empty());
    ReplicaLimit { named, free: u32::try_from(free.len()).unwrap_or(u32::MAX) }
}

/// Assigns a reply to the shards of the group, each once. The merged records go with the first
/// part.
fn shard_results(group: &GroupRequest, reply: GroupReply) -> Vec<(usize, ShardResult)> {
    let mut records = Some(reply.records.into_vec());
    let mut all: Vec<Option<ShardResult>> = group.shards.iter().map(|_| None).collect();
    for part in reply.parts {
        let Some(slot) = all.get_mut(part.at).filter(|slot| slot.is_none()) else { continue };
        let body = records.take().unwrap_or_default();
        let reply = OpaqueReply {
            status: 200,
            body: body.into(),
            signature: Some(part.signature),
            ..Default::default()
        };
        *slot = Some(ShardResult::Part(Reply::Opaque(Arc::new(reply))));
    }
    for gap in reply.missing {
        let Some(slot) = all.get_mut(gap.at).filter(|slot| slot.is_none()) else { continue };
        *slot = Some(ShardResult::Missing { why: gap.why, ran: gap.ran, sent: gap.sent });
    }
    let absent = ShardResult::Missing { why: Gap::ReplyLost, ran: true, sent: u32::MAX };
    let indexes = group.shards.iter().copied();
    indexes.zip(all.into_iter().map(|result| result.unwrap_or_else(|| absent.clone()))).collect()
}
