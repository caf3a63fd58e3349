//! The view that a worker acts on: the set in force, the hosts as listed, and
//! the plans worked out from both.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::cell;
use super::cell::CellSize;
use super::feed::Items;
use super::ids::HostId;
use super::ids::Revision;
use super::ids::ShardId;
use super::ids::UpstreamId;
use super::ids::Version;
use super::resources::Index;
use super::resources::Lookup;
use super::resources::ResourceSet;
use super::resources::Snapshot;

/// Where a host stands in its life, as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It serves.
    Live,
    /// It is leaving and takes no new work.
    Leaving,
}

/// What a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// It runs a daemon of this system; its address is the daemon's peers' address.
    Harefield,
    /// It runs an upstream.
    Upstream,
}

/// One row of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HostRow {
    /// What the host is for.
    pub role: HostRole,
    /// Whether it is live or leaving.
    pub state: HostState,
    /// Its availability zone.
    #[serde(default)]
    pub zone: String,
}

/// The platform's list of hosts, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// The listed rows; rows that cannot be read are left out.
    pub rows: BTreeMap<SocketAddr, HostRow>,
}

impl HostList {
    /// Reads the list from its keyed JSON values, `hosts/IP:PORT`.
    #[must_use]
    pub fn parse(items: &Items) -> Self {
        let rows = items.iter().filter_map(|(key, value)| {
            let address = key.strip_prefix("hosts/")?.parse().ok()?;
            let row = serde_json::from_str(value).ok()?;
            Some((address, row))
        });
        Self { rows: rows.collect() }
    }

    /// Returns the addresses listed as leaving.
    #[must_use]
    pub fn leaving(&self) -> HashSet<SocketAddr> {
        let rows = self.rows.iter().filter(|(_, row)| row.state == HostState::Leaving);
        rows.map(|(address, _)| *address).collect()
    }

    /// Returns the daemons that are listed as live.
    #[must_use]
    pub fn daemons(&self) -> Vec<HostId> {
        let live = self
            .rows
            .iter()
            .filter(|(_, row)| row.role == HostRole::Harefield && row.state == HostState::Live);
        live.map(|(address, _)| address.to_string().into()).collect()
    }
}

/// One shard of a plan, with the replicas that are configured for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardPlan {
    /// The shard.
    pub shard: ShardId,
    /// Its replicas.
    pub replicas: Vec<UpstreamId>,
}

/// The shards of one snapshot that a lookup asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The index.
    pub index: Arc<str>,
    /// The snapshot's version.
    pub version: Version,
    /// The shards, in a stable order.
    pub shards: Vec<ShardPlan>,
}

/// A lookup with the plans that may answer it, newest snapshot first.
#[derive(Clone, Debug)]
pub struct LookupPlan {
    /// The lookup's name.
    pub name: Arc<str>,
    /// The resource.
    pub lookup: Lookup,
    /// The plans, newest snapshot first.
    pub plans: Vec<Arc<Plan>>,
}

/// How many members may dial the upstreams of an index, and who they are.
pub type Cells = HashMap<Arc<str>, Arc<[HostId]>>;

/// Everything that a request is decided on, immutable.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration revision in force; none before the first.
    pub revision: Option<Revision>,
    /// The set in force.
    pub set: Arc<ResourceSet>,
    /// The revision of the host list.
    pub listed: Option<Revision>,
    /// The addresses listed as leaving.
    pub leaving: HashSet<SocketAddr>,
    /// The lookups, by name.
    pub lookups: HashMap<Arc<str>, Arc<LookupPlan>>,
    /// The cell of each index.
    pub cells: Cells,
    /// How many members share each upstream's limits.
    pub sharers: HashMap<UpstreamId, u32>,
}

impl View {
    /// Works out the view from the set in force and the hosts as listed.
    #[must_use]
    pub fn build(
        revision: Option<Revision>,
        set: &Arc<ResourceSet>,
        listed: Option<Revision>,
        hosts: &HostList,
        size: CellSize,
    ) -> Self {
        let lookups = set.lookups.iter().filter_map(|(name, lookup)| {
            let plan = plan_lookup(set, name, lookup)?;
            Some((Arc::clone(name), Arc::new(plan)))
        });
        let cells = cell::assign(set, &hosts.daemons(), size);
        let sharers = count_sharers(set, &cells);
        Self {
            revision,
            set: Arc::clone(set),
            listed,
            leaving: hosts.leaving(),
            lookups: lookups.collect(),
            cells,
            sharers,
        }
    }
}

fn plan_lookup(set: &ResourceSet, name: &Arc<str>, lookup: &Lookup) -> Option<LookupPlan> {
    let (index_name, index) = set.indexes.get_key_value(lookup.index.as_str())?;
    let mut plans: Vec<_> = index
        .snapshots
        .iter()
        .filter(|snapshot| has_services(snapshot, lookup))
        .map(|snapshot| Arc::new(plan_snapshot(set, index_name, snapshot, lookup)))
        .collect();
    plans.sort_by_key(|plan| std::cmp::Reverse(plan.version));
    Some(LookupPlan { name: Arc::clone(name), lookup: lookup.clone(), plans })
}

fn has_services(snapshot: &Snapshot, lookup: &Lookup) -> bool {
    lookup.services.iter().all(|s| snapshot.shards.contains_key(s.as_str()))
}

fn plan_snapshot(set: &ResourceSet, index: &Arc<str>, snapshot: &Snapshot, lookup: &Lookup) -> Plan {
    let asked = |service: &str| lookup.services.is_empty() || lookup.services.iter().any(|s| s == service);
    let mut shards = Vec::new();
    for (service, names) in snapshot.shards.iter().filter(|(service, _)| asked(service)) {
        let held = set.services.get(service).map(|s| &s.shards);
        for name in names {
            let replicas = held.and_then(|shards| shards.get(name)).cloned().unwrap_or_default();
            let shard = format!("{service}/{name}").into();
            shards.push(ShardPlan { shard, replicas });
        }
    }
    Plan { index: Arc::clone(index), version: snapshot.version, shards }
}

/// Returns the names of the upstreams that hold any shard of an index.
#[must_use]
pub fn index_upstreams<'a>(set: &'a ResourceSet, index: &Index) -> HashSet<&'a UpstreamId> {
    let services: HashSet<&Arc<str>> = index.snapshots.iter().flat_map(|s| s.shards.keys()).collect();
    let services = services.into_iter().filter_map(|name| set.services.get(name));
    services.flat_map(|service| service.shards.values().flatten()).collect()
}

fn count_sharers(set: &ResourceSet, cells: &Cells) -> HashMap<UpstreamId, u32> {
    let mut members: HashMap<UpstreamId, HashSet<&HostId>> = HashMap::new();
    for (name, index) in &set.indexes {
        let Some(cell) = cells.get(name) else {
            continue;
        };
        for upstream in index_upstreams(set, index) {
            members.entry(Arc::clone(upstream)).or_default().extend(cell.iter());
        }
    }
    let count = |hosts: HashSet<&HostId>| u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1);
    members.into_iter().map(|(name, hosts)| (name, count(hosts))).collect()
}
