//! What a planned stop leaves time for.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use futures_lite::future;
use proptest::prelude::*;

use crate::dropped_tasks::SilentUpstreams;
use crate::dropped_tasks::worker;
use crate::support::at;
use crate::support::cases;
use crate::support::replica;
use crate::world::Step;
use crate::world::World;
use crate::world::all_but_one;
use harefield::domain::admission::Admission;
use harefield::domain::admission::Arrival;
use harefield::domain::admission::Congestion;
use harefield::domain::admission::Dequeued;
use harefield::domain::admission::Gate;
use harefield::domain::admission::GateLimits;
use harefield::domain::code::Code;
use harefield::domain::outcome::Outcome;
use harefield::domain::resources::Preference;
use harefield::domain::resources::Urgency;
use harefield::domain::routing::LatencyStats;
use harefield::domain::routing::Router;
use harefield::domain::stop::StopSchedule;
use harefield::engine::ToWorker;

proptest! {
    #![proptest_config(cases(400))]

    /// Fan-outs end before the last answers are due, and these before the process ends.
    #[test]
    fn in_order(limit in 1_u64..60_000, later in 0_u64..60_000) {
        let begun = Instant::now();
        let limit = Duration::from_millis(limit);
        let schedule = StopSchedule::new(begun, limit);
        prop_assert!(begun < schedule.run_until());
        prop_assert!(schedule.run_until() < schedule.answer_by());
        prop_assert!(schedule.answer_by() < schedule.ends_at());
        prop_assert_eq!(schedule.ends_at(), begun + limit);
        prop_assert!(schedule.run_until() - begun >= limit * 3 / 4, "most of the limit is for requests");
        let forced = StopSchedule::forced(at(begun, later));
        prop_assert!(forced.run_until() < forced.answer_by() && forced.answer_by() < forced.ends_at());
    }

    /// A fan-out that a stop ends says "not run" only where nothing may have run.
    #[test]
    fn true_refusals(
        shards in 1_usize..6,
        repeatable in any::<bool>(),
        steps in prop::collection::vec(crate::world::step(), 0..30),
        left in 0_u64..40,
    ) {
        let mut world = World::new(shards, 2, repeatable, Preference::Coverage);
        for step in &steps {
            world.apply(*step);
        }
        let schedule = StopSchedule::new(world.now, Duration::from_millis(left + 4));
        world.fanout.limit_to_stop(schedule, &world.router);
        let until = schedule.run_until();
        for _ in 0..200 {
            if world.fanout.is_done() {
                break;
            }
            world.apply(Step::Wait(1));
        }
        prop_assert!(world.fanout.is_done(), "it ends at {:?}", until);
        let may_have_run = world.ended.iter().any(|(_, end)| end.may_have_run()) || !world.in_flight.is_empty();
        let finished = world.fanout.finish();
        if finished.outcome == Outcome::NotRun {
            prop_assert!(!may_have_run, "{}", finished.code);
        }
    }
}

/// Returns a fan-out that no upstream has, since its only one is busy.
fn waiting_world(change: impl FnOnce(&mut Router)) -> World {
    let world = World::with(1, 1, false, |_, router| {
        for _ in 0..100 {
            router.begin(&replica(0, 0), Instant::now());
        }
        change(router);
    });
    assert!(world.in_flight.is_empty() && !world.fanout.is_done(), "it waits for its upstream");
    world
}

/// A request that waits for an upstream has not run.
#[test]
fn unsent_refused() {
    let mut world = waiting_world(|_| {});
    let schedule = StopSchedule::new(world.now, Duration::ZERO);
    world.fanout.limit_to_stop(schedule, &world.router);
    world.apply(Step::Wait(1));
    assert!(world.fanout.is_done());
    let finished = world.fanout.finish();
    assert_eq!((finished.outcome, finished.code), (Outcome::NotRun, Code::Stopping));
}

