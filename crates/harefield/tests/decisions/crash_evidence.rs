//! What each end of an attempt, a trial, a request and a daemon proves about a work that may
//! crash upstreams.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::at;
use crate::support::row;
use crate::support::send_all;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::ids::incarnation_of;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::outcome::Gap;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::suspects::Abandoned;
use harefield::domain::suspects::Clearance;
use harefield::domain::suspects::DEFAULT_CAUTION;
use harefield::domain::suspects::History;
use harefield::domain::suspects::Proof;
use harefield::domain::suspects::Suspects;
use harefield::domain::work::Work;

const WORK: Work = Work { exact: 1, path: 1 };

const HALF_MINUTE: Duration = Duration::from_secs(30);

fn reply(status: u16) -> Reply {
    Reply::Opaque(Arc::new(OpaqueReply { status, ..OpaqueReply::default() }))
}

#[test]
fn answer_proves_harmless() {
    assert_eq!(Proof::of(&AttemptEnd::Answered(reply(200))), Proof::Harmless);
}

#[test]
fn failure_proves_nothing() {
    for status in [400, 404, 408, 429, 500, 503, 504] {
        assert_eq!(Proof::of(&AttemptEnd::Failed(reply(status))), Proof::Nothing, "{status}");
    }
}

#[test]
fn refusal_proves_nothing() {
    for begun in [false, true] {
        let end = AttemptEnd::Refused { why: Gap::Overloaded, begun };
        assert_eq!(Proof::of(&end), Proof::Nothing);
    }
}

#[test]
fn unsent_proves_nothing() {
    for why in [Gap::Unreachable, Gap::Unconfirmed, Gap::Overloaded, Gap::NoReplica] {
        assert_eq!(Proof::of(&AttemptEnd::NotSent { why }), Proof::Nothing);
    }
}

#[test]
fn wrong_reply_proves_nothing() {
    for why in [Gap::ReplyCrossed, Gap::SnapshotWrong, Gap::Failed] {
        assert_eq!(Proof::of(&AttemptEnd::Lost { why }), Proof::Nothing);
    }
}

#[test]
fn lost_reply_needs_check() {
    assert_eq!(Proof::of(&AttemptEnd::Lost { why: Gap::ReplyLost }), Proof::CheckUpstream);
}

#[test]
fn abandoned_is_watched() {
    let (start, mut abandoned) = (Instant::now(), Abandoned::default());
    abandoned.add(&"u1".into(), 1, start);
    abandoned.add(&"u1".into(), 2, start + Duration::from_millis(500));
    abandoned.add(&"u2".into(), 3, start);
    assert_eq!(abandoned.remove(&"u1".into()), [1, 2], "all that the upstream may have been running");
    assert_eq!(abandoned.remove(&"u1".into()), [0_i32; 0], "its next end is another one's");
    assert_eq!(abandoned.remove_expired(start + Duration::from_millis(900), |_| true), [0_i32; 0]);
    assert_eq!(abandoned.remove_expired(start + Duration::from_secs(1), |_| true), [3]);
    assert!(abandoned.is_empty());
}

#[test]
fn abandoned_until_answered() {
    let (start, mut abandoned) = (Instant::now(), Abandoned::default());
    abandoned.add(&"u1".into(), 1, start);
    abandoned.add(&"u1".into(), 2, start);
    assert_eq!(abandoned.remove_expired(start, |attempt| *attempt != 1), [1], "1 was answered elsewhere");
    assert_eq!(abandoned.remove(&"u1".into()), [2]);
}

#[test]
fn abandoned_is_bounded() {
    let (start, mut abandoned) = (Instant::now(), Abandoned::default());
    for number in 0..5000 {
        abandoned.add(&format!("u{}", number % 100).into(), number, start);
    }
    let held: usize = abandoned.upstreams().iter().map(|upstream| abandoned.remove(upstream).len()).sum();
    assert_eq!(held, 1024);
}

/// Ends the upstreams of a fan-out over some shards, all in flight at once.
fn end_many(suspects: &mut Suspects, count: usize, now: Instant) {
    for number in 0..count {
        suspects.record_end(&WORK, &format!("u{number}").into(), false, now);
    }
}

#[test]
fn silent_trials_count() {
    let (start, mut suspects) = (Instant::now(), Suspects::default());
    end_many(&mut suspects, 3, start);
    assert_eq!(suspects.record_unanswered(&WORK, at(start, 3000)).len(), 1, "others are told");
    assert!(matches!(suspects.clearance(&WORK, at(start, 3250)), Clearance::Alone(Duration::ZERO)));
    suspects.record_unanswered(&WORK, at(start, 6000));
    assert_eq!(suspects.clearance(&WORK, at(start, 6000)), Clearance::Withheld(HALF_MINUTE));
    suspects.record_answer(&WORK, at(start, 40_000));
    assert_eq!(suspects.clearance(&WORK, at(start, 40_000)), Clearance::Free, "an answer clears it");
}

