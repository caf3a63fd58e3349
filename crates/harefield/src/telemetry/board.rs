//! What the duties last said of themselves, for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::store::Store;
use super::tally::LookupStatus;
use crate::adapters::metrics::Metrics;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::freshness::Freshness;
use crate::domain::ids::AccountId;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::membership::Row;
use crate::domain::resources::ResourceError;
use crate::domain::resources::ResourceSet;
use crate::domain::revision::Revision;

/// The most accounts that are counted before those are dropped that are in force no more.
const MOST_ACCOUNTS: usize = 4096;

/// The configuration as one daemon has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigStatus {
    /// The revision in force.
    pub revision: Option<Revision>,
    /// The newest revision seen, good or not.
    pub seen: Option<Revision>,
    /// The refused revision, while none newer is in force.
    pub refused: Option<Revision>,
    /// Its faults.
    pub faults: Vec<ResourceError>,
    /// The revision of the host list.
    pub listed: Option<Revision>,
}

/// An upstream as one worker observes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests under way.
    pub running: usize,
    /// The adaptive limit on them.
    pub window: f64,
    /// The observed time of a request, in milliseconds.
    pub latency: f64,
    /// The versions that it says it holds.
    pub held: Option<Vec<Version>>,
}

/// One worker's counts and observations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerStatus {
    /// Requests in progress.
    pub running: usize,
    /// Requests that wait at a gate.
    pub waiting: usize,
    /// Requests answered since the start.
    pub answered: u64,
    /// Shard requests sent since the start, first ones.
    pub first: u64,
    /// Shard requests sent since the start, retries and hedges.
    pub extra: u64,
    /// Connections opened to upstreams since the start.
    pub opened: u64,
    /// The upstreams as observed.
    pub upstreams: Vec<UpstreamStatus>,
}

/// What became of one account's requests at this daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AccountUsage {
    /// Let in.
    pub admitted: u64,
    /// Refused, since the account asks more than it may.
    pub over_limit: u64,
    /// Refused, since nobody that holds a part of its limit answered.
    pub unchecked: u64,
}

/// One daemon's account of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The daemon.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its configuration.
    pub config: ConfigStatus,
    /// The daemons as it sees them.
    pub peers: Vec<Row>,
    /// Bytes that control has sent and received since the start.
    pub control_bytes: u64,
    /// Whether a planned stop has begun.
    #[serde(default)]
    pub stopping: bool,
    /// Its workers.
    pub workers: BTreeMap<usize, WorkerStatus>,
    /// What became of each lookup's requests.
    pub lookups: BTreeMap<String, LookupStatus>,
    /// Events dropped since a ring was full.
    pub dropped: u64,
}

/// Shared between the duties that report and the operators' listener; no
/// request waits for it.
#[derive(Debug)]
pub struct Board {
    status: Mutex<Status>,
    set: Mutex<Arc<ResourceSet>>,
    store: Mutex<Store>,
    freshness: Mutex<Freshness>,
    accounts: Mutex<BTreeMap<AccountId, AccountUsage>>,
    metrics: Metrics,
}

impl Board {
    /// Creates the board of one daemon.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation, keep: usize) -> Self {
        let status = Status {
            host,
            incarnation,
            config: ConfigStatus::default(),
            peers: Vec::new(),
            control_bytes: 0,
            stopping: false,
            workers: BTreeMap::new(),
            lookups: BTreeMap::new(),
            dropped: 0,
        };
        Self {
            status: Mutex::new(status),
            set: Mutex::default(),
            store: Mutex::new(Store::new(keep)),
            freshness: Mutex::default(),
            accounts: Mutex::default(),
            metrics: Metrics::new(),
        }
    }

    /// Returns the status, to read or change it.
    pub fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the set in force.
    #[must_use]
    pub fn set(&self) -> Arc<ResourceSet> {
        Arc::clone(&self.set.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the set that came into force.
    pub fn put_set(&self, set: Arc<ResourceSet>) {
        *self.set.lock().unwrap_or_else(PoisonError::into_inner) = set;
    }

    /// Counts what an event says of an account's requests.
    pub fn count_account(&self, event: &Event) {
        match event {
            Event::Admitted { account: Some(account), .. } => self.count_for(account, |used| {
                used.admitted += 1;
            }),
            Event::LimitRefused { account, code: Code::LimitReached, .. } => {
                self.count_for(account, |used| used.over_limit += 1);
            }
            Event::LimitRefused { account, .. } => self.count_for(account, |used| used.unchecked += 1),
            _ => {}
        }
    }

    fn count_for(&self, account: &AccountId, count: impl FnOnce(&mut AccountUsage)) {
        let mut accounts = self.lock_accounts();
        if accounts.len() >= MOST_ACCOUNTS && !accounts.contains_key(account) {
            let set = self.set();
            accounts.retain(|name, _| set.accounts.contains_key(name));
        }
        count(accounts.entry(Arc::clone(account)).or_default());
    }

    /// Returns what became of an account's requests.
    #[must_use]
    pub fn account_usage(&self, account: &str) -> AccountUsage {
        self.lock_accounts().get(account).copied().unwrap_or_default()
    }

    fn lock_accounts(&self) -> MutexGuard<'_, BTreeMap<AccountId, AccountUsage>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that every change confirmed up to `at` is in force.
    pub fn record_proof(&self, at: Instant) {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner).prove(at);
    }

    /// Returns what is counted and measured, with how old what is in force may be now.
    #[must_use]
    pub fn metrics_at(&self, now: Instant) -> &Metrics {
        let freshness = *self.freshness.lock().unwrap_or_else(PoisonError::into_inner);
        self.metrics.set_age(freshness.age(now));
        &self.metrics
    }

    /// Returns what is counted and measured.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the records, to read or add to them.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
