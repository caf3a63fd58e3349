//! Membership rows merge to the same view in any order.

use proptest::prelude::*;

use crate::support;
use crate::support::cases;
use harefield::domain::membership::MAX_ROWS;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::Membership;
use harefield::domain::membership::PeerState;
use harefield::domain::readers::is_reader;

fn row(number: u8, incarnation: u64, version: u64, state: PeerState) -> MemberRow {
    MemberRow { incarnation, version, state, ..support::row(usize::from(number), "a") }
}

fn any_row() -> impl Strategy<Value = MemberRow> {
    let state = prop_oneof![Just(PeerState::Live), Just(PeerState::Suspect), Just(PeerState::Leaving)];
    (1_u8..5, 0_u64..3, 0_u64..3, state).prop_map(|(n, i, v, s)| row(n, i, v, s))
}

fn own() -> Membership {
    Membership::new(row(0, 5, 0, PeerState::Live))
}

fn seen(members: &Membership) -> Vec<MemberRow> {
    members.rows().cloned().collect()
}

proptest! {
    #![proptest_config(cases(400))]

    /// Order and repetition do not matter.
    #[test]
    fn merged_in_any_order(rows in prop::collection::vec(any_row(), 0..20), seed in any::<u64>()) {
        let mut first = own();
        first.merge(&rows);
        let mut shuffled = rows.clone();
        let len = shuffled.len().max(1);
        shuffled.rotate_left(usize::try_from(seed % u64::try_from(len).expect("small")).expect("small"));
        shuffled.reverse();
        let mut second = own();
        second.merge(&shuffled);
        second.merge(&rows);
        prop_assert_eq!(seen(&first), seen(&second));
    }

    /// A message stays small however many daemons there are.
    #[test]
    fn digest_bounded(count in 0_u8..200) {
        let mut members = own();
        let rows: Vec<MemberRow> = (1..=count).map(|n| row(n, 1, 0, PeerState::Live)).collect();
        members.merge(&rows);
        for _ in 0..20 {
            let digest = members.digest();
            prop_assert!(digest.len() <= MAX_ROWS);
            prop_assert_eq!(&digest[0].host, &row(0, 0, 0, PeerState::Live).host);
        }
    }
}

#[test]
fn refute_rumour() {
    let mut members = own();
    members.merge(&[row(0, 5, 0, PeerState::Suspect)]);
    let mine = members.digest().remove(0);
    assert_eq!(mine.state, PeerState::Live);
    assert_eq!(mine.version, 1);
    let mut other = Membership::new(row(1, 1, 0, PeerState::Live));
    other.merge(&[row(0, 5, 0, PeerState::Suspect)]);
    other.merge(std::slice::from_ref(&mine));
    assert!(other.is_live(&mine.host), "the newer statement wins");
}

#[test]
fn all_rows_spread() {
    let mut members = own();
    let rows: Vec<MemberRow> = (1..=150).map(|n| row(n, 1, 0, PeerState::Live)).collect();
    members.merge(&rows);
    let mut other = Membership::new(row(1, 1, 0, PeerState::Live));
    for _ in 0..400 {
        other.merge(&members.digest());
    }
    assert_eq!(seen(&other).len(), 151);
}

#[test]
fn suspect_once() {
    let mut members = own();
    members.merge(&[row(1, 1, 0, PeerState::Live)]);
    let host = row(1, 1, 0, PeerState::Live).host;
    assert!(members.suspect(&host));
    assert!(!members.suspect(&host));
    assert!(!members.is_live(&host));
}

#[test]
fn prune_gone() {
    let mut members = own();
    members.merge(&[row(1, 1, 0, PeerState::Suspect), row(2, 1, 0, PeerState::Suspect)]);
    members.prune(&[row(2, 1, 0, PeerState::Live).host]);
    assert_eq!(members.peers(), vec![row(2, 1, 0, PeerState::Live).host]);
}

/// Returns how many of ten daemons read the platform if the first `blind` in rank order cannot
/// reach it.
fn reader_count(blind: usize) -> usize {
    let mut rows: Vec<MemberRow> = (0..10).map(|n| row(n, 1, 0, PeerState::Live)).collect();
    rows.sort_by_key(|row| std::cmp::Reverse(harefield::domain::cell::weight("reader", &row.host)));
    for row in rows.iter_mut().take(blind) {
        row.blind = true;
    }
    rows.iter().filter(|own| !own.blind && is_reader(own, &rows, 2)).count()
}

#[test]
fn few_readers() {
    assert_eq!(reader_count(0), 2);
}

#[test]
fn readers_doubled() {
    assert_eq!(reader_count(2), 4, "two that cannot reach the platform are replaced by four others");
    assert_eq!(reader_count(6), 4, "all remaining daemons");
}
