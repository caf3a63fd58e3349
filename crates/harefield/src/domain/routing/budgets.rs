//! The budgets of a worker, and this daemon's part of what the whole fleet may send
//! to a service.

use std::collections::HashMap;
use std::sync::Arc;

use super::budget::Budget;
use super::budget::LEAST_MOST;
use crate::domain::ids::ShardId;

/// The part of a fleet's slack that its daemons use together; the rest is for
/// daemons that start anew with a full hand.
const USED_SLACK: f64 = 0.8;

/// The part that is used where requests are handed to the members of a cell;
/// what they are handed to a second member for comes on top.
const MEMBERS_SLACK: f64 = 0.6;

/// The part for requests that are handed to a second member.
const RERUN_SLACK: f64 = 0.2;

/// The share of the requests handed on that may be handed to a second member: a
/// member that does not answer is rare, and each such request asks every shard
/// again.
pub const MAX_RERUN_SHARE: f64 = 0.05;

/// What the whole fleet may send to one service beyond its first requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSlack {
    /// The share of the first requests.
    pub share: f64,
    /// What may come on top within a window, in requests.
    pub slack: f64,
}

/// The daemons that ask for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServiceClients {
    /// The most that were ever known.
    most: u32,
    /// How many of them come before this one.
    rank: u32,
}

/// The budgets of one worker: one for all that it asks, or one a service where
/// the fleet as a whole is bound for each service.
#[derive(Clone, Debug)]
pub struct Budgets {
    all: Budget,
    fleet: Option<FleetSlack>,
    daemons: u32,
    sharers: HashMap<Arc<str>, ServiceClients>,
    services: HashMap<Arc<str>, Budget>,
}

impl Budgets {
    /// Creates one budget for all.
    #[must_use]
    pub fn single(share: f64) -> Self {
        Self {
            all: Budget::new(share),
            fleet: None,
            daemons: 1,
            sharers: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Creates budgets by service, of which each of `daemons` daemons has its part.
    #[must_use]
    pub fn per_service(fleet: FleetSlack, daemons: u32) -> Self {
        let all = Budget::new(fleet.share);
        Self { all, fleet: Some(fleet), daemons, sharers: HashMap::new(), services: HashMap::new() }
    }

    /// Takes how many daemons share what the fleet may send.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
        for service in self.services.keys().map(Arc::clone).collect::<Vec<_>>() {
            self.bind(&service);
        }
    }

    /// Takes how many daemons ask for some services, and how many of them come before this
    /// one; the most that were ever known counts, since one that is not seen now may be asking
    /// all the same.
    pub fn set_clients<'a>(&mut self, services: impl Iterator<Item = &'a str>, sharers: u32, rank: u32) {
        for service in services {
            let known = self.sharers.get(service).copied();
            let most = known.map_or(sharers, |known| known.most.max(sharers));
            let now = ServiceClients { most, rank };
            if known != Some(now) {
                self.sharers.insert(service.into(), now);
                self.bind(service);
            }
        }
    }

    fn bind(&mut self, service: &str) {
        let most = self.most(service);
        if let (Some(most), Some(budget)) = (most, self.services.get_mut(service)) {
            budget.set_cap(most);
        }
    }

    /// Returns the most that this daemon may have in hand for a service; none
    /// where services have no budgets of their own.
    fn most(&self, service: &str) -> Option<f64> {
        let fleet = self.fleet?;
        let alike = ServiceClients { most: self.daemons, rank: 0 };
        let ServiceClients { most, rank } = self.sharers.get(service).copied().unwrap_or(alike);
        let used = if most < self.daemons { MEMBERS_SLACK } else { USED_SLACK };
        Some(quota(fleet.slack * used, most, rank))
    }

    /// Returns the budget that a shard's attempts are paid from.
    pub fn for_shard(&mut self, shard: &ShardId) -> &mut Budget {
        let service = service_of(shard);
        let (Some(fleet), Some(most)) = (self.fleet, self.most(service)) else { return &mut self.all };
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Budget::strict(fleet.share, most));
        }
        self.services.get_mut(service).unwrap_or(&mut self.all)
    }
}

/// Returns the service that a shard is of.
pub(super) fn service_of(shard: &str) -> &str {
    shard.split_once('/').map_or(shard, |(service, _)| service)
}

/// Returns the part of what whole requests handed to a second daemon may add to each
/// service, in requests, of one of `members` daemons that run them, before which come `rank`
/// others.
#[must_use]
pub fn rerun_quota(slack: f64, members: u32, rank: u32) -> f64 {
    quota(slack * RERUN_SLACK, members, rank)
}

/// Returns a sharer's part of an amount of requests: equal parts, or one request for each of
/// the first sharers where an equal part would be less. All parts together are no more than
/// the amount, however many share it.
#[must_use]
pub fn quota(amount: f64, sharers: u32, rank: u32) -> f64 {
    let equal = amount / f64::from(sharers.max(1));
    if equal >= LEAST_MOST {
        equal
    } else if f64::from(rank) + LEAST_MOST <= amount {
        LEAST_MOST
    } else {
        0.0
    }
}
