//! Limits on the requests in flight at the replicas of a scheduled index, and the choice between
//! near and far replicas under them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::scheduled::SHARDS;
use crate::scheduled::answer;
use crate::scheduled::first;
use crate::scheduled::router_with;
use crate::scheduled::rules;
use crate::scheduled::scheduled_router;
use crate::scheduled::scheduled_view;
use crate::support::at;
use crate::support::cases;
use crate::support::replica;
use harefield::domain::dispatch::Ticket;
use harefield::domain::dispatch::Waiter;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::Fanout;
use harefield::domain::ids::UpstreamId;
use harefield::domain::outcome::Gap;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::ChoiceRequest;
use harefield::domain::routing::Exclusion;
use harefield::domain::routing::ExclusionEnd;
use harefield::domain::routing::Load;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::routing::UpstreamState;
use harefield::domain::view::View;

const FULL: Exclusion = Exclusion { gap: Gap::Overloaded, until: ExclusionEnd::Soon };

/// The work of a request at a replica, in milliseconds: longer than the half of a round trip
/// between regions, which is assumed to be 24 ms, and shorter than the whole.
const WORK_MS: u64 = 20;

/// A daemon in the first of three regions and the replicas of a shard, with two slots each, that
/// have all answered within [`WORK_MS`]. The window of each has grown to its two slots.
struct Site {
    view: View,
    router: Router,
    names: Vec<UpstreamId>,
    kind: Arc<str>,
    now: Instant,
}

impl Site {
    fn start() -> Self {
        let now = Instant::now();
        let view = scheduled_view(3, 2);
        let mut router = scheduled_router(&view, 3, 0, LocalDaemon::default());
        let names: Vec<UpstreamId> = (0..3).map(|region| replica(0, region)).collect();
        let rtt = |region: usize| if region == 0 { 0 } else { 24 };
        for (region, name) in names.iter().enumerate() {
            answer(&mut router, name, WORK_MS + rtt(region), 10, now);
        }
        let now = at(now, 500);
        Self { view, router, names, kind: "l".into(), now }
    }

    fn choose(&mut self, millis: u64) -> Result<UpstreamId, Exclusion> {
        let request = first(&self.names, &self.kind);
        self.router.choose(&request, at(self.now, millis)).map(|choice| choice.upstream)
    }

    fn begin(&mut self, region: usize) {
        self.router.begin(&self.names[region], self.now);
    }
}

proptest! {
    #![proptest_config(cases(24))]

    /// Guards against the sum of what daemons and workers send exceeding what a replica serves.
    #[test]
    fn sum_bounded(
        regions in 2_usize..5,
        slots in 1_u32..5,
        workers in 1_u32..5,
        steps in prop::collection::vec((any::<u16>(), 0_usize..3, 0_u64..40), 1..200),
    ) {
        let view = scheduled_view(regions, slots);
        let local = |worker| LocalDaemon { workers, worker, ..LocalDaemon::default() };
        let mut routers: Vec<Router> = (0..regions)
            .flat_map(|region| (0..workers).map(move |worker| (region, worker)))
            .map(|(region, worker)| scheduled_router(&view, regions, region, local(worker)))
            .collect();
        let kind: Arc<str> = "l".into();
        let (mut now, mut flying) = (Instant::now(), Vec::new());
        let mut used: HashMap<UpstreamId, usize> = HashMap::new();
        // Its slots, and two requests or as many as it has slots for each other region.
        let most = usize::try_from(slots).expect("it is small");
        let most = most + most.min(2) * (regions - 1);
        for (draw, shard, millis) in steps {
            now = at(now, millis / 8);
            let count = routers.len();
            let at_router = usize::from(draw) % count;
            for router in &mut routers {
                router.lease_mut().renew(now);
            }
            let router = &mut routers[at_router];
            let names: Vec<UpstreamId> = (0..regions).map(|region| replica(shard, region)).collect();
            if let Ok(choice) = router.choose(&first(&names, &kind), now) {
                router.begin(&choice.upstream, now);
                let sum = used.entry(Arc::clone(&choice.upstream)).or_default();
                *sum += 1;
                prop_assert!(*sum <= most, "{sum} in flight, {slots} slots, {regions} regions");
                flying.push((at_router, choice.upstream, now));
            }
            if draw % 3 == 0 && !flying.is_empty() {
                let (owner, name, start) = flying.swap_remove(usize::from(draw) % flying.len());
                let load = Some(Load { active: 0, queued: 0, slowness: None });
                let report = Report { load, announcement: None };
                routers[owner].end(&name, start, AttemptOutcome::Succeeded, &report, now);
                *used.get_mut(&name).expect("it was sent") -= 1;
            }
        }
    }
}

