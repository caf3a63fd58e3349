//! The view that a worker acts on: the active resource set, the listed hosts, and the plans derived
//! from both.
//!
//! A view has plans and upstreams only for the cells that its daemon is a member of. For other
//! cells it has the lookups and the members. A new view shares unchanged parts with the previous
//! one.

mod builder;
mod path_index;
mod plan;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use self::builder::Builder;
use self::path_index::PathIndex;
pub use self::plan::LookupPlan;
pub use self::plan::Plan;
pub use self::plan::ReplicaLimit;
pub use self::plan::ShardPlan;
pub use self::plan::WeightedPlan;
use super::accounts::Directory;
use super::cell;
use super::cell::Candidate;
use super::cell::CellSize;
use super::cell::Cells;
use super::cold::Allowance;
use super::cold::ColdBounds;
use super::hosts::HostList;
use super::ids::Edition;
use super::ids::HostId;
use super::ids::UpstreamId;
use super::resources::Bounds;
use super::resources::ResourceSet;
use super::resources::Upstream;
use super::revision::Revision;
use super::topology::Topology;

/// The lookups by name.
pub type Lookups = HashMap<Arc<str>, Arc<LookupPlan>>;

/// An upstream that this daemon may connect to, and this daemon's share of its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamShare {
    /// The upstream's resource.
    pub spec: Arc<Upstream>,
    /// How many cell members share its limits.
    pub sharers: u32,
    /// How many of the members come before this one, in an order that is the same on all daemons.
    pub rank: u32,
    /// How many connections it accepts in total.
    pub connections: u32,
    /// What this daemon may send while the upstream is cold; `None` if there is no limit.
    pub cold: Option<Allowance>,
}

/// The inputs that a view is derived from.
#[derive(Clone, Copy, Debug)]
pub struct ViewInputs<'a> {
    /// The daemon that the view is for.
    pub own: &'a HostId,
    /// The active configuration revision.
    pub revision: Option<Revision>,
    /// The active resource set.
    pub set: &'a Arc<ResourceSet>,
    /// The revision of the host list.
    pub hosts_revision: Option<Revision>,
    /// The host list.
    pub hosts: &'a HostList,
    /// The daemons as they know each other by gossip, for platforms that list none.
    pub fleet: &'a [Candidate],
    /// The limits on cell sizes.
    pub size: CellSize,
    /// The region of each availability zone.
    pub topology: &'a Topology,
    /// How far the fleet may exceed what cold upstreams can handle.
    pub cold: ColdBounds,
    /// Whether lookups that are not public require a key even if no account is published.
    pub require_keys: bool,
}

/// The immutable state that a request is decided on.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The active configuration revision; `None` before the first.
    pub revision: Option<Revision>,
    /// The edition of the catalogs; 0 if there are none.
    pub edition: Edition,
    /// The revision of the host list.
    pub hosts_revision: Option<Revision>,
    /// The active resource set.
    pub set: Arc<ResourceSet>,
    /// The addresses listed as leaving.
    pub leaving: HashSet<SocketAddr>,
    /// The lookups, by name.
    pub lookups: Arc<Lookups>,
    /// The cell of each index; empty if no daemon is known, so that every daemon is a member.
    pub cells: Cells,
    /// The upstreams of the cells that this daemon is a member of.
    pub upstreams: Arc<BTreeMap<UpstreamId, UpstreamShare>>,
    /// The client accounts.
    pub directory: Arc<Directory>,
    /// Bounds on callers' requests, as published.
    pub bounds: Bounds,
    /// The availability zones whose upstreams get no new requests.
    pub evacuated: HashSet<Arc<str>>,
    paths: Arc<PathIndex>,
    /// The plans of all lookups, each once.
    plans: Arc<[Arc<Plan>]>,
    daemons: Vec<HostId>,
    fleet: Vec<Candidate>,
    sizes: BTreeMap<Arc<str>, usize>,
}