#[test]
fn silence_alone_proves_nothing() {
    let (start, mut suspects) = (Instant::now(), Suspects::default());
    suspects.record_answer(&WORK, start);
    end_many(&mut suspects, 20, at(start, 100));
    for millis in [200, 300, 400] {
        assert!(suspects.record_unanswered(&WORK, at(start, millis)).is_empty());
    }
    assert_eq!(suspects.clearance(&WORK, at(start, 500)), Clearance::Free, "an answer refutes all of it");
    let mut unknown = Suspects::default();
    unknown.record_unanswered(&WORK, start);
    assert_eq!(unknown.clearance(&WORK, start), Clearance::Free, "no upstream ended");
}

#[test]
fn one_trial_after_many() {
    // Every trial of a harmful request costs an upstream. After many upstreams ended, one decides.
    let (start, mut seen, mut told) = (Instant::now(), Suspects::default(), Suspects::default());
    let mut worker = Suspects::default();
    for number in 0..20 {
        for suspect in worker.record_end(&WORK, &format!("u{number}").into(), false, start) {
            seen.merge(&suspect, start);
        }
    }
    send_all(&mut seen, &mut told, start);
    assert!(matches!(told.clearance(&WORK, at(start, 250)), Clearance::Alone(Duration::ZERO)));
    let trial = at(start, 4000);
    told.record_end(&WORK, &"u30".into(), true, trial);
    assert!(matches!(told.clearance(&WORK, trial), Clearance::Alone(_)), "four ends are not many");
    send_all(&mut told, &mut seen, trial);
    send_all(&mut seen, &mut told, trial);
    for known in [&seen, &told] {
        assert_eq!(known.clearance(&WORK, trial), Clearance::Withheld(HALF_MINUTE));
    }
}

#[test]
fn ends_of_others_counted_once() {
    // What other daemons tell again and again must not add up.
    let (start, mut one, mut other) = (Instant::now(), Suspects::default(), Suspects::default());
    end_many(&mut one, 4, start);
    other.record_end(&WORK, &"u9".into(), false, at(start, 10));
    for round in 0..20 {
        let now = at(start, 1000 * round + 100);
        send_all(&mut one, &mut other, now);
        send_all(&mut other, &mut one, now);
    }
    one.record_end(&WORK, &"u10".into(), true, at(start, 30_000));
    assert!(matches!(one.clearance(&WORK, at(start, 30_000)), Clearance::Alone(_)), "five ends, one alone");
}

/// Returns the row of a daemon that started so many seconds after the Unix epoch.
fn started(number: usize, second: u64) -> MemberRow {
    MemberRow { incarnation: incarnation_of(Duration::from_secs(second), 0), ..row(number, "a") }
}

#[test]
fn killed_fleet_knows_nothing() {
    let (start, wall) = (Instant::now(), Duration::from_secs(1000));
    let soon = at(start, 5000);
    let mut history = History::new(DEFAULT_CAUTION, start);
    assert!(!history.is_complete(soon), "it has met nobody");
    history.update(&[started(0, 995), started(1, 994)], wall);
    assert!(!history.is_complete(soon), "nor anybody who is older");
    assert!(history.is_complete(start + DEFAULT_CAUTION), "it was there all the time");
    assert!(History::new(Duration::ZERO, start).is_complete(soon), "it is not to be known");
}

#[test]
fn restarted_daemon_is_told() {
    let (start, wall) = (Instant::now(), Duration::from_secs(1000));
    let soon = at(start, 5000);
    let mut history = History::new(DEFAULT_CAUTION, start);
    history.update(&[started(0, 995), started(1, 900), started(2, 999)], wall);
    assert!(history.is_complete(soon), "an older daemon has told it");
    history.update(&[started(0, 995), started(1, 1001), started(2, 999)], wall);
    assert!(history.is_complete(soon), "also when that one has been replaced");
}

#[test]
fn isolated_daemon_knows_part() {
    let (start, wall) = (Instant::now(), Duration::from_secs(1000));
    let late = start + wall;
    let lost = |number| MemberRow { state: PeerState::Suspect, ..started(number, 1) };
    let mut history = History::new(DEFAULT_CAUTION, start);
    history.update(&[started(0, 1), started(1, 1), lost(2), lost(3), lost(4)], wall);
    assert!(!history.is_complete(late), "most of the fleet may know more");
    history.update(&[started(0, 1), started(1, 1), started(2, 1), lost(3), lost(4)], wall);
    assert!(history.is_complete(late));
}

#[test]
fn same_end_is_one_trial() {
    // A slow check and a later look may both find the same end.
    let (start, mut suspects) = (Instant::now(), Suspects::default());
    end_many(&mut suspects, 4, start);
    suspects.record_end(&WORK, &"u9".into(), true, at(start, 1000));
    suspects.record_end(&WORK, &"u9".into(), true, at(start, 1400));
    assert!(matches!(suspects.clearance(&WORK, at(start, 1400)), Clearance::Alone(_)));
}
