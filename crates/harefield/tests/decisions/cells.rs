//! Cells are bounded in size, balanced, and stable when hosts change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use crate::support::cases;
use crate::support::set;
use harefield::domain::cell::Candidate;
use harefield::domain::cell::CellSize;
use harefield::domain::cell::Cells;
use harefield::domain::cell::assign;
use harefield::domain::cell::assign_by_zone;
use harefield::domain::cell::connection_share;
use harefield::domain::cell::sizes as cell_sizes;
use harefield::domain::ids::HostId;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("10.0.{}.{}:7200", n / 250, n % 250).into()).collect()
}

/// Returns a fleet with `strong` daemons of half a core and `weak` ones of an eighth of a core in
/// each availability zone.
fn fleet(zones: usize, strong: usize, weak: usize) -> Vec<Candidate> {
    let one = |zone: usize, n: usize| Candidate {
        host: format!("10.{zone}.0.{n}:7200").into(),
        zone: format!("zone-{zone}").into(),
        capacity: if n < strong { 500 } else { 125 },
        live: true,
    };
    (0..zones).flat_map(|zone| (0..strong + weak).map(move |n| one(zone, n))).collect()
}

fn is_strong(fleet: &[Candidate], host: &HostId) -> bool {
    fleet.iter().any(|candidate| candidate.host == *host && candidate.capacity == 500)
}

fn sizes(count: usize, size: usize) -> BTreeMap<Arc<str>, usize> {
    (0..count).map(|n| (format!("index-{n:03}").into(), size)).collect()
}

fn cells_per_host(cells: &Cells) -> BTreeMap<HostId, usize> {
    let mut counts = BTreeMap::new();
    for host in cells.values().flat_map(|cell| cell.iter()) {
        *counts.entry(Arc::clone(host)).or_default() += 1;
    }
    counts
}

fn pairs(cells: &Cells) -> BTreeSet<(Arc<str>, HostId)> {
    let pair = |(name, cell): (&Arc<str>, &Arc<[HostId]>)| {
        cell.iter().map(|host| (Arc::clone(name), Arc::clone(host))).collect::<Vec<_>>()
    };
    cells.iter().flat_map(pair).collect()
}

proptest! {
    #![proptest_config(cases(60))]

    /// Each cell has its size or contains every host, no host is in more cells than its share, and
    /// the order of the list does not matter.
    #[test]
    fn sized_and_bounded(indexes in 1_usize..40, count in 1_usize..120, size in 1_usize..30) {
        let sizes = sizes(indexes, size);
        let hosts = hosts(count);
        let cells = assign(&sizes, &hosts);
        for cell in cells.values() {
            prop_assert_eq!(cell.len(), size.min(count));
            let distinct: BTreeSet<_> = cell.iter().collect();
            prop_assert_eq!(distinct.len(), cell.len());
        }
        let bound = (indexes * size.min(count)).div_ceil(count);
        let most = cells_per_host(&cells).values().copied().max().unwrap_or(0);
        prop_assert!(most <= bound + 1, "{} cells for one host, bound {}", most, bound);
        let mut reversed = hosts;
        reversed.reverse();
        prop_assert_eq!(pairs(&assign(&sizes, &reversed)), pairs(&cells));
    }

    /// Each cell has an equal share of members in every availability zone, or all its daemons.
    /// Unresponsive daemons do not count, and the order of the list does not matter.
    #[test]
    fn zones_equal(zones in 1_usize..5, weak in 1_usize..12, size in 1_usize..20, unresponsive in 0_usize..6) {
        let mut fleet = fleet(zones, 2, weak);
        for candidate in fleet.iter_mut().take(unresponsive) {
            candidate.live = false;
        }
        let live = fleet.iter().filter(|candidate| candidate.live).count();
        let cells = assign_by_zone(&sizes(3, size), &fleet);
        let part = if live <= size { usize::MAX } else { (size / zones).max(1) };
        for cell in cells.values() {
            for zone in 0..zones {
                let inside = |c: &&Candidate| c.live && *c.zone == *format!("zone-{zone}");
                let there = fleet.iter().filter(inside).count();
                let members = fleet.iter().filter(inside).filter(|c| cell.contains(&c.host)).count();
                prop_assert_eq!(members, part.min(there));
            }
        }
        fleet.reverse();
        prop_assert_eq!(pairs(&assign_by_zone(&sizes(3, size), &fleet)), pairs(&cells));
    }

    /// The old and the new members together stay within the connection limit.
    #[test]
    fn share_fits(connections in 1_u32..200, sharers in 1_u32..300) {
        let share = connection_share(connections, sharers);
        prop_assert!(share >= 1);
        if share > 1 {
            prop_assert!(share * sharers <= connections);
        }
    }
}

#[test]
fn small_fleet_all_members() {
    let set = set(3, 2, &[1]);
    let cells = assign(&cell_sizes(&set, CellSize::default(), 7), &hosts(7));
    assert_eq!(cells["i"].len(), 7, "25 connections are enough for seven members");
}

#[test]
fn connections_bound_cell() {
    let set = set(3, 2, &[1]);
    let cells = assign(&cell_sizes(&set, CellSize { max_members: 60, connections: 1 }, 100), &hosts(100));
    assert_eq!(cells["i"].len(), 22, "90 % of 25 connections");
    let cells = assign(&cell_sizes(&set, CellSize { max_members: 60, connections: 2 }, 100), &hosts(100));
    assert_eq!(cells["i"].len(), 11, "two connections for each member");
}

#[test]
fn all_members_with_fewer_connections() {
    let set = set(3, 2, &[1]);
    let size = CellSize { max_members: 60, connections: 3 };
    let members = |daemons: usize| assign(&cell_sizes(&set, size, daemons), &hosts(daemons))["i"].len();
    assert_eq!([7, 8, 11].map(members), [7, 8, 11], "two connections for each member are enough");
    assert_eq!(
        [12, 60].map(members),
        [7, 7],
        "a larger fleet forwards requests to members with three connections each"
    );
}

#[test]
fn lost_host_few_moves() {
    let sizes = sizes(190, 14);
    let hosts = hosts(2700);
    let before = pairs(&assign(&sizes, &hosts));
    let fewer: Vec<HostId> = hosts.iter().skip(1).cloned().collect();
    let after = pairs(&assign(&sizes, &fewer));
    let moved = after.difference(&before).count();
    assert!(moved <= 40, "{moved} new pairs of {}", before.len());
}

#[test]
fn strong_first() {
    let fleet = fleet(6, 2, 8);
    let cells = assign_by_zone(&sizes(2, 15), &fleet);
    for cell in cells.values() {
        assert_eq!(cell.len(), 12, "two of each availability zone");
        assert!(cell.iter().all(|host| is_strong(&fleet, host)));
    }
}

#[test]
fn silent_strong_kept() {
    let mut fleet = fleet(1, 2, 8);
    fleet[0].live = false;
    let cells = assign_by_zone(&sizes(1, 2), &fleet);
    let cell = &cells["index-000"];
    assert_eq!(cell.len(), 3, "it may still be running, and another one is added to the other strong one");
    assert!(cell.contains(&fleet[0].host) && cell.contains(&fleet[1].host));
}

#[test]
fn small_zoned_fleet_all_members() {
    let fleet = fleet(3, 1, 1);
    let cells = assign_by_zone(&sizes(2, 7), &fleet);
    assert!(cells.values().all(|cell| cell.len() == 6), "the connections are enough for all six");
}
