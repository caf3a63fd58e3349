//! The view that a worker acts on: the set in force, the hosts as listed, and
//! the plans worked out from both.
//!
//! A view holds plans and upstreams only of the cells that its daemon is a
//! member of; of the others it knows the lookups and who the members are. A new
//! view shares with the one before whatever did not change.

use std::cell::RefCell;
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
use super::ids::shard_id;
use super::resources::Bounds;
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
    /// The parts that its requests are divided over, with their weights; none
    /// where all go by its own plans.
    pub parts: Vec<Weighted>,
    /// What the plans were worked out from, to tell whether it changed.
    sources: Sources,
}

/// One part of a lookup's requests.
#[derive(Clone, Debug)]
pub struct Weighted {
    /// Its weight, relative to the other parts'.
    pub weight: u32,
    /// How it is answered.
    pub plan: Arc<LookupPlan>,
}

/// The upstreams that hold a shard by their own word; none where none does.
type Holders = Option<Arc<[UpstreamId]>>;

/// The resources that a lookup's plans were worked out from.
#[derive(Clone, Debug, Default)]
struct Sources {
    indexes: Vec<Arc<Index>>,
    services: Vec<Arc<Service>>,
    holders: Vec<Holders>,
}

impl Sources {
    /// Returns whether nothing was replaced, not even by an equal value.
    fn same(&self, other: &Self) -> bool {
        let same_holders = |(a, b): (&Holders, &Holders)| match (a, b) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        same_values(&self.indexes, &other.indexes)
            && same_values(&self.services, &other.services)
            && self.holders.len() == other.holders.len()
            && self.holders.iter().zip(&other.holders).all(same_holders)
    }
}

fn same_values<T>(own: &[Arc<T>], other: &[Arc<T>]) -> bool {
    own.len() == other.len() && own.iter().zip(other).all(|(a, b)| Arc::ptr_eq(a, b))
}

/// A path prefix that leads to a lookup.
#[derive(Clone, Debug)]
struct Way {
    prefix: Arc<str>,
    plan: Arc<LookupPlan>,
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
    /// How many connections it takes in all.
    pub connections: u32,
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
    /// Bounds on callers' requests, as published.
    pub bounds: Bounds,
    entries: HashMap<Arc<str>, Vec<Way>>,
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
        let builder = Builder { sources, cells: &cells, before: self, plans: RefCell::default() };
        let lookups = builder.lookups();
        let upstreams = builder.upstreams();
        let entries = entries(&lookups);
        Self {
            entries,
            bounds: sources.set.bounds(),
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

    /// Returns the lookup that a caller's path leads to, by the longest prefix.
    #[must_use]
    pub fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        let ways = self.entries.get(host)?;
        ways.iter().find(|way| path.starts_with(&*way.prefix)).map(|way| &way.plan)
    }
}

/// Sorts the lookups' entries by name, the longest prefix first.
fn entries(lookups: &HashMap<Arc<str>, Arc<LookupPlan>>) -> HashMap<Arc<str>, Vec<Way>> {
    let mut entries: HashMap<Arc<str>, Vec<Way>> = HashMap::new();
    for plan in lookups.values() {
        for entry in &plan.lookup.entries {
            let way = Way { prefix: Arc::clone(&entry.prefix), plan: Arc::clone(plan) };
            entries.entry(Arc::clone(&entry.host)).or_default().push(way);
        }
    }
    for ways in entries.values_mut() {
        ways.sort_by_key(|way| std::cmp::Reverse(way.prefix.len()));
    }
    entries
}