/// A fan-out that no upstream has yet does not begin once no reply could be in time.
#[test]
fn begun_too_late() {
    let mut world = waiting_world(|router| {
        for _ in 0..40 {
            router.record_latency(&"l".into(), &replica(0, 0), Duration::from_millis(500));
        }
    });
    let schedule = StopSchedule::new(world.now, Duration::from_millis(600));
    world.fanout.limit_to_stop(schedule, &world.router);
    world.apply(Step::Wait(1));
    assert!(world.fanout.is_done(), "510 ms are left for 500 ms, less what the last answers need");
    assert_eq!(world.fanout.finish().code, Code::Stopping);
}

/// Those that would not get to run are refused when the stop begins, the others when it is too late.
#[test]
fn waiters_refused() {
    let now = Instant::now();
    let mut gate = Gate::new(GateLimits { running: 1, waiting: 20 });
    let arrival = |millis| Arrival {
        urgency: Urgency::Ordinary,
        team: "t".into(),
        deadline: at(now, millis),
        due: None,
        late: false,
    };
    assert_eq!(gate.arrive(&arrival(60_000), now), Admission::Run);
    let mut clock = now;
    for _ in 0..60 {
        clock = at(clock, 100);
        gate.complete(&"t".into(), Duration::from_millis(100), Congestion::default(), clock);
        assert_eq!(gate.arrive(&arrival(600_000), clock), Admission::Run);
    }
    for _ in 0..10 {
        assert!(matches!(gate.arrive(&arrival(600_000), clock), Admission::Wait(_)));
    }
    let refused = gate.limit_deadlines(at(clock, 550), clock);
    assert!(refused.iter().all(|call| matches!(call, Dequeued::Refuse(_, _))));
    assert!((4..=7).contains(&refused.len()), "some five of ten run within 550 ms: {}", refused.len());
    assert_eq!(gate.waiting(), 10 - refused.len());
    assert_eq!(gate.begin_until(at(clock, 550)), at(clock, 450));
}

/// An old minimum is forgotten, so that requests are not begun that have become slow.
#[test]
fn shortest_forgotten() {
    let mut stats = LatencyStats::default();
    assert_eq!(stats.shortest(), Duration::ZERO);
    stats.record(Duration::from_millis(1));
    for _ in 0..40 {
        stats.record(Duration::from_millis(70));
    }
    assert_eq!(stats.shortest(), Duration::from_millis(70));
}

/// Whatever a request waits for, such as a quota, memory, or the trial of a harmful request, it waits
/// no longer than the last answers of a planned stop allow.
#[test]
fn any_wait_ends() {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let worker = worker(&executor, SilentUpstreams::default());
    let ended = Rc::new(Cell::new(false));
    let (waiting, seen) = (Rc::clone(&worker), Rc::clone(&ended));
    let task = executor.spawn(async move {
        assert!(waiting.before_stop(future::pending::<()>()).await.is_none());
        seen.set(true);
    });
    while executor.try_tick() {}
    let begun = Instant::now();
    worker.apply(ToWorker::Stop(StopSchedule::new(begun, Duration::from_secs(60))));
    while executor.try_tick() {}
    assert!(!ended.get(), "the stop leaves it a minute");
    worker.apply(ToWorker::Stop(StopSchedule::forced(Instant::now())));
    future::block_on(executor.run(task));
    assert!(ended.get() && begun.elapsed() < Duration::from_secs(5));
    assert_eq!(worker.refuse_stopping().code, Code::Stopping);
}

/// A whole fan-out that is stopped in the middle keeps what it has.
#[test]
fn parts_kept() {
    let mut world = all_but_one(3, Preference::Coverage);
    let schedule = StopSchedule::new(world.now, Duration::from_millis(40));
    world.fanout.limit_to_stop(schedule, &world.router);
    for _ in 0..50 {
        if !world.fanout.is_done() {
            world.apply(Step::Wait(1));
        }
    }
    let finished = world.fanout.finish();
    assert_eq!(finished.coverage.contributed.len(), 2, "{}", finished.code);
}
