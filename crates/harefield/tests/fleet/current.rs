//! Daemons make sure of what they have, also where a watch or a word is lost.

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

/// As daemons are deployed: one of a zone reads, and words are few.
const DEPLOYED: Tuning = Tuning {
    exchange: Duration::from_secs(1),
    watch: Duration::from_secs(20),
    apply: Duration::from_secs(3),
    readers: 1,
};

#[test]
fn lost_watches() {
    // No watch is ever answered, and nobody says so: what asks beside them must do.
    let fleet = Fleet::start_as(4, DEPLOYED);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.mute(&Space::ALL);
    fleet.run_for(Duration::from_secs(3));
    for name in ["lookups/a", "lookups/b", "lookups/c"] {
        let confirmed = Instant::now();
        let revision = fleet.publish(name, LOOKUP);
        fleet.await_revision(0..4, revision);
        let late = confirmed.elapsed();
        assert!(late < Duration::from_millis(3500), "{name} is in force everywhere after {late:?}");
    }
}

#[test]
fn lost_watches_of_hosts() {
    // A host that is leaving gets no new work after seconds: its list is asked for too.
    let fleet = Fleet::start_as(4, DEPLOYED);
    fleet.await_revision(0..4, Revision::first(1));
    fleet.mute(&[Space::Hosts]);
    fleet.run_for(Duration::from_secs(3));
    let listed = Instant::now();
    let revision = fleet.list_leaving("127.0.0.1:9100");
    fleet.await_listed(revision);
    let late = listed.elapsed();
    assert!(late < Duration::from_millis(3500), "the list is in use everywhere after {late:?}");
}

#[test]
fn proofs_passed_on() {
    // One daemon of ten reads and tells the others that nothing is missing; they ask
    // nobody.
    let fleet = quiet_fleet();
    let (calls, exchanges) = (fleet.calls(), fleet.exchanges());
    for _ in 0..100 {
        expect_current(&fleet);
    }
    assert_eq!(who_did(&fleet.calls(), &calls), 1, "{calls:?} {:?}", fleet.calls());
    assert_eq!(who_did(&fleet.exchanges(), &exchanges), 1, "{exchanges:?} {:?}", fleet.exchanges());
}

#[test]
fn proofs_among_changes() {
    // A change late in a watch, when the last proof is some 2 s old, is passed on with it;
    // so is the proof that follows a moment later.
    let fleet = quiet_fleet();
    for step in 0..150 {
        expect_current(&fleet);
        if step % 31 == 30 {
            fleet.publish(&format!("lookups/l{step}"), LOOKUP);
        }
    }
}

#[test]
fn woken_hears_words() {
    // What upstreams said meanwhile is heard before a woken daemon sends again.
    let fleet = quiet_fleet();
    let others: Vec<usize> = (1..10).collect();
    fleet.cut(&[0], &others, true);
    let word = Announcement { stamp: AnnouncementStamp { start: 1, change: 1 }, draining: true, held: None };
    for other in others {
        let word = NamedAnnouncement { upstream: "u1".into(), announcement: word.clone() };
        fleet.say(other, ToControl::Announcement(word));
    }
    fleet.run_for(Duration::from_millis(100));
    fleet.told(0);
    fleet.heal();
    fleet.say(0, ToControl::Unconfirmed);
    fleet.run_for(Duration::from_millis(600));
    let told = fleet.told(0);
    let confirmed = told.iter().position(|message| matches!(message, ToWorker::Confirmed(_)));
    let heard = told.iter().position(|message| matches!(message, ToWorker::Announcements(_)));
    assert!(confirmed.is_some() && heard.is_some() && heard < confirmed, "{heard:?} {confirmed:?}");
}

/// Starts ten daemons that speak to each other only where there is something to tell, and
/// to the platform at a pace that leaves room for a busy machine.
fn quiet_fleet() -> Fleet {
    let tuning = Tuning { apply: Duration::from_secs(6), exchange: Duration::from_secs(60), ..DEPLOYED };
    let fleet = Fleet::start_as(10, tuning);
    fleet.await_revision(0..10, Revision::first(1));
    fleet.run_for(Duration::from_secs(3));
    fleet
}

/// Lets the fleet run for a moment: held for 2.4 s of 6, nothing is older but for what a
/// busy machine takes.
fn expect_current(fleet: &Fleet) {
    fleet.run_for(Duration::from_millis(60));
    assert!(fleet.oldest() < 2.9, "{} s", fleet.oldest());
}

/// Returns how many daemons did something since it was counted before.
fn who_did(now: &[usize], before: &[usize]) -> usize {
    now.iter().zip(before).filter(|(now, before)| now > before).count()
}

#[test]
fn many_changes_before() {
    // A platform that tells 500 changes at a time, as a thousand upstreams come at once: what
    // comes behind thousands of others is in force as soon as anything else. At a site of
    // 295 daemons each of them had the revisions of two seconds ago, 500 more a second.
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
    let late = confirmed.elapsed();
    assert!(late < Duration::from_secs(2), "it is in force everywhere after {late:?}");
    assert!(fleet.oldest() < 1.0, "nothing is missing now");
}
