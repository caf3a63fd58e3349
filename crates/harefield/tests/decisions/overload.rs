//! A fleet of gates in front of shards with few slots, under far more load than the shards can
//! serve: how many requests are answered in time.
//!
//! The load pattern: a hall reopens, and all its callers send requests at once. Each shard runs
//! four requests concurrently and queues the rest; rejected callers retry once. The simulation is
//! seeded, runs in virtual time, and covers the gates' decisions only.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::at;
use harefield::domain::admission::Admission;
use harefield::domain::admission::Arrival;
use harefield::domain::admission::Congestion;
use harefield::domain::admission::Dequeued;
use harefield::domain::admission::Gate;
use harefield::domain::admission::GateLimits;
use harefield::domain::admission::Progress;
use harefield::domain::admission::WaiterId;
use harefield::domain::resources::Urgency;

const DAEMONS: usize = 7;

const SHARDS: usize = 20;

/// The number of shards that is enough for an answer.
const ENOUGH: usize = 18;

/// The number of requests that a shard's upstreams run concurrently.
const SLOTS: usize = 4;

/// A request counts as waiting at a shard when this many are ahead of it.
const QUEUE_THRESHOLD: usize = 12;

/// The capacity of the shards, about 200 requests per second: 4 slots at 20 ms each.
const CAPACITY: u64 = 200;

/// Callers want an answer within this time, and give up after [`PATIENCE_MS`].
const OBJECTIVE_MS: u64 = 200;

/// The part of the objective that is reserved for returning the answer.
const MARGIN_MS: u64 = 14;

const PATIENCE_MS: u64 = 2000;

/// Rejected callers retry when they are told to, and after this time at the latest.
const MAX_RETRY_MS: u64 = 660;

/// How long each load lasts, in milliseconds; the first second isn't counted.
const DURATION_MS: u64 = 5000;

/// A caller's request, from its first attempt on.
#[derive(Clone, Copy, Debug)]
struct Caller {
    first: u64,
    arrived: u64,
    retried: bool,
}

impl Caller {
    /// Returns whether its objective, which counts from the first attempt, had passed on arrival.
    fn is_late(&self) -> bool {
        self.arrived + MARGIN_MS >= self.first + OBJECTIVE_MS
    }
}

#[derive(Debug)]
struct Running {
    caller: Caller,
    daemon: usize,
    begun: u64,
    due: u64,
    waited: usize,
    in_at: Vec<u64>,
    left: bool,
}

/// A deterministic pseudo-random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct Fleet {
    start: Instant,
    gates: Vec<Gate>,
    waiting: Vec<Vec<(WaiterId, Caller)>>,
    /// When each slot of each shard becomes free.
    slots: Vec<[u64; SLOTS]>,
    running: Vec<Running>,
    retries: VecDeque<(u64, Caller)>,
    random: Random,
    in_time: usize,
}

impl Fleet {
    fn new() -> Self {
        let gate = || Gate::new(GateLimits { running: 256, waiting: 1024 });
        Self {
            start: Instant::now(),
            gates: (0..DAEMONS).map(|_| gate()).collect(),
            waiting: vec![Vec::new(); DAEMONS],
            slots: vec![[0; SLOTS]; SHARDS],
            running: Vec::new(),
            retries: VecDeque::new(),
            random: Random(7),
            in_time: 0,
        }
    }

    fn arrive(&mut self, caller: Caller, now: u64) {
        let daemon = usize::try_from(self.random.below(DAEMONS as u64)).expect("it is small");
        let arrival = arrival_of(&caller, self.start);
        match self.gates[daemon].arrive(&arrival, at(self.start, now)) {
            Admission::Run => self.run(daemon, caller, now),
            Admission::Wait(id) => self.waiting[daemon].push((id, caller)),
            Admission::Refuse(_, wait) => self.refuse(caller, wait, now),
        }
    }

