//! Groups of shards taken from daemons of other availability zones: this daemon asks
//! their replicas beside it, and answers with the merged records.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::find::Found;
use super::group::limit_of;
use super::job::Job;
use super::job::Shown;
use super::worker::Worker;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::Finished;
use crate::domain::fanout::Rules;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::merge::greatest;
use crate::domain::outcome::Gap;
use crate::domain::query::Query;
use crate::domain::ratio;
use crate::domain::residency::Residency;
use crate::domain::suspects::Standing;
use crate::domain::time::micros;
use crate::domain::view::Plan;
use crate::domain::work::Work;
use crate::ports::Clock;
use crate::ports::Group;
use crate::ports::GroupGap;
use crate::ports::GroupPart;
use crate::ports::GroupReply;
use crate::ports::Peers;
use crate::ports::Upstreams;

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Takes a group from another daemon: asks its shards, and answers with what
    /// they brought when its time is up.
    ///
    /// It passes no gate: its request has passed that of the daemon it came to, and waiting
    /// at a second one took what was left of its time. Over 15 played days credit of the
    /// kind with the shortest objective rose from 0.899 to 0.908. Only a daemon that runs
    /// all that it may run at once declines.
    ///
    /// Dropping the future gives the group up, as when that daemon goes away.
    pub async fn group(self: &Rc<Self>, mut group: Group) -> GroupReply {
        let start = self.ports.clock.now();
        self.receive(group.stamp);
        let mut trace = self.request_trace(Some(&group.request));
        self.hear_reports(&group.suspects);
        let query = Query::Opaque(Arc::new(std::mem::take(&mut group.query)));
        let work = Work::new(&group.lookup, group.asker.account.as_ref(), &query);
        trace.emit(Event::GroupTaken {
            from: Arc::clone(&group.from),
            work: work.exact,
            shards: group.shards.len(),
            gather: group.gather,
        });
        let Some((found, plan)) = self.find_group(&group, work, start) else {
            return self.declined();
        };
        if self.running() >= self.settings.gate.running {
            return self.declined();
        }
        if matches!(self.standing(&work), Standing::Withheld(_)) {
            return self.withheld(group.shards.len());
        }
        let _progress = self.progress(None);
        let job = Job {
            request: group.request.as_str().into(),
            kind: Arc::clone(&found.plan.name),
            query,
            deadline: found.deadline,
            work,
            once: false,
            merge: Some(group.most),
            regions: Arc::clone(&group.regions),
            asker: group.asker.clone(),
            whole: false,
            shown: Shown::default(),
        };
        let least_share = ratio(group.needed, group.shards.len());
        let rules = Rules {
            least_share,
            possible: group.possible,
            grouped: false,
            again: group.again,
            trials: 0,
            ..self.rules(&found, self.overruns.groups.get(), Duration::ZERO)
        };
        let ended = self.fan_out(&job, &plan, &rules, 0, (&mut None, &mut trace)).await;
        self.learn_overrun(&self.overruns.groups, &rules);
        let took = self.ports.clock.now().saturating_duration_since(start);
        self.group_reply(&group.shards, &ended.finished, group.most, took)
    }

    fn declined(&self) -> GroupReply {
        GroupReply { stamp: self.stamp(), declined: true, ..GroupReply::default() }
    }

    /// Answers a group that may not run: the daemon that handed it on asks nobody else for it.
    fn withheld(&self, shards: usize) -> GroupReply {
        let gap = |at| GroupGap { at, why: Gap::Withheld, ran: false, sent: u32::MAX };
        GroupReply { stamp: self.stamp(), missing: (0..shards).map(gap).collect(), ..GroupReply::default() }
    }

    /// Finds the plan of a group; none where this daemon holds another view of
    /// the lookup's shards, does not trust its own, or is stopping.
    fn find_group(&self, group: &Group, work: Work, start: Instant) -> Option<(Found, Arc<Plan>)> {
        let now = self.ports.clock.now();
        if self.is_stopping() || !self.router.borrow().lease().held(now) {
            return None;
        }
        let view = self.view.borrow();
        let plan = view.lookups.get(group.lookup.as_str())?;
        if !group.asker.checked && view.directory.is_required() {
            return None;
        }
        let parts = plan.parts.iter().map(|part| &part.plan);
        let plan = std::iter::once(plan).chain(parts).find(|plan| plan.lookup.index == group.index)?;
        let limits = group.only.iter().map(|(at, names)| (*at, limit_of(names)));
        let shards = self.narrow(plan.group(&group.shards, limits)?, &group.regions);
        let found = Found {
            plan: Arc::clone(plan),
            work,
            start,
            deadline: start + Duration::from_micros(group.remaining).saturating_sub(self.held_up()),
            objective: group.gather.map(|time| start + Duration::from_micros(time)),
            again: group.again,
            late: false,
            asker: group.asker.clone(),
            regions: Arc::clone(&group.regions),
        };
        Some((found, Arc::new(shards)))
    }

    /// Leaves the replicas out of a plan that stand in other regions than those named.
    pub(super) fn narrow(&self, plan: Plan, regions: &[Arc<str>]) -> Plan {
        let residency = Residency::new(regions);
        if !residency.is_restricted() {
            return plan;
        }
        let router = self.router.borrow();
        let region = |name: &UpstreamId| Some(router.region_of(&router.searcher(name)?.spec().zone));
        plan.narrowed(|name| residency.allows(region(name).as_ref()))
    }

    fn group_reply(
        &self,
        shards: &[ShardId],
        finished: &Finished,
        most: usize,
        took: Duration,
    ) -> GroupReply {
        let bodies = finished.parts.iter().filter_map(|part| part.reply.opaque()).map(|reply| &*reply.body);
        let records = greatest(bodies, most);
        let place = |shard: &ShardId| shards.iter().position(|name| name == shard);
        let parts = finished.parts.iter().filter_map(|part| {
            let signature = part.reply.opaque()?.signature.as_ref().map(Arc::clone)?;
            Some(GroupPart { at: place(&part.shard)?, signature })
        });
        let missing = finished.coverage.missing.iter().zip(&finished.sent).filter_map(|(missing, sent)| {
            Some(GroupGap { at: place(&missing.shard)?, why: missing.why, ran: missing.ran, sent: *sent })
        });
        GroupReply {
            stamp: self.stamp(),
            declined: false,
            took: micros(took),
            parts: parts.collect(),
            missing: missing.collect(),
            records: serde_bytes::ByteBuf::from(records),
        }
    }
}
