//! Groups of far shards that are handed to a daemon beside their replicas.
//!
//! One message and one merged answer cross between zones in place of one
//! request and one reply a shard. A group is a first attempt on each of its
//! shards; what the daemon brings of them counts as their contributions, and
//! what it does not bring is tried directly, within the attempts and budgets. No
//! shard is asked directly while its group is out: the group's records are
//! merged, so its parts count together or not at all.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::hand::Brought;
use super::hand::GroupEnd;
use super::hand::Hand;
use super::machine::Fanout;
use super::shard::Action;
use super::shard::AttemptEnd;
use super::shard::Flight;
use super::shard::Hedge;
use super::step::Step;
use crate::domain::event::Cause;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::routing::Assignment;
use crate::domain::routing::DelegationLimits;
use crate::domain::routing::PendingShard;
use crate::domain::routing::RelayOutcome;
use crate::domain::routing::Router;
use crate::domain::routing::assign_shards;
use crate::domain::view::ReplicaLimit;
use crate::domain::view::ShardPlan;

/// The fewest shards that are worth handing on: one alone costs as many bytes
/// either way, and a hop more.
const LEAST_GROUP: usize = 2;

/// A group without an objective is revoked after this many times its slow pace:
/// what is slow there is hedged there, so only a daemon that is gone shows here.
const REVOKE_FACTOR: f64 = 1.6;

/// A daemon has at least this long, the way aside: longer than the users'
/// searchers usually take, and than one hedge there.
const LEAST_PATIENCE: Duration = Duration::from_millis(50);

/// A group with an objective is overdue this long after it, besides one more way there and
/// back: a connection to its daemon that had to be opened takes that.
const OVERDUE: Duration = Duration::from_millis(10);

/// How long an overdue group is awaited whose shards cannot be asked again, since no
/// budget pays for it: as long as daemons wait before they take one for silent.
const LOST: Duration = Duration::from_millis(150);

/// How often an overdue group is looked at again.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// The pause between revoking a group and asking its shards directly: the
/// daemon, if it lives, is to end its own attempts first.
const REVOKE_PAUSE: Duration = Duration::from_millis(3);

impl Fanout {
    /// Hands shards on in groups: far ones to daemons beside their replicas, and a part of
    /// the others where they are too many for this daemon; returns those that are left.
    pub(super) fn hand_on<S: Sink>(&mut self, step: &mut Step<'_, S>) -> Vec<usize> {
        if !self.rules.grouped {
            return (0..self.shards.len()).collect();
        }
        let (regions, mut direct) = self.by_region(step);
        for (region, wanted) in regions {
            direct.extend(self.share_out(&region, wanted, step));
        }
        direct.sort_unstable();
        direct
    }

    /// Sorts the shards by the region of their nearest replicas; those that are far from
    /// any daemon to hand them to are returned by themselves.
    fn by_region<S: Sink>(
        &self,
        step: &mut Step<'_, S>,
    ) -> (BTreeMap<Arc<str>, Vec<PendingShard>>, Vec<usize>) {
        let own = Arc::clone(step.router.local_zone());
        let home = step.router.region_of(&own);
        let typical = step.router.latency(&self.rules.kind).mean().as_secs_f64();
        let mut regions: BTreeMap<Arc<str>, Vec<PendingShard>> = BTreeMap::new();
        let mut away: BTreeMap<usize, Vec<Arc<str>>> = BTreeMap::new();
        for (at, ShardPlan { shard, replicas, .. }) in self.plan.shards.iter().enumerate() {
            if let Some(found) = step.router.remote_zones(replicas, typical, step.now) {
                away.insert(at, found);
                continue;
            }
            let wanted = PendingShard { index: at, shard: Arc::clone(shard), zone: Arc::clone(&own) };
            regions.entry(Arc::clone(&home)).or_default().push(wanted);
        }
        while let Some((zone, shards)) = largest(&away, &self.plan.index, &self.rules.kind, step) {
            let held = regions.entry(step.router.region_of(&zone)).or_default();
            for at in shards {
                away.remove(&at);
                held.push(PendingShard { index: at, shard: self.name(at), zone: Arc::clone(&zone) });
            }
        }
        (regions, away.into_keys().collect())
    }

    /// Shares the shards of a region out among the daemons there, or hands those of each
    /// other availability zone to one daemon beside them; returns this daemon's own part.
    fn share_out<S: Sink>(
        &mut self,
        region: &str,
        wanted: Vec<PendingShard>,
        step: &mut Step<'_, S>,
    ) -> Vec<usize> {
        let carriers = step.router.delegates(&self.plan.index, region, &self.rules.kind, step.now);
        let most = usize::try_from(self.rules.attempts).unwrap_or(usize::MAX);
        let affinity = wanted.iter().any(|wanted| self.plan.shards[wanted.index].replicas.len() > most);
        let allowance = self.allowance(step).map(|allowance| DelegationLimits { affinity, ..allowance });
        let portions = allowance.and_then(|allowance| assign_shards(&wanted, &carriers, allowance));
        let Some(portions) = portions else { return self.hand_by_zone(wanted, step) };
        let mut own = Vec::new();
        for Assignment { delegate: carrier, shards } in portions {
            if carrier.local {
                own = shards.into_iter().map(|wanted| wanted.index).collect();
            } else {
                self.hand(Arc::clone(&carrier.host), shards, step);
            }
        }
        own
    }