#[test]
fn workers_share_limit() {
    // The parts of a daemon's workers add up to its limit: two slots near, two requests far.
    let view = scheduled_view(3, 2);
    for (region, limit) in [(0, 2), (1, 2)] {
        for shard in 0..SHARDS {
            let part = |worker| {
                let local = LocalDaemon { workers: 3, worker, ..LocalDaemon::default() };
                let router = scheduled_router(&view, 3, 0, local);
                router.upstream(&replica(shard, region)).and_then(UpstreamState::slot_limit)
            };
            assert_eq!((0..3).filter_map(part).sum::<u32>(), limit);
        }
    }
}

#[test]
fn unscheduled_unlimited() {
    // Without scheduling the adaptive window alone limits the requests, and a full near replica
    // never holds one back.
    let view = scheduled_view(3, 2);
    let mut router = router_with(&view, 3, 0, LocalDaemon::default(), false);
    let names: Vec<UpstreamId> = (0..3).map(|region| replica(0, region)).collect();
    let now = Instant::now();
    assert_eq!(router.upstream(&names[0]).and_then(UpstreamState::slot_limit), None);
    let mut sent = 0;
    let kind: Arc<str> = "l".into();
    while let Ok(choice) = router.choose(&ChoiceRequest::first(&names, 7, &kind), now) {
        router.begin(&choice.upstream, now);
        sent += 1;
    }
    assert_eq!(sent, 6, "the window of each of three replicas is two at the start");
}

#[test]
fn near_awaited() {
    // Two requests that take 20 ms end before a far replica would have answered.
    let mut site = Site::start();
    for _ in 0..2 {
        assert_eq!(site.choose(0), Ok(Arc::clone(&site.names[0])));
        site.begin(0);
    }
    assert_eq!(site.choose(1), Err(FULL));
}

#[test]
fn paused_diverts() {
    // The two requests at the near replica have been in flight for longer than a round trip.
    let mut site = Site::start();
    site.begin(0);
    site.begin(0);
    assert_eq!(site.choose(24), Err(FULL));
    let chosen = site.choose(26).expect("a far replica is free");
    assert_ne!(chosen, site.names[0]);
}

#[test]
fn long_wait_diverts() {
    // With four others waiting for the near replica, a far one answers sooner.
    let mut site = Site::start();
    site.begin(0);
    site.begin(0);
    let request = ChoiceRequest { ahead: 4, ..first(&site.names, &site.kind) };
    let chosen = site.router.choose(&request, site.now).expect("a far replica is free");
    assert_ne!(chosen.upstream, site.names[0]);
}

#[test]
fn bad_near_diverts() {
    // A full near replica that is on probation must not hold requests back.
    let mut site = Site::start();
    for _ in 0..3 {
        site.begin(0);
    }
    let (name, now) = (Arc::clone(&site.names[0]), site.now);
    site.router.end(&name, now, AttemptOutcome::Rejected(None), &Report::default(), now);
    let chosen = site.choose(1).expect("a far replica is free");
    assert_ne!(chosen, name);
}

#[test]
fn far_limited() {
    // Once each far replica has two requests of this daemon, all others wait.
    let mut site = Site::start();
    for region in [0, 0, 1, 1, 2, 2] {
        site.begin(region);
    }
    assert_eq!(site.choose(50), Err(FULL));
}

#[test]
fn lies_ignored() {
    // Neither an upstream that always claims to be idle nor one that claims a queue, as long as the
    // time of its replies makes plausible, changes how many requests are in flight.
    for queued in [0, 5] {
        let mut site = Site::start();
        let name = Arc::clone(&site.names[0]);
        let report = Report { load: Some(Load { active: 0, queued, slowness: None }), announcement: None };
        for _ in 0..30 {
            site.begin(0);
            let (start, now) = (site.now, at(site.now, 2 * WORK_MS));
            site.router.end(&name, start, AttemptOutcome::Succeeded, &report, now);
            site.now = now;
            site.router.lease_mut().renew(site.now);
        }
        let mut sent = 0;
        while site.choose(0) == Ok(Arc::clone(&name)) {
            site.begin(0);
            sent += 1;
        }
        assert_eq!(sent, 2, "a queue of {queued} was reported");
    }
}

