//! Three times the load on the shards of a scheduled index, over the decisions of three daemons.
//!
//! The load pattern: 90 shards with a replica of two slots in each of three regions; each replica
//! pauses for 250 ms every 6 s. One daemon in each region carries all shards. What is sent runs to
//! its end, also where the answer has been cut. Several senders to a replica within one region,
//! and the messages between daemons, are not part of the model.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::scheduled::rules;
use crate::scheduled::scheduled_router;
use crate::scheduled::wide_view;
use crate::support::at;
use harefield::domain::admission::Room;
use harefield::domain::admission::RoomDecision;
use harefield::domain::admission::RoomRequest;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::SendAttempt;
use harefield::domain::ids::UpstreamId;
use harefield::domain::outcome::Outcome;
use harefield::domain::reply::OpaqueReply;
use harefield::domain::reply::Reply;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::view::Plan;

const SHARDS: usize = 90;
const REGIONS: usize = 3;
const DURATION_MS: u64 = 5000;

/// Rank, work in microseconds, objective, deadline, least share, and requests a second.
const KINDS: [(u32, u64, u64, u64, f64, u64); 2] =
    [(1, 28_000, 300, 2000, 0.95, 133), (2, 9200, 120, 1200, 0.85, 45)];

struct Fleet {
    plan: Arc<Plan>,
    regions: Vec<(Router, Room)>,
    start: Instant,
    now: u64,
    /// When each slot of a replica is free, in microseconds.
    slots: BTreeMap<UpstreamId, [u64; 2]>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    sent: Vec<(usize, SendAttempt)>,
    requests: Vec<(Option<Fanout>, usize, usize, u64)>,
    in_time: usize,
}

