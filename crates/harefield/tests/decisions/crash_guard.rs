//! A fan-out whose upstreams crash while they have the request.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;

use crate::support::cases;
use crate::world::World;
use harefield::domain::code::Code;
use harefield::domain::event::Cause;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::MAX_TRIALS;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::resources::Preference;
use harefield::domain::routing::AttemptOutcome;

/// How many upstreams beyond one per shard such a request may crash: one by a hedge, and two by
/// trials.
const MAX_EXTRA: usize = 3;

fn fanout(shards: usize, trials: u32) -> World {
    World::with(shards, 2, true, |rules, _| {
        rules.prefer = Preference::Coverage;
        rules.deadline = rules.start + Duration::from_secs(2);
        rules.attempts = 2;
        rules.trials = trials;
    })
}

fn end(world: &mut World, index: usize) {
    world.end(index, AttemptEnd::Lost { why: Gap::UpstreamEnded }, AttemptOutcome::Lost);
}

/// Returns the end of an attempt whose upstream crashed: a known crash, or a lost reply if the
/// daemon was paused and could not check.
fn loss(known: bool) -> AttemptEnd {
    AttemptEnd::Lost { why: if known { Gap::UpstreamEnded } else { Gap::ReplyLost } }
}

proptest! {
    #![proptest_config(cases(300))]

    /// The number of crashed upstreams is limited even if not all crashes are known as such.
    #[test]
    fn undetected_crashes_limited(
        shards in 4_usize..40,
        order in prop::collection::vec((any::<usize>(), 0_u64..40, any::<bool>()), 200),
    ) {
        let mut world = fanout(shards, MAX_TRIALS);
        let mut ended = 0;
        for (index, millis, known) in order {
            world.advance(Duration::from_millis(millis));
            if world.fanout.is_done() {
                break;
            }
            if !world.in_flight.is_empty() {
                ended += 1;
                world.end(index, loss(known), AttemptOutcome::Lost);
            }
        }
        prop_assert!(world.fanout.is_done(), "the fan-out ends");
        prop_assert!(ended + world.in_flight.len() <= shards + MAX_EXTRA, "{} of {} shards", ended, shards);
        prop_assert_eq!(world.fanout.finish().outcome, Outcome::MayHaveRun);
    }

    /// The number of crashed upstreams is limited to few more than one per shard, in whatever order
    /// and at whatever time they crash.
    #[test]
    fn crashes_limited(
        shards in 1_usize..40,
        order in prop::collection::vec((any::<usize>(), 0_u64..40), 200),
    ) {
        let mut world = fanout(shards, MAX_TRIALS);
        let mut ended = 0;
        for (index, millis) in order {
            world.advance(Duration::from_millis(millis));
            if world.fanout.is_done() {
                break;
            }
            if !world.in_flight.is_empty() {
                ended += 1;
                end(&mut world, index);
            }
        }
        prop_assert!(world.fanout.is_done(), "the fan-out ends");
        prop_assert!(ended + world.in_flight.len() <= shards + MAX_EXTRA, "{} of {} shards", ended, shards);
        let finished = world.fanout.finish();
        prop_assert_eq!(finished.outcome, Outcome::MayHaveRun);
    }

    /// Shards whose upstreams crash for other reasons are retried once another upstream has
    /// answered.
    #[test]
    fn harmless_retried(
        shards in 2_usize..30,
        lost in prop::collection::vec(any::<bool>(), 30),
        order in any::<u64>(),
    ) {
        let mut world = fanout(shards, MAX_TRIALS);
        let lost: BTreeSet<usize> = (0..shards).filter(|shard| lost[*shard]).collect();
        prop_assume!(lost.len() < shards);
        let mut index = order;
        while let Some(send) = next(&world, &mut index) {
            let first = world.in_flight[send].cause == Cause::First;
            if first && lost.contains(&world.in_flight[send].shard) {
                end(&mut world, send);
            } else {
                world.answer(send);
            }
        }
        prop_assert!(world.fanout.is_done());
        let finished = world.fanout.finish();
        prop_assert!(finished.coverage.whole, "missing shards: {:?}", finished.coverage.missing);
    }
}

/// Draws one of the attempts in flight.
fn next(world: &World, draw: &mut u64) -> Option<usize> {
    *draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    let in_flight = u64::try_from(world.in_flight.len()).ok()?;
    usize::try_from((*draw >> 33).checked_rem(in_flight)?).ok()
}

#[test]
fn hedges_await_answer() {
    let mut world = fanout(20, MAX_TRIALS);
    world.advance(Duration::from_millis(500));
    let hedges = |world: &World| world.sent.iter().filter(|send| send.cause == Cause::Hedge).count();
    assert_eq!(hedges(&world), 1, "no upstream has answered");
    world.answer(0);
    world.advance(Duration::from_millis(20));
    assert!(hedges(&world) > 1, "an upstream has answered");
}

#[test]
fn held_hedges_await_answer() {
    // Guards against a second upstream that a narrow request crashes by a hedge while the first
    // one's lost reply is being checked, or after upstreams crashed during the same work before.
    for shards in [1, 3, 20] {
        let mut world = fanout(shards, MAX_TRIALS);
        let hedges = |world: &World| world.sent.iter().filter(|send| send.cause == Cause::Hedge).count();
        world.fanout.hold_hedges(true);
        world.advance(Duration::from_millis(500));
        assert_eq!(hedges(&world), 0, "{shards} shards: no upstream has answered");
        if shards > 1 {
            world.answer(0);
        } else {
            world.fanout.hold_hedges(false);
        }
        world.advance(Duration::from_millis(20));
        assert!(hedges(&world) > 0, "{shards} shards: the request is hedged again");
    }
}

#[test]
fn groups_send_no_trials() {
    let mut world = fanout(6, 0);
    world.advance(Duration::from_millis(500));
    while !world.in_flight.is_empty() {
        end(&mut world, 0);
    }
    assert!(world.fanout.is_done());
    assert_eq!(world.sent.len(), 6, "no shard gets a second attempt");
    let finished = world.fanout.finish();
    assert_eq!(finished.code, Code::ReplyLost);
    assert!(finished.coverage.missing.iter().all(|missing| missing.why == Gap::UpstreamEnded));
}

#[test]
fn retries_await_answer() {
    // After a crash no other failure is retried either, until an upstream has answered.
    let mut world = fanout(6, MAX_TRIALS);
    end(&mut world, 0);
    let refused = AttemptEnd::Refused { why: Gap::Overloaded, begun: false };
    world.end(0, refused, AttemptOutcome::Rejected(None));
    world.end(0, AttemptEnd::NotSent { why: Gap::Unreachable }, AttemptOutcome::Failed);
    world.advance(Duration::from_millis(50));
    assert_eq!(world.sent.len(), 6);
    world.answer(0);
    assert_eq!(world.sent.len(), 9, "the three suspended shards are retried");
}
