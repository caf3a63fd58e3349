//! The fan-out under generated sequences of replies, losses and pauses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use crate::support::replica;
use crate::world::World;
use crate::world::all_but_one;
use crate::world::step;
use harefield::domain::code::Code;
use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::ReplyIdentity;
use harefield::domain::fanout::verify;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::resources::Preference;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;

proptest! {
    #![proptest_config(cases(600))]

    /// Coverage has every shard of the snapshot once: contributed or missing.
    #[test]
    fn coverage_exact(
        shards in 1_usize..8,
        replicas in 1_usize..4,
        repeatable in any::<bool>(),
        coverage in any::<bool>(),
        steps in prop::collection::vec(step(), 0..60),
    ) {
        let prefer = if coverage { Preference::Coverage } else { Preference::Time };
        let world = World::new(shards, replicas, repeatable, prefer);
        let plan = Arc::clone(&world.plan);
        let (finished, ended, in_flight) = world.run(&steps);

        let contributed: BTreeSet<_> = finished.coverage.contributed.iter().cloned().collect();
        let missing: BTreeSet<_> = finished.coverage.missing.iter().map(|m| Arc::clone(&m.shard)).collect();
        let asked: BTreeSet<_> = plan.shards.iter().map(|s| Arc::clone(&s.shard)).collect();
        prop_assert!(contributed.is_disjoint(&missing));
        prop_assert_eq!(contributed.union(&missing).cloned().collect::<BTreeSet<_>>(), asked);
        prop_assert_eq!(contributed.len() + missing.len(), plan.shards.len());
        prop_assert_eq!(finished.coverage.whole, missing.is_empty());

        // Each contribution is a reply that was reported for that shard.
        let answers: BTreeMap<String, usize> = ended.iter().filter_map(|(send, end)| match end {
            AttemptEnd::Answered(body) => Some((body.get().to_owned(), send.shard)),
            _ => None,
        }).collect();
        prop_assert_eq!(finished.parts.len(), contributed.len());
        for part in &finished.parts {
            let shard = answers.get(part.reply.get()).expect("the reply was reported");
            prop_assert_eq!(&plan.shards[*shard].shard, &part.shard);
        }
        // A missing shard may have run exactly if an attempt on it may have run or is in flight.
        for missing in &finished.coverage.missing {
            let index = plan.shards.iter().position(|s| s.shard == missing.shard).expect("the plan has the shard");
            let ran = ended.iter().any(|(send, end)| send.shard == index && end.may_have_run())
                || in_flight.iter().any(|send| send.shard == index);
            prop_assert_eq!(missing.ran, ran, "{:?}", missing);
        }
    }

    /// `Outcome::NotRun` is given exactly if nothing can have run anywhere, and a once-only request
    /// is answered only if no missing shard may have run it.
    #[test]
    fn not_run_exact(
        shards in 1_usize..5,
        replicas in 1_usize..3,
        repeatable in any::<bool>(),
        steps in prop::collection::vec(step(), 0..40),
    ) {
        let world = World::new(shards, replicas, repeatable, Preference::Coverage);
        let (finished, ended, in_flight) = world.run(&steps);
        let ran = ended.iter().any(|(_, end)| end.may_have_run()) || !in_flight.is_empty();
        if finished.outcome == Outcome::NotRun {
            prop_assert!(!ran);
        }
        if !ran {
            prop_assert_eq!(finished.outcome, Outcome::NotRun);
        }
        if !repeatable && finished.outcome == Outcome::Answered {
            prop_assert!(finished.coverage.missing.iter().all(|missing| !missing.ran));
        }
    }
}

#[test]
fn all_answer() {
    let mut world = World::new(3, 2, true, Preference::Time);
    for _ in 0..3 {
        world.answer(0);
    }
    let (finished, _, _) = world.run(&[]);
    assert_eq!(finished.code, Code::Whole);
    assert_eq!(finished.outcome, Outcome::Answered);
}

#[test]
fn slow_shard_hedged() {
    let mut world = all_but_one(40, Preference::Coverage);
    world.advance(Duration::from_millis(60));
    let hedges =
        world.events.iter().filter(|event| matches!(event, Event::Sent { cause: Cause::Hedge, .. })).count();
    assert_eq!(hedges, 1, "the slow shard is hedged once");
    let (first, second) = (&world.sent[0], world.sent.last().expect("a hedge was sent"));
    assert_eq!(first.shard, second.shard);
    assert_ne!(first.upstream, second.upstream);
}