    /// Returns how much this daemon may ask by itself; none without an objective.
    fn allowance<S: Sink>(&self, step: &Step<'_, S>) -> Option<DelegationLimits> {
        let left = self.rules.objective?.saturating_duration_since(self.rules.start);
        Some(DelegationLimits::new(step.router.shard_time(), left))
    }

    fn hand_by_zone<S: Sink>(&mut self, wanted: Vec<PendingShard>, step: &mut Step<'_, S>) -> Vec<usize> {
        let mut zones: BTreeMap<Arc<str>, Vec<PendingShard>> = BTreeMap::new();
        for shard in wanted {
            zones.entry(Arc::clone(&shard.zone)).or_default().push(shard);
        }
        let mut own = Vec::new();
        for (zone, shards) in zones {
            let near = zone == *step.router.local_zone();
            let relay =
                (!near).then(|| step.router.pick_relay(&self.plan.index, &zone, &self.rules.kind, step.now));
            match relay.flatten() {
                Some(host) => self.hand(host, shards, step),
                None => own.extend(shards.into_iter().map(|wanted| wanted.index)),
            }
        }
        own
    }

    /// Hands shards to a daemon.
    fn hand<S: Sink>(&mut self, host: HostId, wanted: Vec<PendingShard>, step: &mut Step<'_, S>) {
        let (attempt, start) = (self.next, step.now);
        self.next += 1;
        let way = step.router.relays().rtt_of(&host);
        let gather = self.rules.cut.map(|cut| cut.saturating_duration_since(start).saturating_sub(way));
        let slow = step.router.relays().latency(&self.rules.kind).slow().mul_f64(REVOKE_FACTOR);
        let slow = slow.max(way + LEAST_PATIENCE);
        let due = self.rules.objective.map(|objective| objective.saturating_duration_since(start));
        let due = due.map_or(slow, |due| due + way + OVERDUE);
        let revoke = start + due.max(way + LEAST_PATIENCE);
        let lost = revoke + LOST;
        let fallbacks = self.choose_fallbacks(&wanted, step);
        let shards: Vec<usize> = wanted.into_iter().map(|wanted| wanted.index).collect();
        step.router.relays_mut().begin(&host, start);
        for shard in &shards {
            let state = &mut self.shards[*shard];
            state.sent += 1;
            state.hedge = Hedge::Due(revoke);
            state.flights.push(Flight { attempt, upstream: Arc::clone(&host), start, cause: Cause::First });
        }
        step.emit(Event::GroupSent { to: Arc::clone(&host), shards: shards.len(), attempt });
        let free = self.rules.attempts.saturating_sub(1);
        let hand = Hand { host, attempt, shards, start, fallbacks, free, gather, lost };
        self.handed.push(hand.clone());
        step.actions.push(Action::Hand(hand));
    }

    /// Chooses a fallback for each shard with more replicas than attempts, which this daemon
    /// asks where the group fails. Which replica to ask first is left to the daemon that the
    /// group goes to: it carries nearly all of the shard's requests, and sees who rejects.
    fn choose_fallbacks<S: Sink>(
        &mut self,
        wanted: &[PendingShard],
        step: &Step<'_, S>,
    ) -> Vec<(usize, UpstreamId)> {
        let most = usize::try_from(self.rules.attempts).unwrap_or(usize::MAX);
        let mut all = Vec::new();
        for PendingShard { index: at, zone, .. } in wanted {
            let replicas = &self.plan.shards[*at].replicas;
            if replicas.len() > most
                && let Some(best) = step.router.best_replica(replicas, zone, step.now)
            {
                self.shards[*at].limit = Some(ReplicaLimit { named: vec![Arc::clone(&best)], free: 0 });
                all.push((*at, best));
            }
        }
        all
    }

    /// Takes a group back from a daemon that does not answer, and asks its
    /// shards directly; returns whether the shard was in a group.
    ///
    /// A group whose shards cannot be paid for again is awaited longer: without it the
    /// request fails, and its caller has to send the whole of it once more. Over 15
    /// played days of eight daemons the credit of all requests rose from 0.904 to 0.916
    /// by this and by awaiting a connection. So is one whose shards this daemon cannot ask
    /// in time beside those that it took back already: where most groups are overdue the
    /// backlog is on this side, and another hundred requests make it longer.
    pub(super) fn revoke<S: Sink>(&mut self, shard: usize, step: &mut Step<'_, S>) -> bool {
        let holds = |hand: &Hand| self.shards[shard].flights.iter().any(|f| f.attempt == hand.attempt);
        let Some(at) = self.handed.iter().position(holds) else { return false };
        if step.now < self.handed[at].lost && !self.replaceable(at, step) {
            for shard in &self.handed[at].shards {
                self.shards[*shard].hedge = Hedge::Due(step.now + LOOK_EVERY);
            }
            return true;
        }
        let hand = self.handed.swap_remove(at);
        step.router.relays_mut().end(
            &hand.host,
            &self.rules.kind,
            hand.start,
            RelayOutcome::Silent,
            step.now,
        );
        step.emit(Event::GroupRevoked { from: Arc::clone(&hand.host), attempt: hand.attempt });
        self.note_lost(Gap::ReplyLost);
        for shard in hand.shards.iter().copied() {
            if self.land(shard, hand.attempt).is_none() {
                continue;
            }
            let state = &mut self.shards[shard];
            state.ran = true;
            state.hedge = Hedge::Off;
            if state.is_open() && !state.is_awaited() {
                state.retry_at = Some(step.now + REVOKE_PAUSE);
            }
        }
        step.actions.push(Action::Revoke(hand.attempt));
        true
    }

