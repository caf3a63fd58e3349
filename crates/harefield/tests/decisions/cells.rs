//! Cells are bounded, balanced and steady.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use crate::support::cases;
use crate::support::set;
use harefield::domain::cell::CellSize;
use harefield::domain::cell::assign;
use harefield::domain::cell::connection_share;
use harefield::domain::cell::sizes as sizes_of;
use harefield::domain::ids::HostId;
use harefield::domain::view::Cells;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("10.0.{}.{}:7200", n / 250, n % 250).into()).collect()
}

fn sizes(count: usize, size: usize) -> BTreeMap<Arc<str>, usize> {
    (0..count).map(|n| (format!("index-{n:03}").into(), size)).collect()
}

fn places(cells: &Cells) -> BTreeMap<HostId, usize> {
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

    /// Each cell has its size, or everyone; no host has more than its part,
    /// and views of one list agree.
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
        let most = places(&cells).values().copied().max().unwrap_or(0);
        prop_assert!(most <= bound + 1, "{} places, bound {}", most, bound);
        let mut reversed = hosts;
        reversed.reverse();
        prop_assert_eq!(pairs(&assign(&sizes, &reversed)), pairs(&cells));
    }

    /// Old and new members together keep within the connections.
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
fn few_hosts_everyone() {
    let set = set(3, 2, &[1]);
    let cells = assign(&sizes_of(&set, CellSize::default()), &hosts(7));
    assert_eq!(cells["i"].len(), 7, "25 connections are enough for seven");
}

#[test]
fn connections_bound_cell() {
    let set = set(3, 2, &[1]);
    let cells = assign(&sizes_of(&set, CellSize { most: 60, wanted: 1 }), &hosts(100));
    assert_eq!(cells["i"].len(), 22, "nine tenths of 25 connections");
    let cells = assign(&sizes_of(&set, CellSize { most: 60, wanted: 2 }), &hosts(100));
    assert_eq!(cells["i"].len(), 11, "two connections for each member");
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
