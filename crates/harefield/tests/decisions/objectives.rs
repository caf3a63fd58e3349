//! When a fan-out ends before every shard has answered: preferences, objectives and the smallest
//! share of shards that makes an answer.

use std::time::Duration;

use crate::support::at;
use crate::world::World;
use crate::world::all_but_one;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::resources::Preference;
use harefield::domain::routing::AttemptOutcome;

/// Sets when the answer is due, and cut.
fn set_objective(rules: &mut AnswerRules, millis: u64) {
    rules.objective = Some(at(rules.start, millis));
    rules.cutoff = rules.objective;
}

#[test]
fn groups_lack_share() {
    let needed = |group, total| {
        let mut found = 0;
        World::with(1, 1, true, |rules, _| {
            rules.min_share = 0.85;
            found = rules.needed(group, total);
        });
        found
    };
    assert_eq!(needed(180, 180), 153);
    assert_eq!(needed(30, 180), 21, "a group may lack twice its share of 27");
    assert_eq!(needed(13, 20), 10, "no more than the whole may lack");
}

#[test]
fn short_group_continues() {
    // 44 of 49 shards are needed, and 36 are enough for the whole fan-out, so that outstanding
    // shards still count.
    let mut world = World::with(49, 1, true, |rules, _| {
        rules.min_share = 0.89;
        rules.min_possible = Some(36);
        rules.attempts = 1;
    });
    for _ in 0..13 {
        world.end(0, AttemptEnd::Lost { why: Gap::ReplyLost }, AttemptOutcome::Failed);
    }
    assert!(!world.fanout.is_done());
    world.end(0, AttemptEnd::Lost { why: Gap::ReplyLost }, AttemptOutcome::Failed);
    assert!(world.fanout.is_done(), "35 shards are too few");
}

#[test]
fn time_first_cut() {
    let mut early = all_but_one(20, Preference::Time);
    early.advance(Duration::from_millis(60));
    assert!(early.fanout.is_done(), "most shards contributed and half of the time has passed");
    let mut patient = all_but_one(20, Preference::Coverage);
    patient.advance(Duration::from_millis(60));
    assert!(!patient.fanout.is_done(), "coverage has priority");
}

#[test]
fn objective_cuts() {
    let objective = |rules: &mut AnswerRules, least| {
        set_objective(rules, 50);
        rules.min_share = least;
    };
    let mut world = World::with(20, 2, true, |rules, _| objective(rules, 0.89));
    for _ in 0..17 {
        world.answer(0);
    }
    world.advance(Duration::from_millis(50));
    assert!(!world.fanout.is_done(), "17 of 20 are too few");
    world.answer(0);
    world.advance(Duration::ZERO);
    assert!(world.fanout.is_done(), "18 of 20 are enough at the objective");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::Answered);
    assert_eq!(finished.coverage.contributed.len(), 18);
    assert_eq!(finished.coverage.missing.len(), 2);
}

#[test]
fn objective_waits_for_all() {
    let mut world = World::with(20, 2, true, |rules, _| {
        set_objective(rules, 50);
        rules.min_share = 0.5;
    });
    for _ in 0..19 {
        world.answer(0);
    }
    world.advance(Duration::from_millis(49));
    assert!(!world.fanout.is_done(), "there is time for the last shard");
    world.advance(Duration::from_millis(1));
    assert!(world.fanout.is_done());
}

#[test]
fn straggles_after_objective() {
    let mut world = World::with(4, 2, true, |rules, _| {
        set_objective(rules, 50);
        rules.min_share = 1.0;
    });
    world.answer(0);
    world.advance(Duration::from_millis(60));
    assert!(!world.fanout.is_straggling(world.now), "most shards are outstanding and load their upstreams");
    world.answer(0);
    assert!(world.fanout.is_straggling(world.now));
    let mut early = World::with(4, 2, true, |rules, _| set_objective(rules, 50));
    early.answer(0);
    early.answer(0);
    assert!(!early.fanout.is_straggling(early.now), "its objective has not passed");
}

#[test]
fn hedges_in_time() {
    // Requests take 10 ms and count as slow after 100 ms: a hedge then would be too late.
    let hedged_after = |objective: Option<u64>, millis: u64| {
        let mut world = World::with(1, 2, true, |rules, _| {
            rules.hedge_factor = Some(10.0);
            rules.deadline = at(rules.start, 500);
            rules.objective = objective.map(|objective| at(rules.start, objective));
            rules.cutoff = rules.objective;
        });
        world.advance(Duration::from_millis(millis));
        world.sent.len() == 2
    };
    assert!(!hedged_after(Some(50), 39), "there is time left");
    assert!(hedged_after(Some(50), 40), "the other replica takes 10 ms as well");
    assert!(!hedged_after(Some(15), 9), "a reply within the mean latency is awaited");
    assert!(!hedged_after(None, 99), "there is no objective");
    assert!(hedged_after(None, 100));
}

#[test]
fn hopeless_ends_early() {
    let mut world = World::with(4, 1, true, |rules, _| {
        rules.min_share = 0.75;
        rules.attempts = 1;
    });
    for _ in 0..2 {
        assert!(!world.fanout.is_done());
        world.end(0, AttemptEnd::Lost { why: Gap::ReplyLost }, AttemptOutcome::Failed);
    }
    assert!(world.fanout.is_done(), "two of four are lost and three are needed");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::MayHaveRun);
}
