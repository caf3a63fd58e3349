//! Fleets that are split into parts and rejoin.

use std::time::Duration;

use crate::support::Fleet;
use harefield::domain::membership::PeerState;
use harefield::domain::revision::Revision;

const LOOKUP: &str = r#"{"index":"i","urgency":"bulk","deadline-ms":5,"repeatable":true,"prefer":"time"}"#;
const FAULTY: &str =
    r#"{"index":"nowhere","urgency":"bulk","deadline-ms":5,"repeatable":true,"prefer":"time"}"#;

#[test]
fn one_reaches_platform() {
    let fleet = Fleet::start(6);
    fleet.await_revision(0..6, Revision::first(1));
    fleet.set_blind(1..6);
    let revision = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..6, revision);
}

#[test]
fn halves_meet_again() {
    let fleet = Fleet::start(6);
    fleet.await_revision(0..6, Revision::first(1));
    fleet.cut(&[0, 1, 2], &[3, 4, 5], true);
    fleet.set_blind(3..6);
    let revision = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..3, revision);
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(fleet.revisions()[3..], [Some(Revision::first(1)); 3], "the other half keeps what it has");
    fleet.heal();
    fleet.await_revision(3..6, revision);
}

#[test]
fn halves_see_different() {
    // Both halves reach the platform, one of them only later. The newest revision wins, and no
    // daemon goes back to what the other half has.
    let fleet = Fleet::start(4);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.cut(&[0, 1], &[2, 3], true);
    fleet.set_blind(2..4);
    let first = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..2, first);
    fleet.set_blind(0..2);
    let second = fleet.publish("lookups/m", LOOKUP);
    fleet.await_revision(2..4, second);
    fleet.run_for(Duration::from_millis(200));
    assert_eq!(fleet.revisions()[..2], [Some(first); 2]);
    fleet.set_blind(0..4);
    fleet.heal();
    fleet.await_revision(0..4, second);
}

#[test]
fn one_way_cut() {
    // Daemons 0 and 1 receive messages from the others, but cannot send to them.
    let fleet = Fleet::start(5);
    fleet.await_revision(0..5, Revision::first(1));
    fleet.cut(&[0, 1], &[2, 3, 4], false);
    fleet.set_blind(2..5);
    let revision = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..5, revision);
}

#[test]
fn faulty_in_one_half() {
    let fleet = Fleet::start(4);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.cut(&[0, 1], &[2, 3], true);
    fleet.set_blind(2..4);
    fleet.publish("lookups/l", FAULTY);
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(fleet.revisions(), [Some(Revision::first(1)); 4]);
    let good = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..2, good);
    fleet.heal();
    fleet.await_revision(0..4, good);
}

#[test]
fn seen_again() {
    let fleet = Fleet::start(4);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(fleet.peer_state(0, 3), Some(PeerState::Live));
    fleet.cut(&[0, 1, 2], &[3], true);
    for _ in 0..100 {
        fleet.run_for(Duration::from_millis(50));
        if fleet.peer_state(0, 3) == Some(PeerState::Suspect) {
            break;
        }
    }
    assert_eq!(fleet.peer_state(0, 3), Some(PeerState::Suspect));
    fleet.heal();
    for _ in 0..100 {
        fleet.run_for(Duration::from_millis(50));
        if fleet.peer_state(0, 3) == Some(PeerState::Live) {
            return;
        }
    }
    panic!("daemon 3 should refute the suspicion and be seen live again");
}
