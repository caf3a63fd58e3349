//! Views by which an index becomes scheduled, or stops being so, while requests for it run.

use std::sync::Arc;
use std::time::Instant;

use crate::scheduled::SHARDS;
use crate::scheduled::answer;
use crate::scheduled::router_with;
use crate::scheduled::rules;
use crate::scheduled::scheduled_view;
use crate::support::at;
use crate::support::items;
use crate::support::replica;
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

/// Guards against a run of slow replies that is kept when an index stops being scheduled, and then
/// makes an upstream count as slow by its requests in flight, which only scheduling does.
#[test]
fn slow_run_ends_with_scheduling() {
    let start = Instant::now();
    let scheduled = scheduled_view(3, 2);
    let mut router = scheduling_router(&scheduled);
    let (slow, other) = (replica(0, 0), replica(0, 1));
    answer(&mut router, &other, 10, 20, start);
    answer(&mut router, &slow, 10, 20, start);
    answer(&mut router, &slow, 100, 2, at(start, 200));
    router.apply(&unscheduled_view(), at(start, 500));
    let is_slower = |router: &Router, now| {
        let states = [&slow, &other].map(|name| router.upstream(name).expect("it is known"));
        states[0].is_slower(states[1], 0.01, now)
    };
    assert!(!is_slower(&router, at(start, 500)));
    router.begin(&slow, at(start, 500));
    assert!(!is_slower(&router, at(start, 560)));
}