impl View {
    /// Returns the view that follows `self`, for the same daemon.
    #[must_use]
    pub fn next(&self, inputs: &ViewInputs<'_>) -> Self {
        let daemons = inputs.hosts.daemons();
        let same_upstreams = self.set.shares_upstreams(inputs.set);
        let count = daemons.len().max(inputs.fleet.len());
        let sizes = if same_upstreams && count == self.daemons.len().max(self.fleet.len()) {
            self.sizes.clone()
        } else {
            cell::sizes(inputs.set, inputs.size, count)
        };
        let fleet = inputs.fleet.to_vec();
        let cells = if daemons == self.daemons && fleet == self.fleet && sizes == self.sizes {
            self.cells.clone()
        } else if daemons.is_empty() && !fleet.is_empty() {
            cell::assign_by_zone(&sizes, &fleet)
        } else {
            cell::assign(&sizes, &daemons)
        };
        let static_cells = static_cells(inputs, &sizes);
        let builder = Builder::new(inputs, &cells, self, &static_cells);
        let (lookups, changes) = builder.lookups();
        let paths = self.paths.next(&lookups, &changes);
        let plans = if changes.is_empty() { Arc::clone(&self.plans) } else { distinct_plans(&lookups) };
        let upstreams = if same_upstreams && cells == self.cells && static_cells.is_empty() {
            Arc::clone(&self.upstreams)
        } else {
            Arc::new(builder.upstreams())
        };
        let directory = if self.directory.matches(inputs.set, inputs.require_keys) {
            Arc::clone(&self.directory)
        } else {
            Arc::new(Directory::new(inputs.set, inputs.require_keys))
        };
        Self {
            paths,
            plans,
            directory,
            bounds: inputs.set.bounds(),
            evacuated: inputs.set.evacuations.keys().map(Arc::clone).collect(),
            revision: inputs.revision,
            edition: inputs.set.edition(),
            hosts_revision: inputs.hosts_revision,
            set: Arc::clone(inputs.set),
            leaving: inputs.hosts.leaving(),
            lookups,
            cells,
            upstreams,
            daemons,
            fleet,
            sizes,
        }
    }

    /// Returns the plans of all lookups, each once: lookups that query whole indexes share them.
    #[must_use]
    pub fn plans(&self) -> &[Arc<Plan>] {
        &self.plans
    }

    /// Returns whether the same daemons are members of the cells if `fleet` are the daemons. Only
    /// then may the view stay as it is: shares go by hosts, zones and capacities.
    #[must_use]
    pub fn keeps_cells(&self, fleet: &[Candidate]) -> bool {
        let same = |(own, other): (&Candidate, &Candidate)| {
            own.host == other.host && own.zone == other.zone && own.capacity == other.capacity
        };
        !fleet.is_empty()
            && self.daemons.is_empty()
            && self.fleet.len() == fleet.len()
            && self.fleet.iter().zip(fleet).all(same)
            && cell::assign_by_zone(&self.sizes, fleet) == self.cells
    }

    /// Returns the lookup for a caller's host name and path, by the longest matching prefix.
    #[must_use]
    pub fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        self.paths.lookup_at(host, path)
    }
}

fn distinct_plans(lookups: &Lookups) -> Arc<[Arc<Plan>]> {
    let mut seen: HashSet<*const Plan> = HashSet::new();
    let all = lookups.values().flat_map(|lookup| &lookup.plans);
    all.filter(|plan| seen.insert(Arc::as_ptr(plan))).map(Arc::clone).collect()
}

/// Returns the cells as they would be if all daemons were live, so that the shares of a cold
/// upstream's capacity don't change with the daemons that are seen as live. Empty if no service
/// limits cold upstreams, or if the platform lists the daemons.
fn static_cells(inputs: &ViewInputs<'_>, sizes: &BTreeMap<Arc<str>, usize>) -> Cells {
    if inputs.set.services.values().all(|service| service.cold.is_none()) {
        return Cells::default();
    }
    let live = |candidate: &Candidate| Candidate { live: true, ..candidate.clone() };
    let fleet: Vec<Candidate> = inputs.fleet.iter().map(live).collect();
    cell::assign_by_zone(sizes, &fleet)
}
