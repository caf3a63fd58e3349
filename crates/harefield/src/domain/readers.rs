//! Who reads the platform for an availability zone, and the way that its word takes
//! from there.
//!
//! The daemons of a zone stand in one order that each works out by itself: the first ones
//! read, and each tells those below it in a tree, so that a zone of 135 hears within two
//! hops and nobody tells more than twelve.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::cell::weight;
use super::ids::HostId;
use super::membership::PeerState;
use super::membership::Row;

/// How many daemons each one tells: two hops reach 156, more than the 135 of a zone at
/// the target size.
const BRANCHES: usize = 12;

/// How long a daemon of a fleet that starts for the first time asks others before it reads
/// the platform itself: nobody waits for it, and without it 147 of the 320 calls of a
/// played day of 18 daemons came in its first six seconds.
const FIRST_START: Duration = Duration::from_millis(1500);

/// The same for one that comes back, also with all others: callers wait for it. Daemons
/// that run answer within it.
const COMES_BACK: Duration = Duration::from_millis(150);

/// Returns how long a daemon that starts asks others before it reads the platform itself,
/// if it may take `join` to start. Seeds are asked by all others, and wait for nobody.
#[must_use]
pub fn platform_after(is_seed: bool, first_start: bool, join: Duration) -> Duration {
    if is_seed {
        return Duration::ZERO;
    }
    let wait = if first_start { FIRST_START } else { COMES_BACK };
    wait.min(join * 3 / 4)
}

/// Says whether `own` is among the readers of its availability zone.
///
/// Readers are the `count` live daemons with the highest rendezvous weights, so
/// that another takes over when one goes. One that said that it cannot reach
/// the platform does not count, and calls for one more: where none of them can,
/// their number doubles until one does.
#[must_use]
pub fn is_reader<'a>(own: &Row, rows: impl IntoIterator<Item = &'a Row>, count: usize) -> bool {
    let mine = rank(own);
    let zone = rows.into_iter().filter(|row| row.zone == own.zone && row.host != own.host);
    let live: Vec<&Row> = zone.filter(|row| row.state == PeerState::Live).collect();
    let blind = live.iter().filter(|row| row.blind).count();
    let ahead = live.iter().filter(|row| !row.blind && rank(row) > mine).count();
    ahead < count + blind
}

/// Returns the daemons of its availability zone that `own` passes on to what it has.
#[must_use]
pub fn below<'a>(own: &'a Row, rows: impl IntoIterator<Item = &'a Row>) -> Vec<HostId> {
    let others = rows.into_iter().filter(|row| row.zone == own.zone && row.host != own.host);
    let order = in_order(others.chain([own]));
    let at = order.iter().position(|row| row.host == own.host).unwrap_or_default();
    let told = order.iter().skip(BRANCHES * at + 1).take(BRANCHES);
    told.map(|row| Arc::clone(&row.host)).collect()
}

/// Returns up to `count` daemons to ask for what is newer, in a round of some number:
/// the first of the own availability zone, and in turn those of the others.
#[must_use]
pub fn sources<'a>(
    own: &Row,
    rows: impl IntoIterator<Item = &'a Row>,
    count: usize,
    round: usize,
) -> Vec<HostId> {
    let mut zones: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    for row in rows.into_iter().filter(|row| row.host != own.host) {
        zones.entry(&row.zone).or_default().push(row);
    }
    let firsts = zones.into_values().filter_map(|zone| in_order(zone).first().copied());
    let (near, mut far): (Vec<&Row>, Vec<&Row>) = firsts.partition(|row| row.zone == own.zone);
    // One that cannot reach the platform knows no more than others.
    if far.iter().any(|row| !row.blind) {
        far.retain(|row| !row.blind);
    }
    let room = count.saturating_sub(near.len());
    let turn = (round * room).checked_rem(far.len()).unwrap_or_default();
    far.rotate_left(turn);
    near.into_iter().chain(far.into_iter().take(room)).map(|row| Arc::clone(&row.host)).collect()
}

fn rank(row: &Row) -> u64 {
    weight("reader", &row.host)
}

/// Puts those that answer before others, those that reach the platform before blind ones.
fn in_order<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Vec<&'a Row> {
    let mut order: Vec<&Row> = rows.into_iter().collect();
    order.sort_by_key(|row| (row.state != PeerState::Live, row.blind, Reverse(rank(row))));
    order
}
