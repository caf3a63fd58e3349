//! How a wide fan-out is shared out among daemons.
//!
//! The load pattern: a request over some hundred shards that comes to a daemon with a
//! small part of a core, while the daemons beside it have nothing to do. Choosing,
//! sending, reading and checking take each shard's time in turn there, so that the last
//! request leaves, and the first reply is read, when much of the objective is gone. On a
//! played day of 18 daemons with 0.12 cores each and 180 shards, sharing raised credit of
//! all requests from 0.70 to 0.88, and of the kind with an objective of 100 ms from 0.28
//! to 0.66.
//!
//! Where shards have more replicas than a request may ask, a fan-out is shared whatever it
//! takes: a shard's requests then go to the same daemon, which sees soon which replicas reject.
//! Where any of four daemons of a zone carries such a fan-out alone, each of them sees a
//! quarter of the rejections.
//!
//! Else the limit is a small part of the objective: what one daemon sends within it, it sends
//! alone, since each further daemon costs a message, bytes and a hop. Beyond it the
//! daemons beside the replicas share, and if they are too few for it those of the region.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::domain::cell::weight;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;

/// The part of an objective that sending a fan-out may take, in percent.
///
/// At a tenth a fan-out over 20 shards stays with one daemon of a quarter of a core and
/// an objective of 100 ms.
const SENDING_PERCENT: u32 = 10;

/// Fan-outs over fewer shards are not shared: 30 take a quarter of a core some 7 ms, of
/// which two messages and a hop would leave little to save.
const NARROW: usize = 40;

/// What handing a group on and taking its answer in costs, in shards.
const GROUP_COST: usize = 4;

/// The fewest shards that are worth a message: what it costs by itself.
const LEAST_PART: usize = GROUP_COST;

/// The most daemons beside the replicas, and of the rest of the region, that share a
/// fan-out: each one more takes less off than the one before, and costs the sender the
/// same.
const MOST_SHARERS: usize = 8;

/// A daemon that may take a part of a fan-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The daemon.
    pub host: HostId,
    /// Whether it is this one.
    pub local: bool,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// A shard that is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingShard {
    /// Its place in the plan.
    pub index: usize,
    /// Its name.
    pub shard: ShardId,
    /// The availability zone of the replicas that are to be asked.
    pub zone: Arc<str>,
}

/// What one daemon takes of a fan-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment<'a> {
    /// The daemon.
    pub delegate: &'a Delegate,
    /// Its shards.
    pub shards: Vec<PendingShard>,
}

/// What sharing is weighed by.
#[derive(Clone, Copy, Debug)]
pub struct DelegationLimits {
    /// The time that one shard takes on a whole core.
    pub shard_time: Duration,
    /// How long sending may take.
    pub send_limit: Duration,
    /// Whether a shard's requests are to go to the same daemon, whoever sends them.
    pub affinity: bool,
}

impl DelegationLimits {
    /// Creates the allowance of a fan-out that has `left` until its objective.
    #[must_use]
    pub fn new(shard: Duration, left: Duration) -> Self {
        Self { shard_time: shard, send_limit: left * SENDING_PERCENT / 100, affinity: false }
    }

    /// Says whether a daemon of `capacity` sends `shards` within the time allowed.
    #[must_use]
    pub fn allows(&self, shards: usize, capacity: u64) -> bool {
        let shards = u32::try_from(shards).unwrap_or(u32::MAX);
        let capacity = u32::try_from(capacity.max(1)).unwrap_or(u32::MAX);
        self.shard_time.saturating_mul(shards).saturating_mul(1000) / capacity <= self.send_limit
    }
}