/// Returns when work on a replica that begins at `begin` ends, in microseconds.
fn end_of(name: &str, begin: u64, work: u64) -> u64 {
    let seed = name.bytes().fold(7_u64, |all, byte| all.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let phase = (begin + seed.wrapping_mul(2_654_435_761) % 6_000_000) % 6_000_000;
    let pause = 250_000_u64.saturating_sub(phase);
    let hit = phase + work > 6_000_000;
    begin + pause + work + if hit { 250_000 } else { 0 }
}

impl Fleet {
    fn new() -> Self {
        let view = wide_view(SHARDS, REGIONS, 2);
        let router = |region| scheduled_router(&view, REGIONS, region, LocalDaemon::default());
        Self {
            plan: Arc::clone(&view.lookups["l"].plans[0]),
            regions: (0..REGIONS).map(|region| (router(region), Room::default())).collect(),
            start: Instant::now(),
            now: 0,
            slots: BTreeMap::new(),
            ends: BinaryHeap::new(),
            sent: Vec::new(),
            requests: Vec::new(),
            in_time: 0,
        }
    }

    fn carry_out(&mut self, number: usize, actions: Vec<Action>) {
        let (_, region, kind, _) = self.requests[number];
        for action in actions {
            let Action::Send(send) = action else { continue };
            let far = if send.upstream.ends_with(&format!("-{region}")) { 0 } else { 8000 };
            let slots = self.slots.entry(Arc::clone(&send.upstream)).or_default();
            slots.sort_unstable();
            slots[0] = end_of(&send.upstream, slots[0].max(self.now * 1000 + far), KINDS[kind].1);
            self.ends.push(Reverse((slots[0] + far, self.sent.len())));
            self.sent.push((number, send));
        }
    }

    /// Calls a fan-out, and finishes it where its answer can be given.
    fn call(&mut self, number: usize, step: impl FnOnce(&mut Fanout, Instant, &mut Router) -> Vec<Action>) {
        let now = at(self.start, self.now);
        let (slot, region, kind, begun) = &mut self.requests[number];
        let Some(fanout) = slot else { return };
        let router = &mut self.regions[*region].0;
        let actions = step(fanout, now, router);
        if let Some(done) = slot.take_if(|fanout| fanout.is_done()) {
            done.id().into_iter().for_each(|id| router.dispatch_mut().leave_all(id, now));
            let answered = done.finish().outcome == Outcome::Answered;
            let counts = *begun >= 1000 && self.now <= *begun + KINDS[*kind].2;
            self.in_time += usize::from(answered && counts);
        }
        self.carry_out(number, actions);
    }

    fn arrive(&mut self, region: usize, kind: usize) {
        let (rank, _, objective, deadline, min_share, _) = KINDS[kind];
        let now = at(self.start, self.now);
        // The margin of an answer, as in the settings.
        let (name, cutoff): (Arc<str>, _) =
            (format!("k{kind}").into(), Duration::from_millis(objective - 10));
        let mut rules = AnswerRules { kind: Arc::clone(&name), rank, min_share, ..rules(now) };
        (rules.objective, rules.cutoff) = (Some(at(now, objective)), Some(now + cutoff));
        rules.deadline = at(now, deadline);
        let (router, room) = &mut self.regions[region];
        let (latency, min_shards) = (router.latency(&name), rules.min_shards(SHARDS));
        let (shards, work, left) = (&*self.plan.shards, latency.mean() / 2, cutoff);
        let request = RoomRequest { shards, rank, left, work, min_shards };
        let local = |shard: &_| router.longest_shard_delay(shard, rank, now);
        let usual = latency.slow() * 2;
        let decision = room.decide(&request, |plan| local(&plan.shard), |_| usual, now);
        let RoomDecision::Admit { leave_out } = decision else { return };
        rules.left_out = leave_out;
        let fanout = Fanout::new(Arc::clone(&self.plan), rules, 0);
        let number = self.requests.len();
        self.requests.push((Some(fanout), region, kind, self.now));
        self.call(number, |f, now, router| f.start_groups(now, router, &mut Vec::new()));
        self.call(number, |f, now, router| f.start(now, router, &mut Vec::new()));
    }

    fn step(&mut self) {
        self.now += 1;
        let now = at(self.start, self.now);
        for (router, _) in &mut self.regions {
            router.lease_mut().renew(now);
        }
        while let Some(Reverse((_, sent))) = self.ends.peek().filter(|end| end.0.0 <= self.now * 1000) {
            let (number, send) = self.sent[*sent].clone();
            self.ends.pop();
            let (_, region, kind, _) = self.requests[number];
            let router = &mut self.regions[region].0;
            router.end(&send.upstream, send.start, AttemptOutcome::Succeeded, &Report::default(), now);
            router.record_latency(&format!("k{kind}").into(), &send.upstream, now - send.start);
            let reply = AttemptEnd::Answered(Reply::Opaque(Arc::new(OpaqueReply::default())));
            let key = (send.shard, send.attempt);
            self.call(number, |f, now, router| f.on_attempt_end(key, reply, now, router, &mut Vec::new()));
        }
        let due = |request: &Option<Fanout>| request.as_ref().is_some_and(|f| f.next_wake() <= now);
        let due: Vec<usize> = (0..self.requests.len()).filter(|n| due(&self.requests[*n].0)).collect();
        for number in due {
            self.call(number, |f, now, router| f.on_timer(now, router, &mut Vec::new()));
        }
        for region in 0..REGIONS {
            for ticket in self.regions[region].0.dispatch_mut().take_ready() {
                let waits = |(f, at, ..): &(Option<Fanout>, usize, usize, u64)| {
                    *at == region && f.as_ref().is_some_and(|f| f.id() == Some(ticket.fanout))
                };
                let Some(number) = self.requests.iter().position(waits) else { continue };
                self.call(number, |f, now, router| f.on_turn(ticket.shard, now, router, &mut Vec::new()));
            }
        }
    }
}

/// Guards against a fleet that collapses below its capacity: the stated target is 0.85 in time.
#[test]
fn triple_load() {
    let mut fleet = Fleet::new();
    let mut sent = [0_u64; KINDS.len()];
    let mut counted = 0;
    while fleet.now < DURATION_MS {
        fleet.step();
        for (kind, (.., rate)) in KINDS.iter().enumerate() {
            while sent[kind] * 1000 < fleet.now * rate {
                let region = usize::try_from(sent[kind]).expect("it is small") % REGIONS;
                // The last requests could not end within the replay.
                counted += usize::from((1000..DURATION_MS - 300).contains(&fleet.now));
                if fleet.now < DURATION_MS - 300 {
                    fleet.arrive(region, kind);
                }
                sent[kind] += 1;
            }
        }
    }
    println!("{} of {counted} in time", fleet.in_time);
    assert!(fleet.in_time * 100 >= counted * 85, "{} of {counted} in time", fleet.in_time);
}
