//! Requests of a scheduled index that may be served in some regions only.

use std::sync::Arc;
use std::time::Instant;

use crate::scheduled::SHARDS;
use crate::scheduled::router_with;
use crate::scheduled::rules;
use crate::scheduled::scheduled_view;
use crate::support::at;
use crate::support::replica;
use crate::support::row;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::Fanout;
use harefield::domain::ids::HostId;
use harefield::domain::ids::UpstreamId;
use harefield::domain::membership::MemberRow;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::RelayOutcome;

/// Starts a request that may be served in region `r1` only, at a daemon of `r0` beside two others;
/// returns the daemons that groups are sent to. `far` is the daemon of `r1`, if there is one.
fn groups_sent(far: Option<HostId>, lost: bool) -> Vec<HostId> {
    let now = Instant::now();
    let view = scheduled_view(3, 2);
    let mut router = router_with(&view, 3, 0, LocalDaemon::default(), true);
    let mut rows = vec![row(0, "z0"), row(1, "z0")];
    rows.extend(far.iter().map(|host| MemberRow { host: Arc::clone(host), ..row(2, "z1") }));
    router.update_daemons(&rows);
    if let Some(far) = far.filter(|_| lost) {
        router.relays_mut().begin(&far, now);
        router.relays_mut().end(&far, &"l".into(), now, RelayOutcome::Silent, at(now, 1));
    }
    let allowed: Vec<UpstreamId> = (0..SHARDS).map(|shard| replica(shard, 1)).collect();
    let plan = (*view.lookups["l"].plans[0]).clone().filtered(|name| allowed.contains(name));
    let rules = AnswerRules { grouped: true, ..rules(now) };
    let mut fanout = Fanout::new(Arc::new(plan), rules, 0);
    let actions = fanout.start_groups(at(now, 2), &mut router, &mut Vec::new());
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Delegate(group) => Some(group.host),
        Action::Send(_) | Action::Revoke(_) | Action::Cancel(_) => None,
    });
    sent.collect()
}

/// Guards against the body of a request that is sent to another daemon of the region that its caller
/// came to, where the request may not be served: no daemon of its own region could take it.
#[test]
fn body_stays_in_regions() {
    let far: HostId = "10.0.1.2:7200".into();
    assert_eq!(groups_sent(Some(Arc::clone(&far)), false), [Arc::clone(&far)]);
    assert_eq!(groups_sent(Some(far), true), Vec::<HostId>::new(), "its carrier is backed off");
    assert_eq!(groups_sent(None, false), Vec::<HostId>::new(), "nobody of its region answers");
}
