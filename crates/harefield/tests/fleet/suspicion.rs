//! Daemons that are suspected although they are only slow or cut off.

use std::time::Duration;

use crate::support::Fleet;
use crate::support::Tuning;
use harefield::domain::membership::PeerState;
use harefield::engine::ToWorker;

const TUNING: Tuning = Tuning {
    gossip_interval: Duration::from_millis(50),
    max_watch: Duration::from_millis(20),
    apply: Duration::from_secs(3),
    readers: 2,
};

/// Guards against suspicion that feeds itself: a view for each daemon that is suspected, and for
/// each that is live again, takes the time in which the next exchanges are due.
#[test]
fn costs_no_view() {
    let fleet = Fleet::start_in_regions(12, 3, TUNING);
    fleet.run_for(Duration::from_secs(5));
    let _before = fleet.drain_messages(0);
    fleet.cut(&[6], &[0, 1, 2, 3, 4, 5, 7, 8, 9, 10, 11], true);
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.peer_state(0, 6), Some(PeerState::Suspect));
    fleet.heal();
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.peer_state(0, 6), Some(PeerState::Live));
    let messages = fleet.drain_messages(0);
    let views = messages.iter().filter(|message| matches!(message, ToWorker::View(_))).count();
    assert_eq!(views, 0, "the same daemons are members of the cells");
}
