//! The kinds of resources, in the form in which the platform publishes them as JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::AccountId;
use crate::domain::ids::Edition;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::is_default;
use crate::domain::key::KeyDigest;
use crate::domain::residency::Regions;
use crate::domain::residency::Residency;

/// A set of shards that are queried together, each with its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// The team that owns the service.
    #[serde(default)]
    pub team: String,
    /// The replicas of each shard, by upstream name. Upstreams may add themselves through
    /// [`Upstream::holds`].
    pub shards: BTreeMap<Arc<str>, Vec<UpstreamId>>,
    /// The connection limit of each upstream that doesn't set its own.
    #[serde(default)]
    pub connections: Option<u32>,
    /// The request limit of its upstreams while they are cold; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdLimit>,
}

/// The request limit of an upstream while it is cold, that is, for some time after it started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ColdLimit {
    /// Requests per second.
    pub per_s: f64,
    /// How long the upstream is cold after a start, in milliseconds.
    pub start_ms: u64,
}

/// One upstream process that serves shards to the query tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Upstream {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The limit on its connections in total; 0 for the limit of its service.
    #[serde(default)]
    pub connections: u32,
    /// The cost of a new connection, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
    /// The shards that it announces itself, in addition to those whose service lists it.
    #[serde(default)]
    pub holds: Vec<ShardId>,
    /// Whether it is leaving and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// When its process started, in milliseconds since the Unix epoch, if known. Another start
    /// time invalidates what was learned about the upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// How much longer it is cold, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_ms: u64,
}

const fn default_connect_ms() -> u32 {
    6
}

/// The priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Someone waits for the answer, for example at a conveyor belt, a doorstep or a desk.
    Urgent,
    /// Normal priority.
    Ordinary,
    /// Background work that can wait.
    Bulk,
}

/// Whether latency or completeness takes precedence when a request can't have both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Prefers an early answer to a complete one.
    Time,
    /// Prefers a complete answer to an early one.
    Coverage,
}

/// A host and path prefix that routes callers' requests to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// The host name in the request, in lower case and without a port.
    pub host: Arc<str>,
    /// The path prefix; the longest matching prefix wins.
    pub prefix: Arc<str>,
}

/// One part of a traffic split over several indexes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Split {
    /// The name of the index.
    pub index: String,
    /// Its weight relative to the other parts.
    pub weight: u32,
}

/// A named type of request, with the index it queries and the rules for its answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Lookup {
    /// The team that owns the lookup.
    #[serde(default)]
    pub team: String,
    /// The index whose snapshot is queried.
    pub index: String,
    /// The services to query; all services of the snapshot if empty.
    #[serde(default)]
    pub services: Vec<String>,
    /// The priority of its requests, which an account may override.
    pub urgency: Urgency,
    /// Orders the lookups of one index more finely than `urgency`; 0 is the most urgent.
    #[serde(default)]
    pub rank: u32,
    /// The time limit of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may safely run more than once.
    pub repeatable: bool,
    /// Whether latency or completeness takes precedence.
    pub prefer: Preference,
    /// The hosts and path prefixes that are routed to it.
    #[serde(default)]
    pub entries: Vec<Entry>,
    /// The target latency, in milliseconds. An answer that has enough shards by then doesn't wait
    /// for more.
    #[serde(default)]
    pub objective_ms: Option<u64>,
    /// The minimum fraction of the shards for an answer, from 0 to 1.
    #[serde(default)]
    pub least_share: f64,
    /// The number of records to keep when the shards' records are merged; if absent, the reply of
    /// the one shard is returned unchanged.
    #[serde(default)]
    pub merge: Option<usize>,
    /// The most upstreams to try for one shard; the engine's own limit if absent.
    #[serde(default)]
    pub attempts: Option<u32>,
    /// The indexes over which requests are split by weight; only `index` if empty.
    #[serde(default)]
    pub split: Vec<Split>,
    /// The only regions in which a request may be served and its body read; unrestricted if empty.
    #[serde(default)]
    pub regions: Regions,
    /// Whether it may be called without a key, even while client accounts are in force.
    #[serde(default)]
    pub public: bool,
}

impl Lookup {
    /// Returns the residency restriction of its requests.
    #[must_use]
    pub fn residency(&self) -> Residency<'_> {
        Residency::new(&self.regions)
    }
}

/// The order to stop sending requests to the upstreams of an availability zone while it is
/// published. The zone is in its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Evacuation {
    /// The reason, for operators.
    #[serde(default)]
    pub reason: String,
}

/// A client account: its keys, and its rate limit over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Account {
    /// The team that owns the account.
    #[serde(default)]
    pub team: String,
    /// The SHA-256 digests of its keys, in hexadecimal.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, which overrides that of their lookups; not overridden if
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// The rate limit in requests per second; unlimited if 0.
    #[serde(default)]
    pub rate: f64,
    /// The burst in requests, allowed on top of the rate.
    #[serde(default)]
    pub burst: f64,
    /// The only regions in which its requests may be served, in addition to the restrictions of
    /// their lookups; unrestricted if empty.
    #[serde(default)]
    pub regions: Regions,
}

/// A versioned index over the shards of services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Index {
    /// The team that owns the index.
    #[serde(default)]
    pub team: String,
    /// Its published snapshots.
    pub snapshots: Vec<Snapshot>,
}

/// One version of an index, with the shards it consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Snapshot {
    /// The version, unique within the index.
    pub version: Version,
    /// The shards of each service at this version.
    pub shards: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

/// Services, indexes, lookups and accounts that are published together under one key, so that all
/// of them change at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Catalog {
    /// The services by name.
    #[serde(default)]
    pub services: BTreeMap<Arc<str>, Service>,
    /// The indexes by name.
    #[serde(default)]
    pub indexes: BTreeMap<Arc<str>, Index>,
    /// The lookups by name.
    #[serde(default)]
    pub lookups: BTreeMap<Arc<str>, Lookup>,
    /// The client accounts by name. If present, even if empty, lookups that are not public require
    /// a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<BTreeMap<AccountId, Account>>,
    /// Size limits for callers' requests.
    #[serde(default)]
    pub bounds: Bounds,
    /// The edition, which increases with each replacement of this catalog.
    #[serde(default)]
    pub edition: Edition,
    /// Whether its resources are values of their own; see [`catalogs`](crate::domain::catalogs).
    #[serde(default, skip_serializing_if = "is_default")]
    pub divided: bool,
}

/// Size limits for callers' requests; each is unset where it isn't published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The largest request head, in bytes.
    #[serde(default)]
    pub head_bytes: Option<usize>,
    /// The largest request body, in bytes.
    #[serde(default)]
    pub body_bytes: Option<usize>,
}
