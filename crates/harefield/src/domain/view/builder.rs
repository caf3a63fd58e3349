//! Works out one view from the set in force and the hosts, sharing with the view
//! before whatever did not change.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::OwnUpstream;
use super::View;
use super::ViewSources;
use super::plan::LookupPlan;
use super::plan::Plan;
use super::plan::ShardPlan;
use super::plan::Sources;
use super::plan::Weighted;
use crate::domain::cell;
use crate::domain::cell::Candidate;
use crate::domain::cell::Cells;
use crate::domain::cold;
use crate::domain::cold::Allowance;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::shard_id;
use crate::domain::resources::ColdLimit;
use crate::domain::resources::Index;
use crate::domain::resources::Lookup;
use crate::domain::resources::ResourceSet;
use crate::domain::resources::Service;
use crate::domain::resources::Snapshot;
use crate::domain::resources::Upstream;

/// Works out one view.
pub(super) struct Builder<'a> {
    sources: &'a ViewSources<'a>,
    cells: &'a Cells,
    before: &'a View,
    /// The cells as they would be if all daemons answered.
    static_cells: &'a Cells,
    fleet: HashMap<&'a HostId, &'a Candidate>,
    /// Plans over whole indexes, which lookups share.
    plans: RefCell<HashMap<String, Vec<Arc<Plan>>>>,
}

impl<'a> Builder<'a> {
    /// Prepares the work on the view that follows `before`.
    pub(super) fn new(
        sources: &'a ViewSources<'a>,
        cells: &'a Cells,
        before: &'a View,
        static_cells: &'a Cells,
    ) -> Self {
        let fleet = sources.fleet.iter().map(|candidate| (&candidate.host, candidate)).collect();
        Self { sources, cells, before, static_cells, fleet, plans: RefCell::default() }
    }

    fn is_member(&self, index: &str) -> bool {
        let cell = self.cells.get(index);
        cell.is_none_or(|cell| cell.is_empty() || cell.contains(self.sources.own))
    }

    /// Plans every lookup of the set whose indexes exist.
    pub(super) fn lookups(&self) -> HashMap<Arc<str>, Arc<LookupPlan>> {
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

    /// Returns whether a lookup may be served by an upstream.
    fn allows(&self, lookup: &Lookup, upstream: &UpstreamId) -> bool {
        let zone = self.sources.set.upstreams.get(upstream).map(|upstream| &upstream.zone);
        let region = zone.map(|zone| self.sources.places.region_of(zone));
        lookup.residency().allows(region)
    }

    /// Returns the availability zones of a shard's replicas.
    fn zones_of(&self, shard: &ShardId) -> Vec<Option<Arc<str>>> {
        let set = self.sources.set;
        let zone = |name| set.upstreams.get(name).map(|upstream| Arc::clone(&upstream.zone));
        set.replicas(shard).map(zone).collect()
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
                if lookup.residency().is_restricted() {
                    for shard in service.shards.keys() {
                        sources.zones.extend(self.zones_of(&shard_id(name, shard)));
                    }
                }
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
        let bound = lookup.residency().is_restricted();
        let whole = lookup.services.is_empty() && !bound;
        if let Some(plans) = self.plans.borrow().get(lookup.index.as_str()).filter(|_| whole) {
            return Some(plans.clone());
        }
        let fitting = index.snapshots.iter().filter(|snapshot| member && has_services(snapshot, lookup));
        let mut plans: Vec<_> =
            fitting.map(|snapshot| Arc::new(self.plan_snapshot(index_name, snapshot, lookup))).collect();
        plans.sort_by_key(|plan| Reverse(plan.version));
        if whole {
            self.plans.borrow_mut().insert(lookup.index.clone(), plans.clone());
        }
        Some(plans)
    }

    fn plan_snapshot(&self, index: &Arc<str>, snapshot: &Snapshot, lookup: &Lookup) -> Plan {
        let asked =
            |service: &str| lookup.services.is_empty() || lookup.services.iter().any(|s| s == service);
        let mut shards = Vec::new();
        for (service, names) in snapshot.shards.iter().filter(|(service, _)| asked(service)) {
            for name in names {
                let shard = shard_id(service, name);
                let replicas = self.sources.set.replicas(&shard).cloned().collect();
                shards.push(ShardPlan { shard, replicas, abroad: false, limit: None });
            }
        }
        let whole = Plan { index: Arc::clone(index), version: snapshot.version, shards };
        whole.narrowed(|upstream| self.allows(lookup, upstream))
    }

    /// Gathers the upstreams of the cells that the daemon is a member of.
    pub(super) fn upstreams(&self) -> BTreeMap<UpstreamId, OwnUpstream> {
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
            let rank = cell::rank(hosts, self.sources.own);
            let connections = cell::connections(set, &spec);
            let cold = self.cold_allowance(name, &spec);
            Some((Arc::clone(name), OwnUpstream { spec, sharers, rank, connections, cold }))
        });
        own.collect()
    }

    /// Returns what this daemon may send to an upstream while it is cold; none where none of
    /// its services bounds that.
    fn cold_allowance(&self, name: &UpstreamId, upstream: &Upstream) -> Option<Allowance> {
        let services = || upstream.holds.iter().filter_map(|shard| shard.split_once('/'));
        let limits = services().filter_map(|(service, _)| self.sources.set.services.get(service)?.cold);
        let ColdLimit { per_s, start_ms } = limits.min_by(|a, b| a.per_s.total_cmp(&b.per_s))?;
        let indexes = self.sources.set.indexes.iter().filter(|(_, index)| {
            let named =
                |(service, _): (&str, &str)| index.snapshots.iter().any(|s| s.shards.contains_key(service));
            services().any(named)
        });
        let cells = indexes.filter_map(|(index, _)| self.static_cells.get(index));
        let hosts: HashSet<&HostId> = cells.flat_map(|cell| cell.iter()).collect();
        let members: Vec<&Candidate> =
            hosts.iter().filter_map(|host| self.fleet.get(host).copied()).collect();
        let ViewSources { own, places, cold, .. } = self.sources;
        let part = cold::part(cold.given_out(per_s), name, &upstream.zone, &members, own, places);
        let part = u32::try_from(part).unwrap_or(u32::MAX);
        Some(Allowance { part, spell: Duration::from_millis(start_ms) })
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