/// Works out one view.
struct Builder<'a> {
    sources: &'a ViewSources<'a>,
    cells: &'a Cells,
    before: &'a View,
    /// Plans over whole indexes, which lookups share.
    plans: RefCell<HashMap<String, Vec<Arc<Plan>>>>,
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
        let same = Arc::ptr_eq(&before.lookup, lookup)
            && before.member == self.is_member(&lookup.index)
            && before.sources.same(&self.sources_of(lookup)?);
        same.then(|| Arc::clone(before))
    }

    /// Returns what a lookup's plans are worked out from; none where an index
    /// does not exist.
    fn sources_of(&self, lookup: &Lookup) -> Option<Sources> {
        let set = self.sources.set;
        let mut sources = Sources::default();
        let split = lookup.split.iter().map(|part| part.index.as_str());
        for name in std::iter::once(lookup.index.as_str()).chain(split) {
            let index = set.indexes.get(name)?;
            sources.indexes.push(Arc::clone(index));
            for (name, service) in services_of(set, index) {
                let shards = service.shards.keys();
                let holders = shards.map(|shard| set.holders.get(&shard_id(name, shard)).map(Arc::clone));
                sources.holders.extend(holders);
                sources.services.push(Arc::clone(service));
            }
        }
        Some(sources)
    }

    fn plan(&self, name: &Arc<str>, lookup: &Arc<Lookup>) -> Option<Arc<LookupPlan>> {
        let sources = self.sources_of(lookup)?;
        let member = self.is_member(&lookup.index);
        let plans = self.plans_of(lookup, member)?;
        let parts = lookup.split.iter().filter(|part| part.weight > 0).filter_map(|part| {
            let part_lookup = Lookup { index: part.index.clone(), split: Vec::new(), ..(**lookup).clone() };
            let plan = self.plan(name, &Arc::new(part_lookup))?;
            Some(Weighted { weight: part.weight, plan })
        });
        let parts = parts.collect();
        let (name, lookup) = (Arc::clone(name), Arc::clone(lookup));
        Some(Arc::new(LookupPlan { name, lookup, member, plans, parts, sources }))
    }

    /// Returns a lookup's plans, the newest first; lookups that ask whole
    /// indexes share them.
    fn plans_of(&self, lookup: &Lookup, member: bool) -> Option<Vec<Arc<Plan>>> {
        let set = self.sources.set;
        let (index_name, index) = set.indexes.get_key_value(lookup.index.as_str())?;
        let whole = lookup.services.is_empty();
        if let Some(plans) = self.plans.borrow().get(lookup.index.as_str()).filter(|_| whole) {
            return Some(plans.clone());
        }
        let fitting = index.snapshots.iter().filter(|snapshot| member && has_services(snapshot, lookup));
        let mut plans: Vec<_> =
            fitting.map(|snapshot| Arc::new(plan_snapshot(set, index_name, snapshot, lookup))).collect();
        plans.sort_by_key(|plan| std::cmp::Reverse(plan.version));
        if whole {
            self.plans.borrow_mut().insert(lookup.index.clone(), plans.clone());
        }
        Some(plans)
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
            let connections = cell::connections(set, &spec);
            Some((Arc::clone(name), OwnUpstream { spec, sharers, connections }))
        });
        own.collect()
    }
}

/// Returns the services of an index, over all its snapshots.
fn services_of<'a>(
    set: &'a ResourceSet,
    index: &'a Index,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Arc<Service>)> {
    let names = index.snapshots.iter().flat_map(|snapshot| snapshot.shards.keys());
    names.filter_map(|name| set.services.get_key_value(name))
}

fn has_services(snapshot: &Snapshot, lookup: &Lookup) -> bool {
    lookup.services.iter().all(|s| snapshot.shards.contains_key(s.as_str()))
}

fn plan_snapshot(set: &ResourceSet, index: &Arc<str>, snapshot: &Snapshot, lookup: &Lookup) -> Plan {
    let asked = |service: &str| lookup.services.is_empty() || lookup.services.iter().any(|s| s == service);
    let mut shards = Vec::new();
    for (service, names) in snapshot.shards.iter().filter(|(service, _)| asked(service)) {
        for name in names {
            let shard = shard_id(service, name);
            let replicas = set.replicas(&shard).cloned().collect();
            shards.push(ShardPlan { shard, replicas });
        }
    }
    Plan { index: Arc::clone(index), version: snapshot.version, shards }
}
