//! Builds a view from the active resource set and the hosts, and reuses unchanged parts of the
//! previous view.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::Lookups;
use super::UpstreamShare;
use super::View;
use super::ViewInputs;
use super::plan::LookupPlan;
use super::plan::Plan;
use super::plan::ShardPlan;
use super::plan::WeightedPlan;
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
use crate::domain::resources::changed_names;

/// Builds one view.
pub(super) struct Builder<'a> {
    inputs: &'a ViewInputs<'a>,
    cells: &'a Cells,
    previous: &'a View,
    /// The cells as they would be if all daemons were live.
    static_cells: &'a Cells,
    fleet: HashMap<&'a HostId, &'a Candidate>,
    /// Plans over whole indexes, shared between lookups.
    plans: RefCell<HashMap<String, Vec<Arc<Plan>>>>,
    /// Whether an index is as in the previous view, without and with the zones of its replicas.
    same_indexes: RefCell<HashMap<(Arc<str>, bool), bool>>,
}

/// A lookup whose plan differs from that of the previous view.
pub(super) struct PlanChange {
    /// The previous plan; `None` for a new lookup.
    pub(super) old: Option<Arc<LookupPlan>>,
    /// The new plan; `None` if there is none any more.
    pub(super) new: Option<Arc<LookupPlan>>,
}

impl<'a> Builder<'a> {
    /// Creates a builder for the view that follows `previous`.
    pub(super) fn new(
        inputs: &'a ViewInputs<'a>,
        cells: &'a Cells,
        previous: &'a View,
        static_cells: &'a Cells,
    ) -> Self {
        let fleet = inputs.fleet.iter().map(|candidate| (&candidate.host, candidate)).collect();
        Self {
            inputs,
            cells,
            previous,
            static_cells,
            fleet,
            plans: RefCell::default(),
            same_indexes: RefCell::default(),
        }
    }

    fn is_member(&self, index: &str) -> bool {
        let cell = self.cells.get(index);
        cell.is_none_or(|cell| cell.is_empty() || cell.contains(self.inputs.own))
    }

    /// Plans every lookup of the set whose indexes exist. Returns them with those that differ from
    /// the previous view's.
    pub(super) fn lookups(&self) -> (Arc<Lookups>, Vec<PlanChange>) {
        let before = &self.previous.lookups;
        let mut changes: Vec<PlanChange> = Vec::new();
        for name in self.affected_lookups() {
            let (old, lookup) = (before.get(name), self.inputs.set.lookups.get(name));
            if let (Some(old), Some(lookup)) = (old, lookup)
                && self.is_unchanged(old, lookup)
            {
                continue;
            }
            let new = lookup.and_then(|lookup| self.plan(name, lookup));
            if old.is_some() || new.is_some() {
                changes.push(PlanChange { old: old.map(Arc::clone), new });
            }
        }
        if changes.is_empty() {
            return (Arc::clone(before), changes);
        }
        let mut lookups = Lookups::clone(before);
        for PlanChange { old, new } in &changes {
            if let Some(old) = old {
                lookups.remove(&old.name);
            }
            lookups.extend(new.iter().map(|new| (Arc::clone(&new.name), Arc::clone(new))));
        }
        (Arc::new(lookups), changes)
    }

    /// Returns the names of the lookups that may be planned otherwise than in the previous view, or
    /// that it lacks.
    fn affected_lookups(&self) -> Vec<&Arc<str>> {
        let (before, now) = (&self.previous.set, self.inputs.set);
        if before.shares_upstreams(now) && *self.cells == self.previous.cells {
            return changed_names(&before.lookups, &now.lookups);
        }
        let removed = before.lookups.keys().filter(|name| !now.lookups.contains_key(*name));
        now.lookups.keys().chain(removed).collect()
    }

    /// Returns whether none of the inputs of a plan of the previous view have changed.
    fn is_unchanged(&self, plan: &LookupPlan, lookup: &Arc<Lookup>) -> bool {
        let split = lookup.split.iter().map(|part| part.index.as_str());
        let mut indexes = std::iter::once(lookup.index.as_str()).chain(split);
        let same_member = |plan: &LookupPlan| plan.member == self.is_member(&plan.lookup.index);
        Arc::ptr_eq(&plan.lookup, lookup)
            && same_member(plan)
            && plan.parts.iter().all(|part| same_member(&part.plan))
            && indexes.all(|index| self.is_same_index(index, lookup.residency().is_restricted()))
    }

    /// Returns whether nothing of an index was replaced since the previous view, not even by an
    /// equal value: the index, its services and the upstreams that announce their shards. If
    /// `zones` is set, the availability zones of the replicas count too.
    fn is_same_index(&self, name: &str, zones: bool) -> bool {
        let (before, now) = (&self.previous.set, self.inputs.set);
        if Arc::ptr_eq(before, now) {
            return now.indexes.contains_key(name);
        }
        let Some((name, index)) = now.indexes.get_key_value(name) else { return false };
        let compare = || {
            before.indexes.get(name).is_some_and(|old| Arc::ptr_eq(old, index))
                && services_of(now, index).all(|(name, service)| {
                    before.services.get(name).is_some_and(|old| Arc::ptr_eq(old, service))
                        && service.shards.keys().all(|shard| {
                            let shard = shard_id(name, shard);
                            same_holders(before.holders.get(&shard), now.holders.get(&shard))
                                && (!zones || zones_of(before, &shard) == zones_of(now, &shard))
                        })
                })
        };
        *self.same_indexes.borrow_mut().entry((Arc::clone(name), zones)).or_insert_with(compare)
    }

