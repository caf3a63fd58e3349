//! A fan-out whose answer is out of reach ends its groups, so that they use no more slots.

use std::sync::Arc;
use std::time::Instant;

use crate::scheduled::router_with;
use crate::scheduled::rules;
use crate::scheduled::scheduled_view;
use crate::support::row;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::outcome::Gap;
use harefield::domain::routing::LocalDaemon;

/// Returns how many groups a fan-out had in flight, and how many it revoked, when a shard failed
/// that it needs.
fn revoked(enabled: bool) -> (usize, usize) {
    let now = Instant::now();
    let view = scheduled_view(3, 2);
    let mut router = router_with(&view, 3, 0, LocalDaemon::default(), enabled);
    router.update_daemons(&[row(0, "z0"), row(1, "z0")]);
    let rules = AnswerRules { grouped: true, attempts: 1, ..rules(now) };
    let mut fanout = Fanout::new(Arc::clone(&view.lookups["l"].plans[0]), rules, 0);
    let mut events = Vec::new();
    let groups = fanout.start_groups(now, &mut router, &mut events);
    let groups = groups.iter().filter(|action| matches!(action, Action::Delegate(_))).count();
    let own = fanout.start(now, &mut router, &mut events);
    let Some(Action::Send(send)) = own.first() else { panic!("the daemon queries some shards itself") };
    let lost = AttemptEnd::Lost { why: Gap::ReplyLost };
    let attempt = (send.shard, send.attempt);
    let actions = fanout.on_attempt_end(attempt, lost, now, &mut router, &mut events);
    assert!(fanout.is_done(), "all shards are needed");
    (groups, actions.iter().filter(|action| matches!(action, Action::Revoke(_))).count())
}

#[test]
fn groups_revoked() {
    let (groups, revoked) = revoked(true);
    assert!(groups > 0);
    assert_eq!(revoked, groups);
}

#[test]
fn unscheduled_kept() {
    // Where the index isn't scheduled, groups run to their end as before.
    let (groups, revoked) = revoked(false);
    assert!(groups > 0);
    assert_eq!(revoked, 0);
}
