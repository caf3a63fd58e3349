//! The budgets of a worker, and this daemon's quota of the extra load that the whole fleet may
//! send to a service.

use std::collections::HashMap;
use std::sync::Arc;

use super::budget::Budget;
use super::budget::MIN_CAP;
use crate::domain::ids::ShardId;

/// The fraction of the fleet's slack that all daemons together use; the rest covers daemons that
/// restart with a full budget.
const USABLE_FRACTION: f64 = 0.8;

/// The fraction that is used where requests are forwarded to the members of a cell; forwarding
/// them to a second member comes on top.
const MEMBERS_FRACTION: f64 = 0.6;

/// The fraction for requests that are forwarded to a second member.
const RERUN_FRACTION: f64 = 0.2;

/// The share of the forwarded requests that may be forwarded to a second member: members rarely
/// fail to answer, and each such request queries every shard again.
pub const MAX_RERUN_SHARE: f64 = 0.05;

/// The extra requests that the whole fleet may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSlack {
    /// Extra requests as a share of the first requests.
    pub share: f64,
    /// Extra requests on top of that within any time window.
    pub slack: f64,
}

/// The daemons that send requests to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServiceClients {
    /// The highest number known so far.
    peak: u32,
    /// How many of them are ranked before this one.
    rank: u32,
}

/// The budgets of one worker: a single one for all its requests, or one for each service where
/// the extra load of the whole fleet is limited by service.
#[derive(Clone, Debug)]
pub struct Budgets {
    all: Budget,
    fleet: Option<FleetSlack>,
    daemons: u32,
    clients: HashMap<Arc<str>, ServiceClients>,
    services: HashMap<Arc<str>, Budget>,
}

impl Budgets {
    /// Creates a single budget for all requests, which earns `share` of them.
    #[must_use]
    pub fn single(share: f64) -> Self {
        Self {
            all: Budget::new(share),
            fleet: None,
            daemons: 1,
            clients: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Creates one budget for each service, of which each of `daemons` daemons has its quota.
    #[must_use]
    pub fn per_service(fleet: FleetSlack, daemons: u32) -> Self {
        let all = Budget::new(fleet.share);
        Self { all, fleet: Some(fleet), daemons, clients: HashMap::new(), services: HashMap::new() }
    }

    /// Sets how many daemons share the fleet's slack, and updates the caps.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
        for service in self.services.keys().map(Arc::clone).collect::<Vec<_>>() {
            self.update_cap(&service);
        }
    }

    /// Sets how many daemons send requests to some services, and how many of them are ranked
    /// before this one. The highest number known so far counts, since a daemon that isn't visible
    /// now may be sending requests all the same.
    pub fn set_clients<'a>(&mut self, services: impl Iterator<Item = &'a str>, clients: u32, rank: u32) {
        for service in services {
            let known = self.clients.get(service).copied();
            let peak = known.map_or(clients, |known| known.peak.max(clients));
            let now = ServiceClients { peak, rank };
            if known != Some(now) {
                self.clients.insert(service.into(), now);
                self.update_cap(service);
            }
        }
    }

    fn update_cap(&mut self, service: &str) {
        let cap = self.cap(service);
        if let (Some(cap), Some(budget)) = (cap, self.services.get_mut(service)) {
            budget.set_cap(cap);
        }
    }

    /// Returns the cap of this daemon's budget for a service, in requests; `None` where services
    /// have no budgets of their own.
    fn cap(&self, service: &str) -> Option<f64> {
        let fleet = self.fleet?;
        let default = ServiceClients { peak: self.daemons, rank: 0 };
        let ServiceClients { peak, rank } = self.clients.get(service).copied().unwrap_or(default);
        let used = if peak < self.daemons { MEMBERS_FRACTION } else { USABLE_FRACTION };
        Some(quota(fleet.slack * used, peak, rank))
    }

    /// Returns the budget that pays for the extra attempts on a shard.
    pub fn for_shard(&mut self, shard: &ShardId) -> &mut Budget {
        let service = service_of(shard);
        let (Some(fleet), Some(cap)) = (self.fleet, self.cap(service)) else { return &mut self.all };
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Budget::strict(fleet.share, cap));
        }
        self.services.get_mut(service).unwrap_or(&mut self.all)
    }
}

/// Returns the service of a shard, which is named `service/part`.
pub(super) fn service_of(shard: &str) -> &str {
    shard.split_once('/').map_or(shard, |(service, _)| service)
}

/// Returns a daemon's quota of whole requests that are forwarded to a second daemon, in requests
/// for each service. `members` daemons run such requests; `rank` of them are ranked before
/// this one.
#[must_use]
pub fn rerun_quota(slack: f64, members: u32, rank: u32) -> f64 {
    quota(slack * RERUN_FRACTION, members, rank)
}

/// Returns the quota of one of several daemons that share an amount of requests: equal quotas,
/// or one request for each of the first daemons by rank where an equal quota would be less than
/// one. All quotas together don't exceed the amount, whatever the number of daemons.
#[must_use]
pub fn quota(amount: f64, daemons: u32, rank: u32) -> f64 {
    let equal = amount / f64::from(daemons.max(1));
    if equal >= MIN_CAP {
        equal
    } else if f64::from(rank) + MIN_CAP <= amount {
        MIN_CAP
    } else {
        0.0
    }
}
