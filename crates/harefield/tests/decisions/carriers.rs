//! Daemons that ask replicas for another daemon: they choose, within the attempts of both.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use harefield::domain::fanout::AttemptEnd;
use harefield::domain::ids::UpstreamId;
use harefield::domain::outcome::Gap;
use harefield::domain::routing::Report;
use harefield::domain::routing::Verdict;
use harefield::domain::view::ReplicaLimit;

use crate::support::cases;
use crate::support::replica;
use crate::world::Step;
use crate::world::World;
use crate::world::step;

const SHARDS: usize = 4;

/// A fan-out of one of two daemons that may ask the first replica of each shard, and `free`
/// others.
fn daemon(replicas: usize, attempts: u32, free: u32) -> World {
    let limit = |shard| Some(ReplicaLimit { named: vec![replica(shard, 0)], free });
    World::limited(SHARDS, replicas, true, limit, |rules, _| {
        rules.attempts = attempts;
        rules.deadline = rules.start + Duration::from_secs(2);
    })
}

/// Returns the replicas of a shard that were asked.
fn asked(world: &World, shard: usize) -> BTreeSet<UpstreamId> {
    let sent = world.sent.iter().filter(|send| send.shard == shard);
    sent.map(|send| Arc::clone(&send.upstream)).collect()
}

proptest! {
    #![proptest_config(cases(200))]

    /// Whatever becomes of the attempts of either daemon, both together ask no more
    /// replicas of a shard than its attempts.
    #[test]
    fn both_within_attempts(
        replicas in 2_usize..13,
        attempts in 1_u32..5,
        carried in prop::collection::vec(step(), 0..60),
        kept in prop::collection::vec(step(), 0..60),
    ) {
        let mut carrier = daemon(replicas, attempts, attempts - 1);
        let mut sender = daemon(replicas, attempts, 0);
        let leaves = |step: &&Step| !matches!(step, Step::Pause | Step::Drain(..));
        carried.iter().filter(leaves).for_each(|step| carrier.apply(*step));
        kept.iter().filter(leaves).for_each(|step| sender.apply(*step));
        for shard in 0..SHARDS {
            let mut both = asked(&carrier, shard);
            both.append(&mut asked(&sender, shard));
            prop_assert!(both.len() <= attempts as usize, "{:?}", both);
        }
    }
}

#[test]
fn carrier_chooses() {
    // The replica that the other daemon would ask rejects: who knows it asks another.
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
                router.end(&rejecting, rules.start, Verdict::Full(None), &Report::default(), rules.start);
            }
        },
    );
    assert_ne!(first.sent[0].upstream, rejecting);
}

#[test]
fn rejected_then_named() {
    let mut world = daemon(4, 2, 1);
    while let Some(place) = world.in_flight.iter().position(|send| send.upstream != replica(send.shard, 0)) {
        let end = AttemptEnd::Refused { why: Gap::Overloaded, begun: false };
        world.end(place, end, Verdict::Full(None));
    }
    for shard in 0..SHARDS {
        assert!(asked(&world, shard).contains(&replica(shard, 0)), "the only one left to ask");
    }
}
