//! The four kinds of resource, as published in JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;

/// Shards that are queried together, each with its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// The team that owns the service.
    #[serde(default)]
    pub team: String,
    /// The replicas of each shard, by upstream name.
    pub shards: BTreeMap<Arc<str>, Vec<UpstreamId>>,
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
    /// How many connections it takes in all.
    pub connections: u32,
    /// What a new connection costs, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
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

/// A kind of request that callers may make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
