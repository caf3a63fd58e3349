//! The view that a worker acts on: the set in force, the hosts as listed, and
//! the plans worked out from both.
//!
//! A view holds plans and upstreams only of the cells that its daemon is a
//! member of; of the others it knows the lookups and who the members are. A new
//! view shares with the one before whatever did not change.

mod builder;
mod paths;
mod plan;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use self::builder::Builder;
use self::paths::Paths;
pub use self::plan::LookupPlan;
pub use self::plan::Plan;
pub use self::plan::ReplicaLimit;
pub use self::plan::ShardPlan;
pub use self::plan::Weighted;
use super::accounts::Directory;
use super::cell;
use super::cell::Candidate;
use super::cell::CellSize;
use super::cell::Cells;
use super::cold::Allowance;
use super::cold::Bound;
use super::hosts::HostList;
use super::ids::Edition;
use super::ids::HostId;
use super::ids::UpstreamId;
use super::resources::Bounds;
use super::resources::ResourceSet;
use super::resources::Upstream;
use super::revision::Revision;
use super::topology::Topology;

/// An upstream that this daemon may dial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnUpstream {
    /// The resource.
    pub spec: Arc<Upstream>,
    /// How many members share its limits.
    pub sharers: u32,
    /// How many of them come before this one, in an order that is the same for all.
    pub rank: u32,
    /// How many connections it takes in all.
    pub connections: u32,
    /// What this daemon may send to it while it is cold; none where that is not bound.
    pub cold: Option<Allowance>,
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
    /// The daemons as they know each other, where the platform lists none.
    pub fleet: &'a [Candidate],
    /// How large cells may be.
    pub size: CellSize,
    /// Which region each availability zone is in.
    pub places: &'a Topology,
    /// How far above what cold upstreams bear the fleet may go.
    pub cold: Bound,
    /// Whether lookups that are not public ask for a key also where no account is published.
    pub keyed: bool,
}

/// Everything that a request is decided on, immutable.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration revision in force; none before the first.
    pub revision: Option<Revision>,
    /// The edition of the catalogs; 0 where there are none.
    pub edition: Edition,
    /// The revision of the host list.
    pub listed: Option<Revision>,
    /// The set in force.
    pub set: Arc<ResourceSet>,
    /// The addresses listed as leaving.
    pub leaving: HashSet<SocketAddr>,
    /// The lookups, by name.
    pub lookups: HashMap<Arc<str>, Arc<LookupPlan>>,
    /// The cell of each index; empty where no daemon is listed, which makes
    /// everyone a member.
    pub cells: Cells,
    /// The upstreams of the cells that this daemon is a member of.
    pub upstreams: BTreeMap<UpstreamId, OwnUpstream>,
    /// The client accounts.
    pub directory: Arc<Directory>,
    /// Bounds on callers' requests, as published.
    pub bounds: Bounds,
    /// The availability zones whose upstreams get nothing new.
    pub evacuated: HashSet<Arc<str>>,
    paths: Paths,
    daemons: Vec<HostId>,
    fleet: Vec<Candidate>,
    sizes: BTreeMap<Arc<str>, usize>,
}

impl View {
    /// Works out the view that follows `self`.
    #[must_use]
    pub fn next(&self, sources: &ViewSources<'_>) -> Self {
        let daemons = sources.hosts.daemons();
        let sizes = cell::sizes(sources.set, sources.size, daemons.len().max(sources.fleet.len()));
        let fleet = sources.fleet.to_vec();
        let cells = if daemons == self.daemons && fleet == self.fleet && sizes == self.sizes {
            self.cells.clone()
        } else if daemons.is_empty() && !fleet.is_empty() {
            cell::assign_by_zone(&sizes, &fleet)
        } else {
            cell::assign(&sizes, &daemons)
        };
        let static_cells = static_cells(sources, &sizes);
        let builder = Builder::new(sources, &cells, self, &static_cells);
        let lookups = builder.lookups();
        let upstreams = builder.upstreams();
        let paths = Paths::new(&lookups);
        let directory = if self.directory.is_of(sources.set, sources.keyed) {
            Arc::clone(&self.directory)
        } else {
            Arc::new(Directory::new(sources.set, sources.keyed))
        };
        Self {
            paths,
            directory,
            bounds: sources.set.bounds(),
            evacuated: sources.set.evacuations.keys().map(Arc::clone).collect(),
            revision: sources.revision,
            edition: sources.set.edition(),
            listed: sources.listed,
            set: Arc::clone(sources.set),
            leaving: sources.hosts.leaving(),
            lookups,
            cells,
            upstreams,
            daemons,
            fleet,
            sizes,
        }
    }

    /// Returns the lookup that a caller's path leads to, by the longest prefix.
    #[must_use]
    pub fn lookup_at(&self, host: &str, path: &str) -> Option<&Arc<LookupPlan>> {
        self.paths.lookup_at(host, path)
    }
}

/// Returns the cells as they would be if all daemons answered: those who share what a cold
/// upstream bears do not change with who is seen to. Empty where nothing is bound, or the
/// platform lists the daemons.
fn static_cells(sources: &ViewSources<'_>, sizes: &BTreeMap<Arc<str>, usize>) -> Cells {
    if sources.set.services.values().all(|service| service.cold.is_none()) {
        return Cells::default();
    }
    let live = |candidate: &Candidate| Candidate { live: true, ..candidate.clone() };
    let fleet: Vec<Candidate> = sources.fleet.iter().map(live).collect();
    cell::assign_by_zone(sizes, &fleet)
}
