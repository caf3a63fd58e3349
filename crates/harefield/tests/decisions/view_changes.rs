//! Views by which an index becomes scheduled, or stops being so, while requests for it run.

use std::sync::Arc;
use std::time::Instant;

use crate::scheduled::SHARDS;
use crate::scheduled::router_with;
use crate::scheduled::rules;
use crate::scheduled::scheduled_view;
use crate::support::items;
use crate::support::values;
use crate::support::view;
use harefield::domain::fanout::Fanout;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Router;
use harefield::domain::view::View;

/// Returns the view of the same index without an objective, by which it isn't scheduled.
fn unscheduled_view() -> View {
    let set = ResourceSet::parse(&items(values(SHARDS, 3, &[7]))).expect("the values are valid");
    view(&set.into())
}

fn scheduling_router(view: &View) -> Router {
    router_with(view, 3, 0, LocalDaemon::default(), true)
}

/// Guards against tickets that are never given up: the engine registers a fan-out after its groups
/// were sent, and a fan-out that got its name later is not registered. The ticket of a request
/// whose caller had gone blocked the shard's queue.
#[test]
fn scheduled_between_groups_and_start() {
    let now = Instant::now();
    let scheduled = scheduled_view(3, 2);
    let mut router = scheduling_router(&scheduled);
    router.apply(&unscheduled_view(), now);
    assert!(!router.schedules("i"));
    let mut fanout = Fanout::new(Arc::clone(&scheduled.lookups["l"].plans[0]), rules(now), 0);
    fanout.start_groups(now, &mut router, &mut Vec::new());
    assert_eq!(fanout.id(), None);
    router.apply(&scheduled, now);
    fanout.start(now, &mut router, &mut Vec::new());
    assert_eq!(fanout.id(), None, "the fan-out would wait under a name that nobody registered");
}