#[test]
fn rejection_narrows() {
    // The adaptive window still applies: a rejection leaves one request in flight.
    let mut site = Site::start();
    let (name, now) = (Arc::clone(&site.names[0]), site.now);
    site.begin(0);
    site.router.end(&name, now, AttemptOutcome::Rejected(None), &Report::default(), now);
    site.router.end(&name, now, AttemptOutcome::Rejected(None), &Report::default(), now);
    assert!(site.router.upstream(&name).is_some_and(|s| s.window().size() < 2.0));
}

#[test]
fn hedge_needs_slot() {
    // A hedge that is due is sent once a slot is free, not before.
    let mut site = Site::start();
    let plan = &site.view.lookups["l"].plans[0];
    let plan = Arc::new(plan.single_shard(&plan.shards[0]));
    let mut fanout = Fanout::new(plan, rules(site.now), 0);
    let mut events = Vec::new();
    let sent = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Send(_))).count();
    assert_eq!(sent(&fanout.start(site.now, &mut site.router, &mut events)), 1);
    let now = site.now;
    for region in [1, 1, 2, 2] {
        site.begin(region);
    }
    for millis in [100, 200, 300] {
        assert_eq!(sent(&fanout.on_timer(at(now, millis), &mut site.router, &mut events)), 0);
    }
    site.router.end(&site.names[1], now, AttemptOutcome::Succeeded, &Report::default(), at(now, 301));
    assert_eq!(sent(&fanout.on_timer(at(now, 310), &mut site.router, &mut events)), 1);
}

#[test]
fn probe_needs_slots() {
    // A far replica was chosen because the near one is slow: the near one is probed while under
    // half of the six slots are in use.
    let mut site = Site::start();
    answer(&mut site.router, &site.names[0], 20 * WORK_MS, 10, site.now);
    site.now = at(site.now, 10_000);
    site.router.lease_mut().renew(site.now);
    let probed = |site: &Site| {
        let request = first(&site.names, &site.kind);
        site.router.probe(&request, &site.names[1], site.now).is_some()
    };
    site.begin(1);
    site.begin(2);
    assert!(probed(&site));
    site.begin(2);
    assert!(!probed(&site), "three of six slots are in use");
}

/// Guards against delays that are reported too short by a daemon of several workers: each has its
/// part of the slots only, but counted all of them.
#[test]
fn delay_by_own_slots() {
    let now = Instant::now();
    let view = scheduled_view(3, 2);
    let shard = Arc::clone(&view.lookups["l"].plans[0].shards[0].shard);
    let delay = |workers, worker| {
        let local = LocalDaemon { workers, worker, ..LocalDaemon::default() };
        let mut router = scheduled_router(&view, 3, 0, local);
        for fanout in 0..4 {
            let ticket = Ticket { fanout, shard: 0 };
            let waiter = Waiter { ticket, rank: 0, due: None, cost: Duration::from_millis(10) };
            router.dispatch_mut().wait(&shard, waiter, now);
        }
        router.shard_delay(&shard, 0, now)
    };
    assert_eq!(delay(1, 0), Duration::from_millis(20));
    assert_eq!([delay(2, 0), delay(2, 1)], [Duration::from_millis(40); 2]);
}

/// Guards against a shard without a replica in the own region that counts as near.
#[test]
fn nearest_round_trip() {
    let view = scheduled_view(3, 2);
    let round_trip = |region: usize, replicas: &[UpstreamId]| {
        let router = scheduled_router(&view, 4, region, LocalDaemon::default());
        (
            router.nearest_rtt(replicas),
            replicas.iter().map(|name| router.rtt_to(name)).min().unwrap_or_default(),
        )
    };
    let replicas: Vec<UpstreamId> = (0..3).map(|region| replica(0, region)).collect();
    for region in 0..3 {
        let (nearest, expected) = round_trip(region, &replicas);
        assert_eq!((nearest, expected.is_zero()), (expected, true), "region {region}");
    }
    let (nearest, expected) = round_trip(3, &replicas);
    assert_eq!(nearest, expected);
    assert!(!nearest.is_zero(), "no replica is in the fourth region");
}