    /// Says whether enough shards make an answer without a group, counting those of its
    /// shards whose retries are paid for; and whether this daemon can ask them.
    fn replaceable<S: Sink>(&self, at: usize, step: &mut Step<'_, S>) -> bool {
        let hand = &self.handed[at];
        let taken_back = self.shards.iter().filter(|shard| shard.retry_at.is_some()).count();
        let asked = hand.shards.len() + taken_back;
        let capacity = u64::from(step.router.local().capacity);
        if self.allowance(step).is_some_and(|allowance| !allowance.allows(asked, capacity)) {
            return false;
        }
        let mut expected = 0;
        for (number, shard) in self.shards.iter().enumerate() {
            let counts = if hand.shards.contains(&number) {
                self.may_send(number) && step.router.budget(&self.plan.shards[number].shard).can_retry()
            } else {
                shard.part.is_some() || shard.is_open()
            };
            expected += usize::from(counts);
        }
        expected >= self.rules.least(self.shards.len())
    }

    /// Takes the end of a group.
    pub fn on_group_end(
        &mut self,
        hand: &Hand,
        end: &GroupEnd,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
    ) -> Vec<Action> {
        let mut step = Step::new(now, router, sink);
        match end {
            GroupEnd::Brought(all) => {
                for (shard, brought) in all {
                    self.take_brought(*shard, hand, brought, &mut step);
                }
            }
            GroupEnd::NotSent => {
                for shard in &hand.shards {
                    self.take_unsent(*shard, hand, &mut step);
                }
            }
            GroupEnd::Silent => {
                let lost = AttemptEnd::Lost { why: Gap::ReplyLost };
                for shard in &hand.shards {
                    self.end_in_group(*shard, hand, lost.clone(), &mut step);
                }
            }
        }
        self.settle_held(&mut step);
        step.actions
    }

    fn take_brought<S: Sink>(
        &mut self,
        shard: usize,
        hand: &Hand,
        brought: &Brought,
        step: &mut Step<'_, S>,
    ) {
        let end = match brought {
            Brought::Part(reply) => AttemptEnd::Answered(reply.clone()),
            Brought::Missing { ran: false, sent: 0, .. } => return self.take_unsent(shard, hand, step),
            Brought::Missing { why, ran, sent } => {
                // What the daemon sent counts among the shard's attempts.
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
        self.end_in_group(shard, hand, end, step);
    }

    /// Takes a shard that nothing was sent for: it is asked as for the first time.
    fn take_unsent<S: Sink>(&mut self, shard: usize, hand: &Hand, step: &mut Step<'_, S>) {
        if self.land(shard, hand.attempt).is_none() {
            return;
        }
        let state = &mut self.shards[shard];
        state.sent = state.sent.saturating_sub(1);
        state.limit = None;
        if !state.is_open() || state.is_awaited() {
            return;
        }
        if self.is_suspect() {
            self.hold(shard);
        } else {
            self.attempt(shard, Cause::First, step);
        }
    }

    fn end_in_group<S: Sink>(&mut self, shard: usize, hand: &Hand, end: AttemptEnd, step: &mut Step<'_, S>) {
        if let Some(flight) = self.land(shard, hand.attempt) {
            self.take_end(shard, flight, end, step);
        }
    }
}

/// Returns the zone in which most far shards have replicas, with those
/// shards; none where no zone has enough. Which of equals is drawn.
fn largest<S: Sink>(
    zones: &BTreeMap<usize, Vec<Arc<str>>>,
    index: &str,
    kind: &Arc<str>,
    step: &mut Step<'_, S>,
) -> Option<(Arc<str>, Vec<usize>)> {
    let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for zone in zones.values().flatten() {
        *counts.entry(zone).or_default() += 1;
    }
    let usable = step.router.relay_zones(index, kind, step.now);
    counts.retain(|zone, count| *count >= LEAST_GROUP && usable.contains(zone));
    let most = counts.values().copied().max()?;
    let equal: Vec<&Arc<str>> =
        counts.iter().filter(|(_, count)| **count == most).map(|(zone, _)| *zone).collect();
    let zone = Arc::clone(equal[step.router.draw_below(equal.len())]);
    let held = zones.iter().filter(|(_, held)| held.contains(&zone));
    let shards = held.map(|(shard, _)| *shard).collect();
    Some((zone, shards))
}
