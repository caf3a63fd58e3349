//! What each end of an attempt, a trial, a request and a daemon proves about a work that may
//! crash upstreams.

use std::sync::Arc;

use harefield::domain::fanout::AttemptEnd;
use harefield::domain::outcome::Gap;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::suspects::Proof;

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
