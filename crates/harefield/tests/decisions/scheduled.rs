//! A scheduled index with one replica of each shard in each region, for several tests.

use std::sync::Arc;
use std::time::Instant;

use crate::support::at;
use crate::support::items;
use crate::support::replica;
use crate::support::values;
use crate::support::view;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::MAX_TRIALS;
use harefield::domain::ids::UpstreamId;
use harefield::domain::resources::Preference;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::ChoiceRequest;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::routing::Scheduling;
use harefield::domain::topology::Topology;
use harefield::domain::view::View;

/// The fewest shards of a scheduled index.
pub const SHARDS: usize = 40;

fn zone(region: usize) -> String {
    format!("z{region}")
}

/// Returns the view of an index whose replica `n` of each shard is in region `n`.
pub fn scheduled_view(regions: usize, slots: u32) -> View {
    wide_view(SHARDS, regions, slots)
}

/// Returns such a view of an index with `shards` shards.
pub fn wide_view(shards: usize, regions: usize, slots: u32) -> View {
    let mut values = values(shards, regions, &[7]);
    for shard in 0..shards {
        for region in 0..regions {
            let key = format!("upstreams/{}", replica(shard, region));
            let upstream = values.get_mut(&key).expect("the upstream exists");
            upstream["zone"] = zone(region).into();
            upstream["slots"] = slots.into();
            upstream["connections"] = 100.into();
        }
    }
    let lookup = values.get_mut("lookups/l").expect("the lookup exists");
    lookup["attempts"] = (regions - 1).into();
    lookup["objective-ms"] = 80.into();
    view(&ResourceSet::parse(&items(values)).expect("the values are valid").into())
}

/// Returns the router of a daemon in a region.
pub fn scheduled_router(view: &View, regions: usize, region: usize, local: LocalDaemon) -> Router {
    router_with(view, regions, region, local, true)
}

/// Returns the router of a daemon in a region; `enabled` tells whether scheduling is on.
pub fn router_with(view: &View, regions: usize, region: usize, local: LocalDaemon, enabled: bool) -> Router {
    let now = Instant::now();
    let zones = (0..regions).map(|n| (zone(n).into(), format!("r{n}").into()));
    let topology = Topology { zone: zone(region).into(), regions: zones.collect() };
    let router = Router::new(Policy::Cost, Budgets::single(0.05), 7, now).with_topology(topology);
    let mut router = router.with_local(local).with_scheduling(Scheduling::new(enabled, &[]));
    router.apply(view, now);
    assert_eq!(router.schedules("i"), enabled);
    router
}

/// Returns a request for the first attempt on a shard of the scheduled index.
pub fn first<'a>(replicas: &'a [UpstreamId], kind: &'a Arc<str>) -> ChoiceRequest<'a> {
    ChoiceRequest { scheduled: true, ..ChoiceRequest::first(replicas, 7, kind) }
}

/// Records that a replica answered `count` requests, one after the other, each after `millis`.
pub fn answer(router: &mut Router, name: &UpstreamId, millis: u64, count: u64, mut now: Instant) {
    for _ in 0..count {
        router.begin(name, now);
        let end = at(now, millis);
        router.end(name, now, AttemptOutcome::Succeeded, &Report::default(), end);
        now = end;
    }
}

/// Returns the rules of a request that may try two replicas of each shard and needs all shards.
pub fn rules(start: Instant) -> AnswerRules {
    AnswerRules {
        kind: "l".into(),
        rank: 0,
        repeatable: true,
        prefer: Preference::Coverage,
        start,
        deadline: at(start, 2000),
        hedge_factor: Some(1.0),
        fixed_delay: None,
        objective: Some(at(start, 1000)),
        cutoff: Some(at(start, 1000)),
        min_share: 1.0,
        min_possible: None,
        grouped: false,
        repeated: false,
        attempts: 2,
        trials: MAX_TRIALS,
        left_out: Vec::new(),
    }
}
