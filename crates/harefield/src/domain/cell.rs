//! Cells: the daemons that may dial the upstreams of an index.
//!
//! Members are picked by rendezvous hashing over the published hosts, with a
//! bound on the cells a host belongs to. Where the hosts are few, a cell is
//! everyone and nothing is forwarded.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ids::HostId;
use super::ids::UpstreamId;
use super::ids::shard_id;
use super::resources::Index;
use super::resources::ResourceSet;
use super::resources::Upstream;

/// The share of an upstream's connections that cells use, in percent; the rest
/// is room for the old and the new cell while views differ.
const USED_PERCENT: u64 = 90;

/// The fewest connections to each upstream that members make do with, where that makes
/// everyone a member. A fleet of eight over upstreams of 26 connections hands nothing on
/// by it: credit of its quickest kind rose from 0.848 to 0.857, and bytes between regions
/// fell by 5 in 100, over 15 played days.
const LEAST_WANTED: usize = 2;

/// The connections that an upstream is taken to take where nobody says: the
/// least that the users' upstreams take today.
const UNSAID_CONNECTIONS: u32 = 25;

/// The members of each index's cell.
pub type Cells = HashMap<Arc<str>, Arc<[HostId]>>;

/// A daemon that may be a member of cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What it can carry, in thousandths of a core; members are taken from the
    /// strongest ones.
    pub capacity: u32,
    /// Whether it is seen to answer. One that is not may live all the same: it
    /// stays a member, and another one joins it.
    pub live: bool,
}

/// How large cells may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellSize {
    /// The most members of a cell.
    pub most: usize,
    /// The connections that a member wants at each upstream.
    pub wanted: usize,
}

impl Default for CellSize {
    fn default() -> Self {
        Self { most: 24, wanted: 1 }
    }
}

/// Returns the weight of a host for an index; the highest weights are members.
#[must_use]
pub fn weight(index: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(index.as_bytes(), 0))
}

/// Returns how many of some hosts come before `own`, in an order that is the same for all.
#[must_use]
pub fn rank<'a>(hosts: impl IntoIterator<Item = &'a HostId>, own: &HostId) -> u32 {
    let before = hosts.into_iter().filter(|host| *host < own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Returns the names of the upstreams that hold any shard of an index.
#[must_use]
pub fn index_upstreams<'a>(set: &'a ResourceSet, index: &Index) -> HashSet<&'a UpstreamId> {
    let services: HashSet<&Arc<str>> = index.snapshots.iter().flat_map(|s| s.shards.keys()).collect();
    let mut names = HashSet::new();
    for (name, service) in services.into_iter().filter_map(|name| set.services.get_key_value(name)) {
        for shard in service.shards.keys() {
            names.extend(set.replicas(&shard_id(name, shard)));
        }
    }
    names
}

/// Returns how many connections an upstream takes: by its own word, or else
/// the least of what the services say that it holds shards of.
#[must_use]
pub fn connections(set: &ResourceSet, upstream: &Upstream) -> u32 {
    if upstream.connections > 0 {
        return upstream.connections;
    }
    let services = upstream.holds.iter().filter_map(|shard| shard.split_once('/'));
    let said = services.filter_map(|(service, _)| set.services.get(service)?.connections);
    said.min().unwrap_or(UNSAID_CONNECTIONS).max(1)
}

/// Returns the size of each index's cell in a fleet of `daemons`.
#[must_use]
pub fn sizes(set: &ResourceSet, size: CellSize, daemons: usize) -> BTreeMap<Arc<str>, usize> {
    let all = set.indexes.iter();
    all.map(|(name, index)| (Arc::clone(name), index_size(set, index, size, daemons))).collect()
}

/// Assigns cells of the given sizes, so that no host is in many more than its part.
///
/// The bound is the rounded-up mean; only an index that cannot fill its cell
/// within the bound goes past it.
#[must_use]
pub fn assign(sizes: &BTreeMap<Arc<str>, usize>, hosts: &[HostId]) -> Cells {
    let alike =
        |host: &HostId| Candidate { host: Arc::clone(host), zone: Arc::default(), capacity: 1, live: true };
    let candidates: Vec<Candidate> = hosts.iter().map(alike).collect();
    let all: Vec<&Candidate> = candidates.iter().collect();
    let places = sizes.iter().map(|(name, size)| (name, *size));
    let picked = assign_among(places, &all);
    picked.into_iter().map(|(name, cell)| (Arc::clone(name), cell.into())).collect()
}

