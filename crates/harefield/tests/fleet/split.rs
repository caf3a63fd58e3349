//! Fleets that are split, and meet again.

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
    fleet.blind(1..6);
    let revision = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..6, revision);
}

#[test]
fn halves_meet_again() {
    let fleet = Fleet::start(6);
    fleet.await_revision(0..6, Revision::first(1));
    fleet.cut(&[0, 1, 2], &[3, 4, 5], true);
    fleet.blind(3..6);
    let revision = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..3, revision);
    fleet.run_for(Duration::from_millis(300));
    assert_eq!(
        fleet.revisions()[3..],
        [Some(Revision::first(1)); 3],
        "the other half goes on with what it has"
    );
    fleet.heal();
    fleet.await_revision(3..6, revision);
}

#[test]
fn halves_see_different() {
    // Both halves reach the platform, one only later: the newest wins, and
    // nobody goes back to what the other half has.
    let fleet = Fleet::start(4);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.cut(&[0, 1], &[2, 3], true);
    fleet.blind(2..4);
    let first = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..2, first);
    fleet.blind(0..2);
    let second = fleet.publish("lookups/m", LOOKUP);
    fleet.await_revision(2..4, second);
    fleet.run_for(Duration::from_millis(200));
    assert_eq!(fleet.revisions()[..2], [Some(first); 2]);
    fleet.blind(0..4);
    fleet.heal();
    fleet.await_revision(0..4, second);
}

#[test]
fn one_way_cut() {
    // 0 and 1 can be spoken to by the others, but cannot speak to them.
    let fleet = Fleet::start(5);
    fleet.await_revision(0..5, Revision::first(1));
    fleet.cut(&[0, 1], &[2, 3, 4], false);
    fleet.blind(2..5);
    let revision = fleet.publish("lookups/l", LOOKUP);
    fleet.await_revision(0..5, revision);
}

#[test]
fn faulty_in_one_half() {
    let fleet = Fleet::start(4);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.cut(&[0, 1], &[2, 3], true);
    fleet.blind(2..4);
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
    assert_eq!(fleet.sees(0, 3), Some(PeerState::Live));
    fleet.cut(&[0, 1, 2], &[3], true);
    for _ in 0..100 {
        fleet.run_for(Duration::from_millis(50));
        if fleet.sees(0, 3) == Some(PeerState::Suspect) {
            break;
        }
    }
    assert_eq!(fleet.sees(0, 3), Some(PeerState::Suspect));
    fleet.heal();
    for _ in 0..100 {
        fleet.run_for(Duration::from_millis(50));
        if fleet.sees(0, 3) == Some(PeerState::Live) {
            return;
        }
    }
    panic!("it refutes the rumour and is seen live again");
}
