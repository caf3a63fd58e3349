//! When a fan-out ends before every shard has answered: preferences, objectives
//! and the least share.

use std::time::Duration;

use crate::support::at;
use crate::world::World;
use crate::world::almost_whole;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::resources::Preference;
use harefield::domain::routing::AttemptOutcome;

/// Sets by when the answer is wanted, and cut.
fn aim(rules: &mut AnswerRules, millis: u64) {
    rules.objective = Some(at(rules.start, millis));
    rules.cutoff = rules.objective;
}

#[test]
fn groups_lack_their_part() {
    let needed = |group, total| {
        let mut found = 0;
        World::with(1, 1, true, |rules, _| {
            rules.min_share = 0.85;
            found = rules.needed(group, total);
        });
        found
    };
    assert_eq!(needed(180, 180), 153);
    assert_eq!(needed(30, 180), 21, "six groups that lack 9 are not all alike");
    assert_eq!(needed(13, 20), 10, "as many as the whole may lack");
}

#[test]
fn short_group_goes_on() {
    // 44 of 49 are wanted, and 36 are enough for the whole: what is awaited still counts.
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
    assert!(world.fanout.is_done(), "35 cannot be made up for");
}

#[test]
fn time_first_cut() {
    let mut early = almost_whole(20, Preference::Time);
    early.pass(Duration::from_millis(60));
    assert!(early.fanout.is_done(), "most contributed, half the time is over");
    let mut patient = almost_whole(20, Preference::Coverage);
    patient.pass(Duration::from_millis(60));
    assert!(!patient.fanout.is_done(), "coverage goes first");
}

#[test]
fn objective_cuts() {
    let objective = |rules: &mut AnswerRules, least| {
        aim(rules, 50);
        rules.min_share = least;
    };
    let mut world = World::with(20, 2, true, |rules, _| objective(rules, 0.89));
    for _ in 0..17 {
        world.answer(0);
    }
    world.pass(Duration::from_millis(50));
    assert!(!world.fanout.is_done(), "17 of 20 are too few");
    world.answer(0);
    world.pass(Duration::ZERO);
    assert!(world.fanout.is_done(), "18 of 20 are enough, and it is time");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::Answered);
    assert_eq!(finished.coverage.contributed.len(), 18);
    assert_eq!(finished.coverage.missing.len(), 2);
}

#[test]
fn objective_waits_for_all() {
    let mut world = World::with(20, 2, true, |rules, _| {
        aim(rules, 50);
        rules.min_share = 0.5;
    });
    for _ in 0..19 {
        world.answer(0);
    }
    world.pass(Duration::from_millis(49));
    assert!(!world.fanout.is_done(), "there is time for the last");
    world.pass(Duration::from_millis(1));
    assert!(world.fanout.is_done());
}

#[test]
fn straggles_after_objective() {
    let mut world = World::with(4, 2, true, |rules, _| {
        aim(rules, 50);
        rules.min_share = 1.0;
    });
    world.answer(0);
    world.pass(Duration::from_millis(60));
    assert!(!world.fanout.is_straggling(world.now), "most shards are awaited, and load their upstreams");
    world.answer(0);
    assert!(world.fanout.is_straggling(world.now));
    let mut early = World::with(4, 2, true, |rules, _| aim(rules, 50));
    early.answer(0);
    early.answer(0);
    assert!(!early.fanout.is_straggling(early.now), "its objective lies ahead");
}

#[test]
fn hedges_in_time() {
    // Requests take 10 ms, and count as slow after 100: a hedge then would come too late.
    let hedged_after = |objective: Option<u64>, millis: u64| {
        let mut world = World::with(1, 2, true, |rules, _| {
            rules.hedge_factor = Some(10.0);
            rules.deadline = at(rules.start, 500);
            rules.objective = objective.map(|objective| at(rules.start, objective));
            rules.cutoff = rules.objective;
        });
        world.pass(Duration::from_millis(millis));
        world.sent.len() == 2
    };
    assert!(!hedged_after(Some(50), 39), "there is time yet");
    assert!(hedged_after(Some(50), 40), "the other replica takes 10 ms as well");
    assert!(!hedged_after(Some(15), 9), "one that takes as long as usual is awaited");
    assert!(!hedged_after(None, 99), "nothing is due");
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
    assert!(world.fanout.is_done(), "two of four are lost, and three are needed");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::MayHaveRun);
}
