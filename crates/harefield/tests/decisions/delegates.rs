//! A daemon that queries replicas for another one (a delegate) selects them itself, and both
//! together stay within the attempts of the request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use harefield::domain::fanout::AttemptEnd;
use harefield::domain::ids::UpstreamId;
use harefield::domain::outcome::Gap;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Report;
use harefield::domain::view::ReplicaLimit;

use crate::support::cases;
use crate::support::replica;
use crate::world::Step;
use crate::world::World;
use crate::world::step;

const SHARDS: usize = 4;

/// Returns a fan-out of one of two daemons that may query the first replica of each shard and
/// `free` others.
fn daemon(replicas: usize, attempts: u32, free: u32) -> World {
    let limit = |shard| Some(ReplicaLimit { named: vec![replica(shard, 0)], free });
    World::limited(SHARDS, replicas, true, limit, |rules, _| {
        rules.attempts = attempts;
        rules.deadline = rules.start + Duration::from_secs(2);
    })
}

/// Returns the replicas of a shard that got an attempt.
fn queried(world: &World, shard: usize) -> BTreeSet<UpstreamId> {
    let sent = world.sent.iter().filter(|send| send.shard == shard);
    sent.map(|send| Arc::clone(&send.upstream)).collect()
}

proptest! {
    #![proptest_config(cases(200))]

    /// However the attempts of either daemon end, both together query at most as many replicas of
    /// a shard as it has attempts.
    #[test]
    fn both_within_attempts(
        replicas in 2_usize..13,
        attempts in 1_u32..5,
        delegate_steps in prop::collection::vec(step(), 0..60),
        sender_steps in prop::collection::vec(step(), 0..60),
    ) {
        let mut delegate = daemon(replicas, attempts, attempts - 1);
        let mut sender = daemon(replicas, attempts, 0);
        let leaves = |step: &&Step| !matches!(step, Step::Pause | Step::Drain(..));
        delegate_steps.iter().filter(leaves).for_each(|step| delegate.apply(*step));
        sender_steps.iter().filter(leaves).for_each(|step| sender.apply(*step));
        for shard in 0..SHARDS {
            let mut both = queried(&delegate, shard);
            both.append(&mut queried(&sender, shard));
            prop_assert!(both.len() <= attempts as usize, "{:?}", both);
        }
    }
}

#[test]
fn delegate_chooses() {
    // The replica that the other daemon would query rejects: a delegate that knows this selects
    // another one.
    let rejecting = replica(0, 0);
    let limit = Some(ReplicaLimit { named: vec![Arc::clone(&rejecting)], free: 1 });
    let first = World::limited(
        1,
        4,
        true,
        |_| limit.clone(),
        |rules, router| {
            for _ in 0..4 {
                router.begin(&rejecting, rules.start);
                router.end(
                    &rejecting,
                    rules.start,
                    AttemptOutcome::Rejected(None),
                    &Report::default(),
                    rules.start,
                );
            }
        },
    );
    assert_ne!(first.sent[0].upstream, rejecting);
}

#[test]
fn rejected_then_named() {
    let mut world = daemon(4, 2, 1);
    while let Some(index) = world.in_flight.iter().position(|send| send.upstream != replica(send.shard, 0)) {
        let end = AttemptEnd::Refused { why: Gap::Overloaded, begun: false };
        world.end(index, end, AttemptOutcome::Rejected(None));
    }
    for shard in 0..SHARDS {
        assert!(queried(&world, shard).contains(&replica(shard, 0)), "it is the only replica left");
    }
}
