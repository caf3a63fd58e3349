//! The view that a worker acts on: the set in force, the hosts as listed, and
//! the plans worked out from both.
//!
//! A view holds plans and upstreams only of the cells that its daemon is a
//! member of; of the others it knows the lookups and who the members are. A new
//! view shares with the one before whatever did not change.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::cell;
use super::cell::CellSize;
use super::hosts::HostList;
use super::ids::HostId;
use super::ids::Revision;
use super::ids::ShardId;
use super::ids::UpstreamId;
use super::ids::Version;
use super::resources::Index;
use super::resources::Lookup;
use super::resources::ResourceSet;
use super::resources::Service;
use super::resources::Snapshot;
use super::resources::Upstream;

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

/// A lookup with the plans that may answer it.
#[derive(Clone, Debug)]
pub struct LookupPlan {
    /// The lookup's name.
    pub name: Arc<str>,
    /// The resource.
    pub lookup: Arc<Lookup>,
    /// Whether this daemon may run it.
    pub member: bool,
    /// The plans, newest snapshot first; none unless this daemon may run it.
    pub plans: Vec<Arc<Plan>>,
    /// What the plans were worked out from, to tell whether it changed.
    sources: Sources,
}

/// The resources that a lookup's plans were worked out from.
#[derive(Clone, Debug)]
struct Sources {
    index: Arc<Index>,
    services: Vec<Arc<Service>>,
}

/// The members of each index's cell.
pub type Cells = HashMap<Arc<str>, Arc<[HostId]>>;

/// An upstream that this daemon may dial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnUpstream {
    /// The resource.
    pub spec: Arc<Upstream>,
    /// How many members share its limits.
    pub sharers: u32,
}

/// What a view is worked out from.
#[derive(Clone, Copy, Debug)]
pub struct ViewSources<'a> {
    /// The daemon that the view is for.
    pub own: &'a HostId,
    /// The configuration revision in force.
    pub revision: Option<Revision>,
    /// The set in force.
    pub set: &'a Arc<ResourceSet>,
    /// The revision of the host list.
    pub listed: Option<Revision>,
    /// The host list.
    pub hosts: &'a HostList,
    /// How large cells may be.
    pub size: CellSize,
}

/// Everything that a request is decided on, immutable.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration revision in force; none before the first.
    pub revision: Option<Revision>,
    /// The revision of the host list.
    pub listed: Option<Revision>,
    /// The addresses listed as leaving.
    pub leaving: HashSet<SocketAddr>,
    /// The lookups, by name.
    pub lookups: HashMap<Arc<str>, Arc<LookupPlan>>,
    /// The cell of each index; empty where no daemon is listed, which makes
    /// everyone a member.
    pub cells: Cells,
    /// The upstreams of the cells that this daemon is a member of.
    pub upstreams: BTreeMap<UpstreamId, OwnUpstream>,
    daemons: Vec<HostId>,
    sizes: BTreeMap<Arc<str>, usize>,
}

impl View {
    /// Works out the view that follows `self`.
    #[must_use]
    pub fn next(&self, sources: &ViewSources<'_>) -> Self {
        let daemons = sources.hosts.daemons();
        let sizes = cell::sizes(sources.set, sources.size);
        let cells = if daemons == self.daemons && sizes == self.sizes {
            self.cells.clone()
        } else {
            cell::assign(&sizes, &daemons)
        };
        let builder = Builder { sources, cells: &cells, before: self };
        let lookups = builder.lookups();
        let upstreams = builder.upstreams();
        Self {
            revision: sources.revision,
            listed: sources.listed,
            leaving: sources.hosts.leaving(),
            lookups,
            cells,
            upstreams,
            daemons,
            sizes,
        }
    }
}

/// Works out one view.
struct Builder<'a> {
    sources: &'a ViewSources<'a>,
    cells: &'a Cells,
    before: &'a View,
}

impl Builder<'_> {
    fn is_member(&self, index: &str) -> bool {
        let cell = self.cells.get(index);
        cell.is_none_or(|cell| cell.is_empty() || cell.contains(self.sources.own))
    }

    fn lookups(&self) -> HashMap<Arc<str>, Arc<LookupPlan>> {
        let all = self.sources.set.lookups.iter();
        let planned = all.filter_map(|(name, lookup)| {
            let plan = self.same(name, lookup).or_else(|| self.plan(name, lookup))?;
            Some((Arc::clone(name), plan))
        });
        planned.collect()
    }

    /// Returns the plan of the view before, if nothing that it was worked out
    /// from has changed.
    fn same(&self, name: &Arc<str>, lookup: &Arc<Lookup>) -> Option<Arc<LookupPlan>> {
        let before = self.before.lookups.get(name)?;
        let set = self.sources.set;
        let index = set.indexes.get(lookup.index.as_str())?;
        let services = services_of(set, index);
        let same = Arc::ptr_eq(&before.lookup, lookup)
            && before.member == self.is_member(&lookup.index)
            && Arc::ptr_eq(&before.sources.index, index)
            && services.len() == before.sources.services.len()
            && services.iter().zip(&before.sources.services).all(|(a, b)| Arc::ptr_eq(a, b));
        same.then(|| Arc::clone(before))
    }

    fn plan(&self, name: &Arc<str>, lookup: &Arc<Lookup>) -> Option<Arc<LookupPlan>> {
        let set = self.sources.set;
        let (index_name, index) = set.indexes.get_key_value(lookup.index.as_str())?;
        let member = self.is_member(index_name);
        let fitting = index.snapshots.iter().filter(|snapshot| member && has_services(snapshot, lookup));
        let mut plans: Vec<_> =
            fitting.map(|snapshot| Arc::new(plan_snapshot(set, index_name, snapshot, lookup))).collect();
        plans.sort_by_key(|plan| std::cmp::Reverse(plan.version));
        let sources = Sources { index: Arc::clone(index), services: services_of(set, index) };
        let (name, lookup) = (Arc::clone(name), Arc::clone(lookup));
        Some(Arc::new(LookupPlan { name, lookup, member, plans, sources }))
    }

    fn upstreams(&self) -> BTreeMap<UpstreamId, OwnUpstream> {
        let set = self.sources.set;
        let mut members: BTreeMap<&UpstreamId, HashSet<&HostId>> = BTreeMap::new();
        for (name, index) in set.indexes.iter().filter(|(name, _)| self.is_member(name)) {
            let cell = self.cells.get(name).map_or(&[][..], |cell| cell);
            for upstream in cell::index_upstreams(set, index) {
                members.entry(upstream).or_default().extend(cell);
            }
        }
        let own = members.into_iter().filter_map(|(name, hosts)| {
            let spec = Arc::clone(set.upstreams.get(name)?);
            let sharers = u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1);
            Some((Arc::clone(name), OwnUpstream { spec, sharers }))
        });
        own.collect()
    }
}

/// Returns the services of an index, over all its snapshots.
fn services_of(set: &ResourceSet, index: &Index) -> Vec<Arc<Service>> {
    let names = index.snapshots.iter().flat_map(|snapshot| snapshot.shards.keys());
    names.filter_map(|name| set.services.get(name)).map(Arc::clone).collect()
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
