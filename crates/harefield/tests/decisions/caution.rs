//! A fan-out whose upstreams end while they have the request.

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

/// How many upstreams more than one a shard such a request may end: one that is hedged,
/// and two that are asked alone.
const MOST_EXTRA: usize = 3;

fn fanout(shards: usize, trials: u32) -> World {
    World::with(shards, 2, true, |rules, _| {
        rules.prefer = Preference::Coverage;
        rules.deadline = rules.start + Duration::from_secs(2);
        rules.attempts = 2;
        rules.trials = trials;
    })
}

fn end(world: &mut World, place: usize) {
    world.end(place, AttemptEnd::Lost { why: Gap::UpstreamEnded }, AttemptOutcome::Lost);
}

/// Returns how an upstream's end shows: known as such, or as a reply that was lost where the
/// daemon stood still and could not look.
fn loss(known: bool) -> AttemptEnd {
    AttemptEnd::Lost { why: if known { Gap::UpstreamEnded } else { Gap::ReplyLost } }
}

proptest! {
    #![proptest_config(cases(300))]

    /// Nor do more where it is not known of all of them that they ended.
    #[test]
    fn unseen_ends_few(
        shards in 4_usize..40,
        order in prop::collection::vec((any::<usize>(), 0_u64..40, any::<bool>()), 200),
    ) {
        let mut world = fanout(shards, MAX_TRIALS);
        let mut ended = 0;
        for (place, millis, known) in order {
            world.pass(Duration::from_millis(millis));
            if world.fanout.is_done() {
                break;
            }
            if !world.flying.is_empty() {
                ended += 1;
                world.end(place, loss(known), AttemptOutcome::Lost);
            }
        }
        prop_assert!(world.fanout.is_done(), "it is answered");
        prop_assert!(ended + world.flying.len() <= shards + MOST_EXTRA, "{} of {} shards", ended, shards);
        prop_assert_eq!(world.fanout.finish().outcome, Outcome::MayHaveRun);
    }

    /// In whatever order and time its upstreams end, few more than one a shard do.
    #[test]
    fn ends_few(
        shards in 1_usize..40,
        order in prop::collection::vec((any::<usize>(), 0_u64..40), 200),
    ) {
        let mut world = fanout(shards, MAX_TRIALS);
        let mut ended = 0;
        for (place, millis) in order {
            world.pass(Duration::from_millis(millis));
            if world.fanout.is_done() {
                break;
            }
            if !world.flying.is_empty() {
                ended += 1;
                end(&mut world, place);
            }
        }
        prop_assert!(world.fanout.is_done(), "it is answered");
        prop_assert!(ended + world.flying.len() <= shards + MOST_EXTRA, "{} of {} shards", ended, shards);
        let finished = world.fanout.finish();
        prop_assert_eq!(finished.outcome, Outcome::MayHaveRun);
    }

    /// What some upstreams lose for reasons of their own is asked again as soon as another
    /// one has answered.
    #[test]
    fn innocent_asked_again(
        shards in 2_usize..30,
        lost in prop::collection::vec(any::<bool>(), 30),
        order in any::<u64>(),
    ) {
        let mut world = fanout(shards, MAX_TRIALS);
        let lost: BTreeSet<usize> = (0..shards).filter(|shard| lost[*shard]).collect();
        prop_assume!(lost.len() < shards);
        let mut place = order;
        while let Some(send) = next(&world, &mut place) {
            let first = world.flying[send].cause == Cause::First;
            if first && lost.contains(&world.flying[send].shard) {
                end(&mut world, send);
            } else {
                world.answer(send);
            }
        }
        prop_assert!(world.fanout.is_done());
        let finished = world.fanout.finish();
        prop_assert!(finished.coverage.whole, "all are in: {:?}", finished.coverage.missing);
    }
}

/// Draws one of the attempts under way.
fn next(world: &World, draw: &mut u64) -> Option<usize> {
    *draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    let flying = u64::try_from(world.flying.len()).ok()?;
    usize::try_from((*draw >> 33).checked_rem(flying)?).ok()
}

#[test]
fn others_await_the_first() {
    let mut world = fanout(20, MAX_TRIALS);
    world.pass(Duration::from_millis(500));
    let hedges = |world: &World| world.sent.iter().filter(|send| send.cause == Cause::Hedge).count();
    assert_eq!(hedges(&world), 1, "nobody has answered");
    world.answer(0);
    world.pass(Duration::from_millis(20));
    assert!(hedges(&world) > 1, "the request can be run");
}

#[test]
fn groups_leave_it_to_the_whole() {
    let mut world = fanout(6, 0);
    world.pass(Duration::from_millis(500));
    while !world.flying.is_empty() {
        end(&mut world, 0);
    }
    assert!(world.fanout.is_done());
    assert_eq!(world.sent.len(), 6, "it asks nobody a second time");
    let finished = world.fanout.finish();
    assert_eq!(finished.code, Code::ReplyLost);
    assert!(finished.coverage.missing.iter().all(|missing| missing.why == Gap::UpstreamEnded));
}

#[test]
fn nothing_leaves_meanwhile() {
    // Once one has ended, no other reason to ask again counts either, until one answers.
    let mut world = fanout(6, MAX_TRIALS);
    end(&mut world, 0);
    let refused = AttemptEnd::Refused { why: Gap::Overloaded, begun: false };
    world.end(0, refused, AttemptOutcome::Rejected(None));
    world.end(0, AttemptEnd::NotSent { why: Gap::Unreachable }, AttemptOutcome::Failed);
    world.pass(Duration::from_millis(50));
    assert_eq!(world.sent.len(), 6);
    world.answer(0);
    assert_eq!(world.sent.len(), 9, "the three that waited");
}
