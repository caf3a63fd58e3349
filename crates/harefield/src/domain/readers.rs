//! Which daemons of an availability zone read the platform, and how updates spread from them.
//!
//! Each daemon computes the same order of the daemons in its zone. The first ones read the
//! platform, and every daemon passes updates on to its children in a tree, so that updates reach a
//! zone of 135 daemons within two hops and no daemon sends to more than twelve.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::cell::weight;
use super::ids::HostId;
use super::membership::MemberRow;
use super::membership::PeerState;

/// The number of children of each daemon. Two hops reach 156 daemons, more than the 135 of a zone
/// at the target size.
const BRANCHES: usize = 12;

/// How long a daemon queries its peers before it reads the platform itself, in a fleet that starts
/// for the first time. Nobody waits for such a fleet, and without this time 147 of the 320 calls of
/// a simulated day of 18 daemons were made in its first six seconds.
const FIRST_START_WAIT: Duration = Duration::from_millis(1500);

/// The same for a daemon that restarts, even together with all others. Callers wait for it, and
/// running daemons respond within this time.
const RESTART_WAIT: Duration = Duration::from_millis(150);

/// Returns how long a starting daemon queries its peers before it reads the platform itself, if its
/// start may take `join`. Seeds are queried by all others and do not wait.
#[must_use]
pub fn platform_delay(is_seed: bool, first_start: bool, join: Duration) -> Duration {
    if is_seed {
        return Duration::ZERO;
    }
    let wait = if first_start { FIRST_START_WAIT } else { RESTART_WAIT };
    wait.min(join * 3 / 4)
}

/// Returns whether `own` is one of the readers of its availability zone.
///
/// Readers are the `count` live daemons with the highest rendezvous weights, so that another takes
/// over when one disappears. A daemon that stated that it cannot reach the platform does not count
/// and adds one more reader: while none of them can, the number of readers doubles until one does.
#[must_use]
pub fn is_reader<'a>(own: &MemberRow, rows: impl IntoIterator<Item = &'a MemberRow>, count: usize) -> bool {
    let own_rank = rank(own);
    let zone = rows.into_iter().filter(|row| row.zone == own.zone && row.host != own.host);
    let live: Vec<&MemberRow> = zone.filter(|row| row.state == PeerState::Live).collect();
    let blind = live.iter().filter(|row| row.blind).count();
    let ahead = live.iter().filter(|row| !row.blind && rank(row) > own_rank).count();
    ahead < count + blind
}

/// Returns the daemons of its availability zone that `own` passes updates on to.
#[must_use]
pub fn children<'a>(own: &'a MemberRow, rows: impl IntoIterator<Item = &'a MemberRow>) -> Vec<HostId> {
    let others = rows.into_iter().filter(|row| row.zone == own.zone && row.host != own.host);
    let order = ranked(others.chain([own]));
    let at = order.iter().position(|row| row.host == own.host).unwrap_or_default();
    let children = order.iter().skip(BRANCHES * at + 1).take(BRANCHES);
    children.map(|row| Arc::clone(&row.host)).collect()
}

/// Returns up to `count` daemons to query for updates in round number `round`: the first daemon of
/// the own availability zone, and the first ones of the other zones in round-robin order.
#[must_use]
pub fn pull_sources<'a>(
    own: &MemberRow,
    rows: impl IntoIterator<Item = &'a MemberRow>,
    count: usize,
    round: usize,
) -> Vec<HostId> {
    let mut zones: BTreeMap<&str, Vec<&MemberRow>> = BTreeMap::new();
    for row in rows.into_iter().filter(|row| row.host != own.host) {
        zones.entry(&row.zone).or_default().push(row);
    }
    let firsts = zones.into_values().filter_map(|zone| ranked(zone).first().copied());
    let (near, mut far): (Vec<&MemberRow>, Vec<&MemberRow>) = firsts.partition(|row| row.zone == own.zone);
    // A daemon that cannot reach the platform knows no more than others.
    if far.iter().any(|row| !row.blind) {
        far.retain(|row| !row.blind);
    }
    let room = count.saturating_sub(near.len());
    let turn = (round * room).checked_rem(far.len()).unwrap_or_default();
    far.rotate_left(turn);
    near.into_iter().chain(far.into_iter().take(room)).map(|row| Arc::clone(&row.host)).collect()
}

fn rank(row: &MemberRow) -> u64 {
    weight("reader", &row.host)
}

/// Sorts responsive daemons before others, and those that reach the platform before those that do
/// not.
fn ranked<'a>(rows: impl IntoIterator<Item = &'a MemberRow>) -> Vec<&'a MemberRow> {
    let mut order: Vec<&MemberRow> = rows.into_iter().collect();
    order.sort_by_key(|row| (row.state != PeerState::Live, row.blind, Reverse(rank(row))));
    order
}