#[test]
fn hedge_loser_dropped() {
    let mut world = all_but_one(40, Preference::Coverage);
    world.advance(Duration::from_millis(60));
    let index = world.in_flight.iter().position(|send| send.attempt != 0).expect("the hedge is in flight");
    world.answer(index);
    assert!(world.fanout.is_done());
    world.answer(0);
    let dropped = |event: &Event| matches!(event, Event::ReplyDropped { attempt: 0, .. });
    assert!(world.events.iter().any(dropped));
    let finished = world.fanout.finish();
    assert_eq!(finished.parts.len(), 40);
}

#[test]
fn late_after_cut() {
    let mut world = World::new(2, 1, true, Preference::Coverage);
    world.answer(0);
    world.advance(Duration::from_millis(100));
    assert!(world.fanout.is_done(), "the answer is cut at the deadline");
    world.answer(0);
    let finished = world.fanout.finish();
    assert_eq!(finished.coverage.contributed.len(), 1);
    assert_eq!(finished.coverage.missing[0].why, Gap::Late);
    assert!(finished.coverage.missing[0].ran);
}

#[test]
fn no_replica_fails_fast() {
    let mut world = World::new(1, 2, true, Preference::Coverage);
    world.drain(0, 0);
    world.drain(0, 1);
    let end = AttemptEnd::Refused { why: Gap::Leaving, begun: false };
    world.end(0, end, AttemptOutcome::Declined);
    assert!(world.fanout.is_done(), "no replica is left to wait for");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::NotRun);
    assert_eq!(finished.code, Code::NoReplica);
}

#[test]
fn budget_bounds_hedges() {
    let mut world = World::new(200, 2, true, Preference::Coverage);
    for _ in 0..90 {
        world.advance(Duration::from_millis(1));
    }
    let extra = world.sent.len() - 200;
    assert!(extra > 0, "some hedges are sent");
    assert!(extra <= 16 + 10, "{extra} hedges for 200 requests at 5%");
}

#[test]
fn identity_must_match() {
    let asked = ReplyIdentity { request: "r.1".into(), shard: "s/0".into(), version: 7 };
    assert_eq!(verify(&asked, Some(&asked.clone())), Ok(()));
    let crossed = ReplyIdentity { request: "r.2".into(), ..asked.clone() };
    assert_eq!(verify(&asked, Some(&crossed)), Err(Gap::ReplyCrossed));
    let moved = ReplyIdentity { shard: "s/1".into(), ..asked.clone() };
    assert_eq!(verify(&asked, Some(&moved)), Err(Gap::ReplyCrossed));
    let other = ReplyIdentity { version: 8, ..asked.clone() };
    assert_eq!(verify(&asked, Some(&other)), Err(Gap::SnapshotWrong));
    assert_eq!(verify(&asked, None), Err(Gap::ReplyCrossed));
}

/// Gives replica 1 of every shard a much higher latency than replica 0, measured a second ago.
fn slow_second_replica(shards: usize, rules: &mut AnswerRules, router: &mut Router) {
    let past = rules.start;
    for shard in 0..shards {
        for (number, millis) in [(0, 4), (1, 60)] {
            let name = replica(shard, number);
            for _ in 0..20 {
                router.begin(&name, past);
                router.end(&name, past, AttemptOutcome::Succeeded, &Report::default(), at(past, millis));
            }
        }
    }
    for step in 1..=10 {
        router.lease_mut().renew(at(past, step * 100));
    }
    rules.start = at(past, 1000);
    rules.deadline = at(past, 1100);
}

proptest! {
    #![proptest_config(cases(64))]

    /// A shard gets no more attempts than the lookup allows, including probes.
    #[test]
    fn attempts_limited(steps in proptest::collection::vec(step(), 0..40), attempts in 1_u32..4) {
        let mut world = World::with(6, 3, true, |rules, router| {
            slow_second_replica(6, rules, router);
            rules.attempts = attempts;
        });
        for step in steps {
            if world.fanout.is_done() {
                break;
            }
            world.apply(step);
        }
        for shard in 0..6 {
            let sent = world.sent.iter().filter(|send| send.shard == shard).count();
            prop_assert!(sent <= usize::try_from(attempts).expect("it is small"), "{} attempts", sent);
        }
    }
}