    /// Returns whether a lookup may be served by an upstream in its region.
    fn allows(&self, lookup: &Lookup, upstream: &UpstreamId) -> bool {
        let zone = self.inputs.set.upstreams.get(upstream).map(|upstream| &upstream.zone);
        let region = zone.map(|zone| self.inputs.topology.region_of(zone));
        lookup.residency().allows(region)
    }

    fn plan(&self, name: &Arc<str>, lookup: &Arc<Lookup>) -> Option<Arc<LookupPlan>> {
        let split = lookup.split.iter().map(|part| part.index.as_str());
        let mut indexes = std::iter::once(lookup.index.as_str()).chain(split);
        if !indexes.all(|index| self.inputs.set.indexes.contains_key(index)) {
            return None;
        }
        let member = self.is_member(&lookup.index);
        let plans = self.plans_of(lookup, member)?;
        let parts = lookup.split.iter().filter(|part| part.weight > 0).filter_map(|part| {
            let part_lookup = Lookup { index: part.index.clone(), split: Vec::new(), ..(**lookup).clone() };
            let plan = self.plan(name, &Arc::new(part_lookup))?;
            Some(WeightedPlan { weight: part.weight, plan })
        });
        let parts = parts.collect();
        let (name, lookup) = (Arc::clone(name), Arc::clone(lookup));
        Some(Arc::new(LookupPlan { name, lookup, member, plans, parts }))
    }

    /// Returns a lookup's plans, newest first. Lookups that query whole indexes share them.
    fn plans_of(&self, lookup: &Lookup, member: bool) -> Option<Vec<Arc<Plan>>> {
        let set = self.inputs.set;
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
        let queried =
            |service: &str| lookup.services.is_empty() || lookup.services.iter().any(|s| s == service);
        let mut shards = Vec::new();
        for (service, names) in snapshot.shards.iter().filter(|(service, _)| queried(service)) {
            for name in names {
                let shard = shard_id(service, name);
                let replicas = self.inputs.set.replicas(&shard).cloned().collect();
                shards.push(ShardPlan { shard, replicas, outside_regions: false, limit: None });
            }
        }
        let whole = Plan { index: Arc::clone(index), version: snapshot.version, shards };
        whole.filtered(|upstream| self.allows(lookup, upstream))
    }

    /// Collects the upstreams of the cells that the daemon is a member of.
    pub(super) fn upstreams(&self) -> BTreeMap<UpstreamId, UpstreamShare> {
        let set = self.inputs.set;
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
            let rank = cell::rank(hosts, self.inputs.own);
            let connections = cell::connections(set, &spec);
            let cold = self.cold_allowance(name, &spec);
            Some((Arc::clone(name), UpstreamShare { spec, sharers, rank, connections, cold }))
        });
        own.collect()
    }

    /// Returns what this daemon may send to an upstream while it is cold; `None` if none of its
    /// services limits that.
    fn cold_allowance(&self, name: &UpstreamId, upstream: &Upstream) -> Option<Allowance> {
        let services = || upstream.holds.iter().filter_map(|shard| shard.split_once('/'));
        let limits = services().filter_map(|(service, _)| self.inputs.set.services.get(service)?.cold);
        let ColdLimit { per_s, start_ms } = limits.min_by(|a, b| a.per_s.total_cmp(&b.per_s))?;
        let indexes = self.inputs.set.indexes.iter().filter(|(_, index)| {
            let named =
                |(service, _): (&str, &str)| index.snapshots.iter().any(|s| s.shards.contains_key(service));
            services().any(named)
        });
        let cells = indexes.filter_map(|(index, _)| self.static_cells.get(index));
        let hosts: HashSet<&HostId> = cells.flat_map(|cell| cell.iter()).collect();
        let members: Vec<&Candidate> =
            hosts.iter().filter_map(|host| self.fleet.get(host).copied()).collect();
        let ViewInputs { own, topology, cold, .. } = self.inputs;
        let quota = cold::quota(cold.distributed(per_s), name, &upstream.zone, &members, own, topology);
        let quota = u32::try_from(quota).unwrap_or(u32::MAX);
        Some(Allowance { quota, assumed_cold: Duration::from_millis(start_ms) })
    }
}

fn same_holders(before: Option<&Arc<[UpstreamId]>>, now: Option<&Arc<[UpstreamId]>>) -> bool {
    match (before, now) {
        (Some(before), Some(now)) => Arc::ptr_eq(before, now),
        (before, now) => before.is_none() && now.is_none(),
    }
}

/// Returns the availability zones of a shard's replicas.
fn zones_of<'a>(set: &'a ResourceSet, shard: &ShardId) -> Vec<Option<&'a Arc<str>>> {
    set.replicas(shard).map(|name| set.upstreams.get(name).map(|upstream| &upstream.zone)).collect()
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
