//! Daemons renew their proof of freshness even if a watch or a message is lost.

use std::time::Duration;
use std::time::Instant;

use crate::support::Fleet;
use crate::support::Tuning;
use harefield::domain::announcement::Announcement;
use harefield::domain::announcement::AnnouncementStamp;
use harefield::domain::announcement::NamedAnnouncement;
use harefield::domain::revision::Revision;
use harefield::engine::ToControl;
use harefield::engine::ToWorker;
use harefield::ports::Space;

const LOOKUP: &str = r#"{"index":"i","urgency":"bulk","deadline-ms":5,"repeatable":true,"prefer":"time"}"#;

/// As daemons are deployed: one reader in a zone, and few exchanges.
const DEPLOYED: Tuning = Tuning {
    gossip_interval: Duration::from_secs(1),
    max_watch: Duration::from_secs(20),
    apply: Duration::from_secs(3),
    readers: 1,
};

#[test]
fn lost_watches() {
    // No watch is ever answered, and no error is returned. Other queries have to make up for it.
    let fleet = Fleet::start_as(4, DEPLOYED);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.mute_watches(&Space::ALL);
    fleet.run_for(Duration::from_secs(3));
    for name in ["lookups/a", "lookups/b", "lookups/c"] {
        let confirmed = Instant::now();
        let revision = fleet.publish(name, LOOKUP);
        fleet.await_revision(0..4, revision);
        let elapsed = confirmed.elapsed();
        assert!(elapsed < Duration::from_millis(3500), "{name} is in force everywhere after {elapsed:?}");
    }
}

#[test]
fn lost_watches_of_hosts() {
    // A host that is leaving must get no new work after some seconds, so lost watches of its list
    // have to be made up for too.
    let fleet = Fleet::start_as(4, DEPLOYED);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.mute_watches(&[Space::Hosts]);
    fleet.run_for(Duration::from_secs(3));
    let listed = Instant::now();
    let revision = fleet.list_leaving("127.0.0.1:9100");
    fleet.await_listed(revision);
    let elapsed = listed.elapsed();
    assert!(elapsed < Duration::from_millis(3500), "the list is in use everywhere after {elapsed:?}");
}

#[test]
fn proofs_passed_on() {
    // One daemon of ten reads and informs the others that nothing is missing; they query nobody.
    let fleet = quiet_fleet();
    let (calls, exchanges) = (fleet.calls(), fleet.exchanges());
    for _ in 0..100 {
        expect_current(&fleet);
    }
    assert_eq!(count_active(&fleet.calls(), &calls), 1, "{calls:?} {:?}", fleet.calls());
    assert_eq!(count_active(&fleet.exchanges(), &exchanges), 1, "{exchanges:?} {:?}", fleet.exchanges());
}

#[test]
fn proofs_among_changes() {
    // A change late in a watch, when the last proof is some 2 s old, is passed on together with its
    // proof, and so is the proof that follows a moment later.
    let fleet = quiet_fleet();
    for step in 0..150 {
        expect_current(&fleet);
        if step % 31 == 30 {
            fleet.publish(&format!("lookups/l{step}"), LOOKUP);
        }
    }
}

#[test]
fn proofs_after_two_changes() {
    // The proof after the second change is newer by less than what is passed on, so the next one has
    // to come in time for the daemons that have only the one before.
    let fleet = quiet_fleet();
    while fleet.max_age() > 0.1 {
        fleet.run_for(Duration::from_millis(10));
    }
    fleet.run_for(Duration::from_millis(220));
    fleet.publish("lookups/l1", LOOKUP);
    fleet.run_for(Duration::from_millis(1900));
    fleet.publish("lookups/l2", LOOKUP);
    for _ in 0..20 {
        expect_current(&fleet);
    }
}

#[test]
fn announcements_after_pause() {
    // A daemon that was paused receives the announcements made meanwhile before its knowledge is
    // confirmed and it sends work again.
    let fleet = quiet_fleet();
    let others: Vec<usize> = (1..10).collect();
    fleet.cut(&[0], &others, true);
    let announcement =
        Announcement { stamp: AnnouncementStamp { start: 1, change: 1 }, draining: true, held: None };
    for other in others {
        let announcement = NamedAnnouncement { upstream: "u1".into(), announcement: announcement.clone() };
        fleet.send(other, ToControl::Announcement(announcement));
    }
    fleet.run_for(Duration::from_millis(100));
    fleet.drain_messages(0);
    fleet.heal();
    fleet.send(0, ToControl::Unconfirmed);
    fleet.run_for(Duration::from_millis(600));
    let messages = fleet.drain_messages(0);
    let confirmed = messages.iter().position(|message| matches!(message, ToWorker::Confirmed(_)));
    let received = messages.iter().position(|message| matches!(message, ToWorker::Announcements(_)));
    assert!(confirmed.is_some() && received.is_some() && received < confirmed, "{received:?} {confirmed:?}");
}

/// Starts ten daemons that exchange updates only after a change, and query the platform at
/// intervals that leave room for a busy machine.
fn quiet_fleet() -> Fleet {
    let tuning =
        Tuning { apply: Duration::from_secs(6), gossip_interval: Duration::from_secs(60), ..DEPLOYED };
    let fleet = Fleet::start_as(10, tuning);
    fleet.await_revision(0..10, Revision::first(1));
    fleet.run_for(Duration::from_secs(3));
    fleet
}

/// Runs the fleet for a moment. Data is held for 2.4 s of the 6 s, so nothing may be older except
/// for the delays of a busy machine.
fn expect_current(fleet: &Fleet) {
    fleet.run_for(Duration::from_millis(60));
    assert!(fleet.max_age() < 2.9, "{} s", fleet.max_age());
}

/// Returns how many daemons have a higher count than before.
fn count_active(now: &[usize], before: &[usize]) -> usize {
    now.iter().zip(before).filter(|(now, before)| now > before).count()
}

#[test]
fn change_behind_many() {
    // The platform returns 500 changes at a time, as when a thousand upstreams start at once. A
    // change behind thousands of others has to be in force as soon as any other. At a site of 295
    // daemons, each of them had the revisions of two seconds ago, with 500 more every second.
    let fleet = Fleet::start_as(4, DEPLOYED);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.limit_watches(500);
    for number in 0..8000 {
        let snapshot = format!(r#"{{"snapshots":[{{"version":{},"shards":{{}}}}]}}"#, number + 1);
        fleet.publish(&format!("indexes/i{}", number % 800), &snapshot);
    }
    let confirmed = Instant::now();
    let revision = fleet.publish("lookups/a", LOOKUP);
    fleet.await_revision(0..4, revision);
    let elapsed = confirmed.elapsed();
    assert!(elapsed < Duration::from_secs(2), "it is in force everywhere after {elapsed:?}");
    assert!(fleet.max_age() < 1.0, "nothing is missing now");
}