/// Shares shards of one region out among its daemons, by what each can carry; none where
/// in each availability zone one daemon carries those with replicas there, or nobody else
/// is there.
///
/// A shard goes to the same daemon whoever shares it out, as long as the same daemons
/// share: connections to its replicas are kept at one daemon, and used.
#[must_use]
pub fn assign_shards<'a>(
    wanted: &[PendingShard],
    carriers: &'a [Delegate],
    allowance: DelegationLimits,
) -> Option<Vec<Assignment<'a>>> {
    if wanted.len() < NARROW {
        return None;
    }
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in wanted {
        *zones.entry(&shard.zone).or_default() += 1;
    }
    let alone = || zones.iter().all(|(zone, shards)| is_carried_alone(*shards, zone, carriers, allowance));
    if !allowance.affinity && alone() {
        return None;
    }
    let (beside, others): (Vec<_>, Vec<_>) =
        carriers.iter().partition(|carrier| zones.contains_key(&*carrier.zone));
    let mut sharers = strongest(beside);
    if !allowance.allows(with_groups(wanted.len(), &sharers), together(&sharers)) {
        sharers.extend(strongest(others));
    }
    let quotas = quotas(wanted.len(), sharers);
    if quotas.iter().all(|(carrier, _)| carrier.local) {
        return None;
    }
    Some(deal(wanted, quotas))
}

/// Says whether one daemon of an availability zone, this one if it is there, carries the
/// shards with replicas there.
fn is_carried_alone(shards: usize, zone: &str, carriers: &[Delegate], allowance: DelegationLimits) -> bool {
    let beside = || carriers.iter().filter(|carrier| *carrier.zone == *zone);
    let alone = beside().find(|carrier| carrier.local).or(beside().max_by_key(|carrier| carrier.capacity));
    alone.is_some_and(|carrier| allowance.allows(shards, u64::from(carrier.capacity)))
}

/// Returns the strongest of some daemons.
fn strongest(mut carriers: Vec<&Delegate>) -> Vec<&Delegate> {
    carriers.sort_by_key(|carrier| (Reverse(carrier.capacity), &carrier.host));
    carriers.truncate(MOST_SHARERS);
    carriers
}

fn together(carriers: &[&Delegate]) -> u64 {
    carriers.iter().map(|carrier| u64::from(carrier.capacity.max(1))).sum()
}

/// Returns what a fan-out costs that is shared, in shards.
fn with_groups(shards: usize, sharers: &[&Delegate]) -> usize {
    shards + GROUP_COST * sharers.iter().filter(|carrier| !carrier.local).count()
}

/// Returns how many shards each daemon takes, so that all are done at the same time;
/// this one's part is less by what its groups cost it. Those are left out for whom
/// hardly any would be left.
fn quotas(shards: usize, mut sharers: Vec<&Delegate>) -> Vec<(&Delegate, usize)> {
    loop {
        let (all, capacity) = (with_groups(shards, &sharers), together(&sharers));
        let groups = all - shards;
        let part = |carrier: &Delegate| {
            let part = (all as u64 * u64::from(carrier.capacity.max(1))).div_ceil(capacity.max(1));
            let part = usize::try_from(part).unwrap_or(usize::MAX);
            if carrier.local { part.saturating_sub(groups) } else { part }
        };
        let least = sharers.iter().enumerate().min_by_key(|(_, carrier)| part(carrier));
        let spare = least.filter(|(_, carrier)| part(carrier) < LEAST_PART && sharers.len() > 1);
        let Some((at, _)) = spare else {
            return sharers.iter().map(|carrier| (*carrier, part(carrier))).collect();
        };
        sharers.remove(at);
    }
}

/// Deals shards out by rendezvous hashing, to nobody more than its quota; those beside a
/// shard's replicas go first.
fn deal<'a>(wanted: &[PendingShard], quotas: Vec<(&'a Delegate, usize)>) -> Vec<Assignment<'a>> {
    let mut left: Vec<usize> = quotas.iter().map(|(_, quota)| *quota).collect();
    let mut portions: Vec<Assignment<'a>> =
        quotas.into_iter().map(|(carrier, _)| Assignment { delegate: carrier, shards: Vec::new() }).collect();
    for shard in wanted {
        let open = (0..portions.len()).filter(|at| left[*at] > 0);
        let rank = |at: &usize| {
            let carrier = portions[*at].delegate;
            (carrier.zone == shard.zone, weight(&shard.shard, &carrier.host))
        };
        let best = open.max_by_key(rank).unwrap_or(0);
        left[best] = left[best].saturating_sub(1);
        portions[best].shards.push(shard.clone());
    }
    portions.retain(|portion| !portion.shards.is_empty());
    portions
}