/// Assigns cells where daemons only know of each other: everyone is a member
/// where the cell has room for the fleet, else each availability zone has its
/// equal part of the members, the strongest daemons first.
///
/// Views of the fleet need not agree for a while. A daemon that is seen not to
/// answer takes no place: the next one is a member beside it.
#[must_use]
pub fn assign_by_zone(sizes: &BTreeMap<Arc<str>, usize>, fleet: &[Candidate]) -> Cells {
    let mut zones: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
    for candidate in fleet {
        zones.entry(&candidate.zone).or_default().push(candidate);
    }
    let mut cells: BTreeMap<Arc<str>, Vec<HostId>> = BTreeMap::new();
    let live = fleet.iter().filter(|candidate| candidate.live).count();
    for hosts in zones.values() {
        let part = |size: usize| if live <= size { hosts.len() } else { (size / zones.len()).max(1) };
        let places = sizes.iter().map(|(name, size)| (name, part(*size)));
        for (name, cell) in assign_among(places, hosts) {
            cells.entry(Arc::clone(name)).or_default().extend(cell);
        }
    }
    cells.into_iter().map(|(name, cell)| (name, cell.into())).collect()
}

/// Assigns cells among some daemons, each of which is in no more cells than its
/// capacity's part of all places, rounded up; a strong one may be in as many as keep
/// it no busier than the weakest would be in one.
fn assign_among<'a>(
    sizes: impl Iterator<Item = (&'a Arc<str>, usize)> + Clone,
    hosts: &[&Candidate],
) -> Vec<(&'a Arc<str>, Vec<HostId>)> {
    let places: usize = sizes.clone().map(|(_, size)| size.min(hosts.len())).sum();
    let carried: u64 = hosts.iter().map(|host| u64::from(host.capacity.max(1))).sum();
    let weakest = hosts.iter().map(|host| host.capacity.max(1)).min().unwrap_or(1);
    let bound = |host: &Candidate| {
        let capacity = u64::from(host.capacity.max(1));
        let part = (places as u64 * capacity).div_ceil(carried.max(1));
        usize::try_from(part.max(capacity / u64::from(weakest))).unwrap_or(usize::MAX).max(1)
    };
    let mut held: HashMap<&HostId, usize> = HashMap::new();
    let mut cells = Vec::new();
    for (name, size) in sizes {
        let full = |host: &Candidate| held.get(&host.host).is_some_and(|count| *count >= bound(host));
        let cell = pick(name, size, hosts, full);
        for host in &cell {
            *held.entry(&host.host).or_default() += 1;
        }
        cells.push((name, cell.into_iter().map(|host| Arc::clone(&host.host)).collect()));
    }
    cells
}

/// Picks the members of one cell: `size` live daemons, and those on the way
/// there that are seen not to answer.
fn pick<'a>(
    index: &str,
    size: usize,
    hosts: &[&'a Candidate],
    full: impl Fn(&Candidate) -> bool,
) -> Vec<&'a Candidate> {
    let rank = |host: &&Candidate| {
        (full(host), Reverse(host.capacity), Reverse(weight(index, &host.host)), Arc::clone(&host.host))
    };
    let mut ranked = hosts.to_vec();
    ranked.sort_by_cached_key(rank);
    let mut live = 0;
    let mut members = Vec::new();
    for host in ranked {
        if live == size {
            break;
        }
        live += usize::from(host.live);
        members.push(host);
    }
    members
}

fn index_size(set: &ResourceSet, index: &Index, size: CellSize, daemons: usize) -> usize {
    let names = index_upstreams(set, index).into_iter();
    let limits = names.filter_map(|name| set.upstreams.get(name)).map(|upstream| connections(set, upstream));
    let used = limits.min().map_or(usize::MAX, |least| usize::try_from(used_of(least)).unwrap_or(usize::MAX));
    let everyone = daemons <= used / LEAST_WANTED;
    let wanted = if everyone { size.wanted.min(LEAST_WANTED) } else { size.wanted };
    (used / wanted.max(1)).clamp(1, size.most.max(1))
}

/// Returns the connections that each of `sharers` members may open to an upstream.
#[must_use]
pub fn connection_share(connections: u32, sharers: u32) -> u32 {
    let share = used_of(connections) / u64::from(sharers.max(1));
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}

/// Returns how many of an upstream's connections cells use.
fn used_of(connections: u32) -> u64 {
    u64::from(connections) * USED_PERCENT / 100
}
