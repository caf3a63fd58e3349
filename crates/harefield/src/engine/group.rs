//! Groups of shards of other availability zones, handed to a daemon beside their
//! replicas; what that daemon does with them stands in `relay`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;

use super::attempt::Landed;
use super::handing::TRAVEL;
use super::job::Job;
use super::worker::Worker;
use crate::domain::event::Event;
use crate::domain::fanout::Brought;
use crate::domain::fanout::GroupEnd;
use crate::domain::fanout::Hand;
use crate::domain::fanout::Rules;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::query::OpaqueQuery;
use crate::domain::query::Query;
use crate::domain::reply::OpaqueReply;
use crate::domain::reply::Reply;
use crate::domain::routing::RelayVerdict;
use crate::domain::time::micros;
use crate::domain::view::Plan;
use crate::domain::view::ReplicaLimit;
use crate::ports::Clock;
use crate::ports::Group;
use crate::ports::GroupReply;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Batch;

/// A group under way, which is taken off its daemon's account when its task is
/// dropped half-way.
struct Underway<'a, U: Upstreams, P: Peers, C: Clock> {
    worker: &'a Worker<U, P, C>,
    kind: &'a Arc<str>,
    hand: &'a Hand,
    settled: bool,
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for Underway<'_, U, P, C> {
    fn drop(&mut self) {
        if !self.settled {
            self.worker.end_relay(self.kind, self.hand, RelayVerdict::Abandoned);
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Hands a group to its daemon as a task of its own.
    pub(super) fn launch_group(
        self: &Rc<Self>,
        job: &Job,
        plan: &Arc<Plan>,
        rules: &Rules,
        hand: Hand,
        sender: Sender<Landed>,
    ) -> Task<()> {
        let message = self.group_message(job, plan, rules, &hand);
        let (this, job) = (Rc::clone(self), job.clone());
        let out = job.shown.begin();
        let task = async move {
            let _out = out;
            let mut underway = Underway { worker: &this, kind: &job.kind, hand: &hand, settled: false };
            let left = job.deadline.saturating_duration_since(this.ports.clock.now());
            let result = this.ports.peers.delegate(&hand.host, &message, left + TRAVEL).await;
            underway.settled = true;
            let (verdict, end) = this.group_end(&hand, result);
            this.end_relay(&job.kind, &hand, verdict);
            this.note_group(&job, &hand, verdict, &end);
            let _ = sender.try_send(Landed::Group(hand.clone(), end)).is_ok();
        };
        self.executor.spawn(task)
    }

    fn group_message(&self, job: &Job, plan: &Plan, rules: &Rules, hand: &Hand) -> Group {
        let left = job.deadline.saturating_duration_since(self.ports.clock.now());
        let query = match &job.query {
            Query::Opaque(query) => (**query).clone(),
            Query::Json(_) => OpaqueQuery::default(),
        };
        Group {
            from: Arc::clone(&self.settings.host),
            stamp: self.stamp(),
            request: job.request.to_string(),
            lookup: job.kind.to_string(),
            index: plan.index.to_string(),
            only: limits(hand),
            shards: hand.shards.iter().map(|at| Arc::clone(&plan.shards[*at].shard)).collect(),
            query,
            most: job.merge.unwrap_or(usize::MAX),
            needed: rules.needed(hand.shards.len(), plan.shards.len()),
            remaining: micros(left),
            gather: hand.gather.map(micros),
            again: rules.again,
            possible: Some(rules.possible(hand.shards.len(), plan.shards.len())),
            suspects: self.reports(&job.work),
            regions: Arc::clone(&job.regions),
            asker: job.asker.clone(),
        }
    }

    fn end_relay(&self, kind: &Arc<str>, hand: &Hand, verdict: RelayVerdict) {
        let now = self.ports.clock.now();
        self.router.borrow_mut().relays_mut().end(&hand.host, kind, hand.start, verdict, now);
    }

    fn group_end(&self, hand: &Hand, result: Result<GroupReply, PeerError>) -> (RelayVerdict, GroupEnd) {
        let reply = match result {
            Ok(reply) if !reply.declined => reply,
            Ok(_declined) => return (RelayVerdict::Declined, GroupEnd::NotSent),
            Err(PeerError::Unreachable) => return (RelayVerdict::Silent, GroupEnd::NotSent),
            Err(PeerError::Silent) => return (RelayVerdict::Silent, GroupEnd::Silent),
        };
        self.receive(reply.stamp);
        let total = self.ports.clock.now().saturating_duration_since(hand.start);
        let way = total.saturating_sub(Duration::from_micros(reply.took));
        (RelayVerdict::Answered(way), GroupEnd::Brought(brought(hand, reply)))
    }

    fn note_group(&self, job: &Job, hand: &Hand, verdict: RelayVerdict, end: &GroupEnd) {
        let parts = match end {
            GroupEnd::Brought(all) => {
                all.iter().filter(|(_, brought)| matches!(brought, Brought::Part(_))).count()
            }
            GroupEnd::NotSent | GroupEnd::Silent => 0,
        };
        let way = match verdict {
            RelayVerdict::Answered(way) => micros(way),
            RelayVerdict::Declined | RelayVerdict::Silent | RelayVerdict::Abandoned => 0,
        };
        let took = self.ports.clock.now().saturating_duration_since(hand.start);
        let event = Event::GroupEnded {
            to: Arc::clone(&hand.host),
            attempt: hand.attempt,
            contributed: parts,
            missing: hand.shards.len() - parts,
            micros: micros(took),
            way,
        };
        let request = Some(Arc::clone(&job.request));
        self.telemetry.send(Batch { request, events: vec![(self.stamp(), event)] });
    }
}

/// Returns which replicas may be asked, by the shards' places in the group.
fn limits(hand: &Hand) -> Vec<(usize, Vec<UpstreamId>)> {
    let place = |shard: usize| hand.shards.iter().position(|other| *other == shard);
    let free = (0..hand.free).map(|_| UpstreamId::from(""));
    let names = |fallback: &UpstreamId| std::iter::once(Arc::clone(fallback)).chain(free.clone()).collect();
    hand.fallbacks.iter().filter_map(|(shard, fallback)| Some((place(*shard)?, names(fallback)))).collect()
}

/// Returns which replicas may be asked, from their names in a message.
pub(super) fn limit_of(replicas: &[UpstreamId]) -> ReplicaLimit {
    let (free, named): (Vec<_>, Vec<_>) = replicas.iter().map(Arc::clone).partition(|name| name.is_empty());
    ReplicaLimit { named, free: u32::try_from(free.len()).unwrap_or(u32::MAX) }
}

/// Sorts a reply by the shards of the group, each once. The merged records go
/// with the first part.
fn brought(hand: &Hand, reply: GroupReply) -> Vec<(usize, Brought)> {
    let mut records = Some(reply.records.into_vec());
    let mut all: Vec<Option<Brought>> = hand.shards.iter().map(|_| None).collect();
    for part in reply.parts {
        let Some(slot) = all.get_mut(part.at).filter(|slot| slot.is_none()) else { continue };
        let body = records.take().unwrap_or_default();
        let reply = OpaqueReply {
            status: 200,
            body: body.into(),
            signature: Some(part.signature),
            ..Default::default()
        };
        *slot = Some(Brought::Part(Reply::Opaque(Arc::new(reply))));
    }
    for gap in reply.missing {
        let Some(slot) = all.get_mut(gap.at).filter(|slot| slot.is_none()) else { continue };
        *slot = Some(Brought::Missing { why: gap.why, ran: gap.ran, sent: gap.sent });
    }
    let unsaid = Brought::Missing { why: Gap::ReplyLost, ran: true, sent: u32::MAX };
    let places = hand.shards.iter().copied();
    places.zip(all.into_iter().map(|brought| brought.unwrap_or_else(|| unsaid.clone()))).collect()
}
