//! Fan-outs of a daemon that may lack what others know of a request.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;

use crate::support::cases;
use crate::world::World;
use harefield::domain::code::Code;
use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::routing::AttemptOutcome;

/// The users allow a request that they know to be harmful three sends.
const MAX_SENDS: usize = 3;

/// Starts a fan-out that queries one shard first.
fn cautious(shards: usize) -> World {
    let mut rules = None;
    let mut world = World::with(shards, 2, true, |given, _| {
        given.deadline = given.start + Duration::from_secs(2);
        given.attempts = 2;
        rules = Some(given.clone());
    });
    world.in_flight.clear();
    world.sent.clear();
    let rules = rules.expect("the rules were given");
    world.fanout = Fanout::new(std::sync::Arc::clone(&world.plan), rules, 1000);
    world.fanout.canary_first();
    let actions = world.fanout.start(world.now, &mut world.router, &mut world.events);
    world.apply_actions(actions);
    world
}

#[test]
fn others_await_answer() {
    let mut world = cautious(20);
    assert_eq!(world.sent.len(), 1, "one shard is queried");
    assert!(world.events.iter().any(|event| matches!(event, Event::CanarySent { .. })));
    world.advance(Duration::from_millis(2));
    assert_eq!(world.sent.len(), 1);
    world.answer(0);
    assert_eq!(world.sent.len(), 20, "then all others");
    assert!(world.sent.iter().all(|send| send.cause == Cause::First));
    while !world.in_flight.is_empty() {
        world.answer(0);
    }
    assert_eq!(world.fanout.finish().code, Code::Whole);
}

#[test]
fn harmful_ends_one() {
    let mut world = cautious(20);
    world.end(0, AttemptEnd::Lost { why: Gap::UpstreamEnded }, AttemptOutcome::Lost);
    assert!(world.fanout.is_done());
    assert_eq!(world.sent.len(), 1);
    assert_eq!(world.fanout.finish().outcome, Outcome::MayHaveRun);
}

#[test]
fn unreachable_tries_next() {
    // An upstream that just went away, or fails, must not decide about the whole request.
    let mut world = cautious(12);
    for _ in 0..12 {
        world.end(0, AttemptEnd::NotSent { why: Gap::Unreachable }, AttemptOutcome::Failed);
        world.advance(Duration::from_millis(5));
    }
    assert!(!world.in_flight.is_empty(), "another shard is queried");
    world.answer(0);
    let queried: BTreeSet<usize> = world.sent.iter().map(|send| send.shard).collect();
    assert_eq!(queried.len(), 12);
}

#[test]
fn silent_upstream_passed_over() {
    let mut world = cautious(20);
    for _ in 0..100 {
        world.advance(Duration::from_millis(10));
    }
    assert!((2..=MAX_SENDS).contains(&world.sent.len()), "{} shards are queried", world.sent.len());
    let last = world.in_flight.len() - 1;
    world.answer(last);
    let counts =
        |shard| world.sent.iter().filter(|send| send.shard == shard && send.cause == Cause::First).count();
    assert!((0..20).all(|shard| counts(shard) == 1), "each shard is queried once");
}

proptest! {
    #![proptest_config(cases(300))]

    /// A request that nobody answers is sent to few upstreams, in whatever way its attempts end.
    #[test]
    fn unanswered_is_bounded(
        shards in 4_usize..40,
        order in prop::collection::vec((any::<usize>(), 0_u64..40, 0_u8..4), 100),
    ) {
        let mut world = cautious(shards);
        let mut reached = 0;
        for (index, millis, kind) in order {
            world.advance(Duration::from_millis(millis));
            if world.fanout.is_done() || world.in_flight.is_empty() {
                continue;
            }
            reached += usize::from(kind == 0);
            let (end, outcome) = match kind {
                0 => (AttemptEnd::Lost { why: Gap::UpstreamEnded }, AttemptOutcome::Lost),
                1 => (AttemptEnd::NotSent { why: Gap::Unreachable }, AttemptOutcome::Failed),
                _ => continue,
            };
            world.end(index, end, outcome);
        }
        prop_assert!(reached + world.in_flight.len() <= MAX_SENDS, "{} ended", reached);
    }
}