    fn refuse(&mut self, caller: Caller, wait: Duration, now: u64) {
        if caller.retried {
            return;
        }
        let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).clamp(1, MAX_RETRY_MS);
        self.retries.push_back((now + wait, Caller { retried: true, ..caller }));
    }

    /// Sends a request to each shard, whose slots process requests in order of arrival.
    fn run(&mut self, daemon: usize, caller: Caller, now: u64) {
        let mut in_at = Vec::with_capacity(SHARDS);
        let mut waited = 0;
        for shard in &mut self.slots {
            let work = 12 + self.random.below(17);
            let slot = (0..SLOTS).min_by_key(|slot| shard[*slot]).expect("there are slots");
            let begins = shard[slot].max(now);
            waited += usize::from(begins - now >= (QUEUE_THRESHOLD / SLOTS) as u64 * 20);
            shard[slot] = begins + work;
            in_at.push(begins + work);
        }
        in_at.sort_unstable();
        let from = if caller.is_late() { now } else { caller.first };
        let due = from + OBJECTIVE_MS - MARGIN_MS;
        self.running.push(Running { caller, daemon, begun: now, due, waited, in_at, left: false });
    }

    fn apply(&mut self, daemon: usize, calls: Vec<Dequeued>, now: u64) {
        for call in calls {
            let (Dequeued::Run(id) | Dequeued::Refuse(id, _)) = call;
            let index = self.waiting[daemon].iter().position(|(held, _)| *held == id).expect("it waits");
            let (_, caller) = self.waiting[daemon].swap_remove(index);
            match call {
                Dequeued::Run(_) => self.run(daemon, caller, now),
                Dequeued::Refuse(_, wait) => self.refuse(caller, wait, now),
            }
        }
    }

    /// Completes the requests that have all their shards, or enough of them once they are due.
    fn answer(&mut self, now: u64) {
        let mut ended = Vec::new();
        for running in &mut self.running {
            let in_now = running.in_at.iter().filter(|at| **at <= now).count();
            let done = in_now == SHARDS || (in_now >= ENOUGH && now >= running.due);
            let given_up = now >= running.begun + PATIENCE_MS;
            if !done && !given_up {
                continue;
            }
            running.left = true;
            let counted = done && running.caller.first >= 1000;
            self.in_time +=
                usize::from(counted && now <= running.caller.first + OBJECTIVE_MS - MARGIN_MS / 2);
            ended.push((running.daemon, now - running.begun, congestion_of(running)));
        }
        self.running.retain(|running| !running.left);
        for (daemon, took, congestion) in ended {
            let took = Duration::from_millis(took);
            let dequeued = self.gates[daemon].complete(&"t".into(), took, congestion, at(self.start, now));
            self.apply(daemon, dequeued, now);
        }
    }

    fn step(&mut self, now: u64) {
        self.answer(now);
        for daemon in 0..DAEMONS {
            let dequeued = self.gates[daemon].dequeue(at(self.start, now));
            self.apply(daemon, dequeued, now);
        }
        let due: Vec<Caller> =
            self.retries.iter().filter(|(back, _)| *back <= now).map(|(_, caller)| *caller).collect();
        self.retries.retain(|(back, _)| *back > now);
        for caller in due {
            self.arrive(Caller { arrived: now, ..caller }, now);
        }
    }
}

fn arrival_of(caller: &Caller, start: Instant) -> Arrival {
    let team: Arc<str> = "t".into();
    Arrival {
        urgency: Urgency::Urgent,
        team,
        deadline: at(start, caller.first + PATIENCE_MS),
        due: (!caller.is_late()).then(|| at(start, caller.first + OBJECTIVE_MS - MARGIN_MS)),
        late: caller.is_late(),
    }
}

fn congestion_of(running: &Running) -> Congestion {
    let after = |count: usize| Duration::from_millis(running.in_at[count - 1] - running.begun);
    let allowed = Duration::from_millis(OBJECTIVE_MS - MARGIN_MS);
    let progress = Progress { half: after(SHARDS / 2), enough: after(ENOUGH), allowed };
    Congestion { waited: running.waited, shards: SHARDS, objective: true, progress: Some(progress) }
}

/// Returns how many requests per second are answered in time at a load of `per_s`.
fn goodput(per_s: u64) -> usize {
    let mut fleet = Fleet::new();
    for now in 0..DURATION_MS {
        fleet.step(now);
        // Arrivals are random: several in one millisecond, or none for several.
        for _ in 0..per_s.div_ceil(1000) * 2 {
            if fleet.random.below(2000 * per_s.div_ceil(1000)) < per_s {
                fleet.arrive(Caller { first: now, arrived: now, retried: false }, now);
            }
        }
    }
    fleet.in_time / 4
}

#[test]
fn in_time_past_capacity() {
    let best = goodput(CAPACITY * 3 / 4);
    assert!(best > 100, "nearly all are in time below the capacity of the shards: {best}");
    for times in [2, 3, 4, 8, 16] {
        let found = goodput(CAPACITY * times);
        assert!(
            found * 4 >= best * 3,
            "{found} per second in time at {times} times the capacity, {best} below it"
        );
    }
}
