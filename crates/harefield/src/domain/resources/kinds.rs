//! The kinds of resource, as published in JSON.

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
use crate::domain::key::KeyDigest;
use crate::domain::residency::Regions;
use crate::domain::residency::Residency;

/// Shards that are queried together, each with its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// The team that owns the service.
    #[serde(default)]
    pub team: String,
    /// The replicas of each shard, by upstream name; upstreams may name
    /// themselves besides, by what they hold.
    pub shards: BTreeMap<Arc<str>, Vec<UpstreamId>>,
    /// How many connections each upstream takes that does not say so itself.
    #[serde(default)]
    pub connections: Option<u32>,
    /// What its upstreams bear while they are cold; not bound where nobody says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdLimit>,
}

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ColdLimit {
    /// Requests a second.
    pub per_s: f64,
    /// How long it is cold after a start, in milliseconds.
    pub start_ms: u64,
}

/// One searcher behind the query tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes in all; 0 for as many as its service says.
    #[serde(default)]
    pub connections: u32,
    /// What a new connection costs, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
    /// The shards that it holds by its own word, besides those whose service
    /// lists it.
    #[serde(default)]
    pub holds: Vec<ShardId>,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// When its process started, in milliseconds since the epoch, where that is known: with
    /// another start, nothing that was learnt of it holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// For how much longer it is cold, in milliseconds; 0 where it is warm.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde hands a reference")]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

const fn default_connect_ms() -> u32 {
    6
}

/// How urgent a lookup is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Somebody waits at a belt, a doorstep or a desk.
    Urgent,
    /// The usual.
    Ordinary,
    /// Bulk work that can wait.
    Bulk,
}

/// What goes first when not both can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// An early answer goes before a whole one.
    Time,
    /// A whole answer goes before an early one.
    Coverage,
}

/// A place in callers' paths that leads to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// The name that callers address, in lower case and without a port.
    pub host: Arc<str>,
    /// How the path begins; the longest prefix that fits wins.
    pub prefix: Arc<str>,
}

/// A part of a lookup's requests that goes to another index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Split {
    /// The index.
    pub index: String,
    /// Its part, relative to the others' weights.
    pub weight: u32,
}

/// A kind of request that callers may make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Lookup {
    /// The team that owns the lookup.
    #[serde(default)]
    pub team: String,
    /// The index whose snapshot is queried.
    pub index: String,
    /// The services asked; all of the snapshot's where empty.
    #[serde(default)]
    pub services: Vec<String>,
    /// How urgent it is.
    pub urgency: Urgency,
    /// The time it may take, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether time or coverage goes first.
    pub prefer: Preference,
    /// Where callers' paths lead to it.
    #[serde(default)]
    pub entries: Vec<Entry>,
    /// The time within which an answer is wanted, in milliseconds; an answer
    /// that has enough shards by then does not wait for more.
    #[serde(default)]
    pub objective_ms: Option<u64>,
    /// The least share of the shards that makes an answer, 0 to 1.
    #[serde(default)]
    pub least_share: f64,
    /// How many records are kept where the shards' records are merged; none
    /// where the one shard's reply is handed back as it is.
    #[serde(default)]
    pub merge: Option<usize>,
    /// The most upstreams asked for one shard; none for the engine's own bound.
    #[serde(default)]
    pub attempts: Option<u32>,
    /// The indexes that requests are divided over; `index` alone where empty.
    #[serde(default)]
    pub split: Vec<Split>,
    /// The only regions in which it may be served and its body read; everywhere where empty.
    #[serde(default)]
    pub regions: Regions,
    /// Whether anyone may ask it, also where client accounts are in force.
    #[serde(default)]
    pub public: bool,
}

impl Lookup {
    /// Returns where it may be served.
    #[must_use]
    pub fn residency(&self) -> Residency<'_> {
        Residency::new(&self.regions)
    }
}

/// Asks that nothing more is sent to the upstreams of an availability zone, which its key
/// names, for as long as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Evacuation {
    /// Why, for whoever reads it.
    #[serde(default)]
    pub reason: String,
}

/// A client account: whose keys open lookups, and what it may ask over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Account {
    /// The team that owns the account.
    #[serde(default)]
    pub team: String,
    /// The SHA-256 digests of its keys, in hexadecimal digits.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// How urgent its requests are, whatever their lookups say; as those say where none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// The requests a second that it may make; unbounded where 0.
    #[serde(default)]
    pub rate: f64,
    /// The requests that it may make at once on top.
    #[serde(default)]
    pub burst: f64,
    /// The only regions in which its requests may be served, besides what their lookups say;
    /// everywhere where empty.
    #[serde(default)]
    pub regions: Regions,
}

/// A versioned index over services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Index {
    /// The team that owns the index.
    #[serde(default)]
    pub team: String,
    /// Its published snapshots.
    pub snapshots: Vec<Snapshot>,
}

/// One version of an index, with the shards that make it up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Snapshot {
    /// Its version.
    pub version: Version,
    /// The shards of each service at this version.
    pub shards: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

/// Services, indexes and lookups that are published together, under one key:
/// all of them change at one revision.
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
    /// The client accounts by name. Where they are given, even none, lookups that are not
    /// public ask for a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<BTreeMap<AccountId, Account>>,
    /// Bounds on callers' requests.
    #[serde(default)]
    pub bounds: Bounds,
    /// Rises with each catalog that takes the place of this one.
    #[serde(default)]
    pub edition: Edition,
}

/// Bounds on what callers may send, where they are published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The most bytes of a request's head.
    #[serde(default)]
    pub head_bytes: Option<usize>,
    /// The most bytes of a request's body.
    #[serde(default)]
    pub body_bytes: Option<usize>,
}
