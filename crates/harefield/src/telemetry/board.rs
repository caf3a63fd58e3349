//! The state that a daemon's threads publish for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::queues::QueueStatus;
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
use crate::domain::membership::MemberRow;
use crate::domain::resources::ResourceError;
use crate::domain::resources::ResourceSet;
use crate::domain::revision::Revision;

/// At this many counted accounts, those that the active configuration no longer has are dropped.
const MAX_ACCOUNTS: usize = 4096;

/// The state of the configuration at one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigStatus {
    /// The revision in force; absent before the first.
    pub revision: Option<Revision>,
    /// The newest revision received from the platform, valid or not.
    pub seen: Option<Revision>,
    /// The newest rejected revision, while it is newer than the one in force.
    pub refused: Option<Revision>,
    /// Why it was rejected.
    pub faults: Vec<ResourceError>,
    /// The revision of the host list; absent where none was received.
    pub listed: Option<Revision>,
}

/// The state of one upstream, as one worker observes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamStatus {
    /// The upstream's name.
    pub upstream: UpstreamId,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// This worker's requests in flight to it.
    pub running: usize,
    /// The adaptive limit on requests in flight.
    pub window: f64,
    /// The observed request latency, in milliseconds.
    pub latency: f64,
    /// The snapshot versions that it announced; absent where it announced none.
    pub held: Option<Vec<Version>>,
}

/// One worker's counters and the upstreams that it observes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkerStatus {
    /// Requests in progress.
    pub running: usize,
    /// Requests that wait at an admission gate.
    pub waiting: usize,
    /// Requests answered since the daemon started.
    pub answered: u64,
    /// First attempts sent to shards since the daemon started.
    pub first: u64,
    /// Retries and hedges sent to shards since the daemon started.
    pub extra: u64,
    /// Connections opened to upstreams since the daemon started.
    pub opened: u64,
    /// The upstreams that the worker knows.
    pub upstreams: Vec<UpstreamStatus>,
    /// The requests that wait for shards of scheduled indexes.
    #[serde(default)]
    pub queues: QueueStatus,
}

/// How one account's requests were decided at this daemon since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AccountUsage {
    /// Admitted requests.
    pub admitted: u64,
    /// Requests refused because the account was over its limit.
    pub over_limit: u64,
    /// Requests refused because no daemon that holds a part of the account's limit answered.
    pub unchecked: u64,
}

/// The status of one daemon, as `/v1/status` returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The daemon's host.
    pub host: HostId,
    /// The incarnation of its current run.
    pub incarnation: Incarnation,
    /// The state of its configuration.
    pub config: ConfigStatus,
    /// Its membership table of daemons.
    pub peers: Vec<MemberRow>,
    /// Bytes of control traffic sent and received since the start.
    pub control_bytes: u64,
    /// Whether a planned stop has begun.
    #[serde(default)]
    pub stopping: bool,
    /// Its workers, by number.
    pub workers: BTreeMap<usize, WorkerStatus>,
    /// Request outcomes and latencies, by lookup.
    pub lookups: BTreeMap<String, LookupStatus>,
    /// Events dropped because the telemetry ring was full.
    pub dropped: u64,
}

impl Status {
    /// Returns the wait queues of all workers.
    #[must_use]
    pub fn queues(&self) -> QueueStatus {
        let mut queues = QueueStatus::default();
        self.workers.values().for_each(|worker| queues.add(&worker.queues));
        queues
    }
}

/// Status, configuration, events and metrics, shared between the threads that publish them and
/// the operators' listener.
///
/// No request waits for it.
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
    /// Creates the board of one daemon; it keeps the newest `keep` events.
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

    /// Locks the status for reading or updating.
    pub fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the status of a worker, and the metrics of all workers' wait queues.
    pub fn put_worker(&self, number: usize, worker: WorkerStatus) {
        let mut status = self.status();
        status.workers.insert(number, worker);
        self.metrics.set_queues(&status.queues().ranks);
    }

    /// Returns the resource set in force.
    #[must_use]
    pub fn set(&self) -> Arc<ResourceSet> {
        Arc::clone(&self.set.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the resource set in force.
    pub fn put_set(&self, set: Arc<ResourceSet>) {
        *self.set.lock().unwrap_or_else(PoisonError::into_inner) = set;
    }

    /// Updates the account counters where the event admits or refuses a request of an account.
    pub fn count_account(&self, event: &Event) {
        match event {
            Event::Admitted { account: Some(account), .. } => self.count_for(account, |counts| {
                counts.admitted += 1;
            }),
            Event::LimitRefused { account, code: Code::LimitReached, .. } => {
                self.count_for(account, |counts| counts.over_limit += 1);
            }
            Event::LimitRefused { account, .. } => self.count_for(account, |counts| counts.unchecked += 1),
            _ => {}
        }
    }

    fn count_for(&self, account: &AccountId, count: impl FnOnce(&mut AccountUsage)) {
        let mut accounts = self.lock_accounts();
        if accounts.len() >= MAX_ACCOUNTS && !accounts.contains_key(account) {
            let set = self.set();
            accounts.retain(|name, _| set.accounts.contains_key(name));
        }
        count(accounts.entry(Arc::clone(account)).or_default());
    }

    /// Returns the counters of an account; all zero for an account without requests.
    #[must_use]
    pub fn account_usage(&self, account: &str) -> AccountUsage {
        self.lock_accounts().get(account).copied().unwrap_or_default()
    }

    fn lock_accounts(&self) -> MutexGuard<'_, BTreeMap<AccountId, AccountUsage>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a proof of freshness: every change confirmed up to `at` is in force.
    pub fn record_proof(&self, at: Instant) {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner).record_proof(at);
    }

    /// Returns the metrics after setting the configuration age to its value at `now`.
    #[must_use]
    pub fn metrics_at(&self, now: Instant) -> &Metrics {
        let freshness = *self.freshness.lock().unwrap_or_else(PoisonError::into_inner);
        self.metrics.set_age(freshness.age(now));
        &self.metrics
    }

    /// Returns the metrics; the configuration age is as last set.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Locks the event store for reading or adding records.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
