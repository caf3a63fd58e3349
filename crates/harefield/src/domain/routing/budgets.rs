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
pub const RERUN_SHARE: f64 = 0.05;

/// What the whole fleet may send to one service beyond its first requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSlack {
    /// The share of the first requests.
    pub share: f64,
    /// What may come on top within a window, in requests.
    pub slack: f64,
}

/// The budgets of one worker: one for all that it asks, or one a service where
/// the fleet as a whole is bound for each service.
#[derive(Clone, Debug)]
pub struct Budgets {
    all: Budget,
    fleet: Option<FleetSlack>,
    daemons: u32,
    /// The most daemons that were ever known to ask for each service.
    sharers: HashMap<Arc<str>, u32>,
    services: HashMap<Arc<str>, Budget>,
}

impl Budgets {
    /// Creates one budget for all.
    #[must_use]
    pub fn one(share: f64) -> Self {
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
    pub fn by_service(fleet: FleetSlack, daemons: u32) -> Self {
        let all = Budget::new(fleet.share);
        Self { all, fleet: Some(fleet), daemons, sharers: HashMap::new(), services: HashMap::new() }
    }

    /// Takes how many daemons share what the fleet may send.
    pub fn share_with(&mut self, daemons: u32) {
        self.daemons = daemons;
        for service in self.services.keys().map(Arc::clone).collect::<Vec<_>>() {
            self.bind(&service);
        }
    }

    /// Takes how many daemons ask for some services; the most that were ever
    /// known counts, since one that is not seen now may be asking all the same.
    pub fn share_services<'a>(&mut self, services: impl Iterator<Item = &'a str>, sharers: u32) {
        for service in services {
            if self.sharers.get(service).is_none_or(|known| *known < sharers) {
                self.sharers.insert(service.into(), sharers);
                self.bind(service);
            }
        }
    }

    fn bind(&mut self, service: &str) {
        let most = self.most(service);
        if let (Some(most), Some(budget)) = (most, self.services.get_mut(service)) {
            budget.bound(most);
        }
    }

    /// Returns the most that this daemon may have in hand for a service; none
    /// where services have no budgets of their own.
    fn most(&self, service: &str) -> Option<f64> {
        let fleet = self.fleet?;
        let sharers = self.sharers.get(service).copied().unwrap_or(self.daemons);
        let used = if sharers < self.daemons { MEMBERS_SLACK } else { USED_SLACK };
        Some((fleet.slack * used / f64::from(sharers.max(1))).max(LEAST_MOST))
    }

    /// Returns the budget that a shard's attempts are paid from.
    pub fn of(&mut self, shard: &ShardId) -> &mut Budget {
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

/// Returns a daemon's part of what whole requests handed to a second daemon may
/// add to each service, in requests: one at a time at the least.
#[must_use]
pub fn rerun_part(slack: f64, daemons: u32) -> f64 {
    (slack * RERUN_SLACK / f64::from(daemons.max(1))).max(LEAST_MOST)
}
