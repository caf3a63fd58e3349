//! Admission: who runs now, who waits, and who is refused at once.
//!
//! One gate stands before each index of a worker. Its limit follows what the
//! upstreams take: it grows while fan-outs find room, and shrinks when their
//! shards have to wait for it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::code::Code;
use super::resources::Urgency;

/// Numbers the requests that wait at a gate.
pub type WaiterId = u64;

/// Of this many picks, ordinary requests get one while urgent ones wait.
const ORDINARY_TURN: u32 = 4;

/// Of this many picks, bulk requests get one while others wait.
const BULK_TURN: u32 = 16;

/// A fan-out counts as crowded when this share of its shards, in percent, waited.
const CROWDED_PERCENT: usize = 10;

/// A fan-out counts as crowded when it took this many times the best.
const SLOWER: f64 = 2.0;

/// How fast the best time is forgotten: by this factor with each fan-out.
const BEST_DRIFT: f64 = 1.005;

/// The share of its time, in parts, that a request may be expected to wait:
/// who would wait longer is refused at once, so that who waits has time to run.
const PATIENCE: u32 = 3;

/// A request that runs must have this many times the usual time left.
const ROOM: f64 = 1.5;

/// While urgent requests come, others share this part of the limit with them;
/// the rest is kept for the urgent ones.
const SHARED_PART: f64 = 0.6;

/// How long after an urgent request room is kept for the next.
const URGENT_LIFE: Duration = Duration::from_secs(1);

const FIRST_LIMIT: f64 = 16.0;
const LEAST_LIMIT: f64 = 1.0;
const SHRINK: f64 = 0.7;
const GAIN: f64 = 0.1;
const FIRST_TIME: f64 = 0.01;

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// The most requests that run at once.
    pub running: usize,
    /// The most requests of one urgency that wait.
    pub waiting: usize,
}

/// A request at a gate.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its urgency.
    pub urgency: Urgency,
    /// The team whose share it uses.
    pub team: Arc<str>,
    /// When it must be answered.
    pub deadline: Instant,
}

/// What the gate decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It runs now.
    Run,
    /// It waits under this number.
    Wait(WaiterId),
    /// It is refused, and may come back after this time.
    Refuse(Code, Duration),
}

/// A request that left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Called {
    /// It runs now.
    Run(WaiterId),
    /// It can no longer make its deadline.
    Refuse(WaiterId, Duration),
}

#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    arrival: Arrival,
}

/// The gate before one index.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    limit: f64,
    running: HashMap<Arc<str>, usize>,
    total: usize,
    queues: [Queue; 3],
    time: f64,
    best: Option<f64>,
    shrunk: Option<Instant>,
    urgent: Option<Instant>,
    next: WaiterId,
    picks: u32,
}

/// The requests of one urgency that wait, earliest deadline first.
#[derive(Debug, Default)]
struct Queue {
    waiters: VecDeque<Waiter>,
    /// Since when it has had waiters that none was called of.
    since: Option<Instant>,
    /// The usual time between two calls, in seconds.
    interval: Option<f64>,
}

impl Queue {
    fn insert(&mut self, waiter: Waiter, now: Instant) {
        if self.waiters.is_empty() {
            self.since = Some(now);
        }
        let deadline = waiter.arrival.deadline;
        let at = self.waiters.partition_point(|held| held.arrival.deadline <= deadline);
        self.waiters.insert(at, waiter);
    }

    /// Takes out a waiter that is called, and learns how often one is.
    fn call(&mut self, at: usize, now: Instant) -> Option<Waiter> {
        let waiter = self.waiters.remove(at)?;
        let since = self.since.replace(now).unwrap_or(now);
        let took = now.saturating_duration_since(since).as_secs_f64();
        let held = self.interval.unwrap_or(took);
        self.interval = Some(held + (took - held) * GAIN);
        Some(waiter)
    }

    /// Returns how long one more would wait, by how often one is called. What
    /// was learnt is not held against a queue that is empty: else one bad spell
    /// would keep it so.
    fn wait(&self, usual: f64) -> Duration {
        let interval = self.interval.filter(|_| !self.waiters.is_empty()).unwrap_or(usual);
        Duration::from_secs_f64((number(self.waiters.len()) + 1.0) * interval)
    }
}

const fn class(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Ordinary => 1,
        Urgency::Bulk => 2,
    }
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

impl Gate {
    /// Creates an open gate.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            limit: FIRST_LIMIT.min(number(limits.running)),
            running: HashMap::new(),
            total: 0,
            queues: Default::default(),
            time: FIRST_TIME,
            best: None,
            shrunk: None,
            urgent: None,
            next: 0,
            picks: 0,
        }
    }

    /// Returns the adaptive limit.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.total
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiters.len()).sum()
    }

    /// Decides on a request that arrives at `now`.
    pub fn arrive(&mut self, arrival: &Arrival, now: Instant) -> Entry {
        if arrival.urgency == Urgency::Urgent {
            self.urgent = Some(now);
        }
        let reserved = arrival.urgency != Urgency::Urgent && self.is_reserved(now);
        let first = self.queues[..=class(arrival.urgency)].iter().all(|q| q.waiters.is_empty());
        if first && self.has_room() && !reserved {
            self.enter(&arrival.team);
            return Entry::Run;
        }
        if let Some(refusal) = self.refuses(arrival, now) {
            return refusal;
        }
        let id = self.next;
        self.next += 1;
        let waiter = Waiter { id, arrival: arrival.clone() };
        self.queues[class(arrival.urgency)].insert(waiter, now);
        Entry::Wait(id)
    }

    /// Takes the end of a request that ran for `took`, `waited` of whose
    /// `shards` had to wait for room; returns who leaves the queue.
    pub fn leave(&mut self, team: &Arc<str>, took: Duration, crowd: Crowd, now: Instant) -> Vec<Called> {
        self.exit(team);
        let seconds = took.as_secs_f64();
        self.time += (seconds - self.time) * GAIN;
        let best = self.best.map_or(seconds, |best| (best * BEST_DRIFT).min(seconds));
        self.best = Some(best);
        if crowd.is_crowded() || seconds > best * SLOWER {
            self.shrink(took, now);
        } else if number(self.total) + 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(number(self.limits.running));
        }
        self.call(now)
    }

    /// Shrinks the limit, at most once in the time of a fan-out: those that ran
    /// side by side tell of one crowd.
    fn shrink(&mut self, took: Duration, now: Instant) {
        if self.shrunk.is_some_and(|at| now < at) {
            return;
        }
        self.limit = (self.limit * SHRINK).max(LEAST_LIMIT);
        self.shrunk = Some(now + took);
    }

    /// Takes a waiter that went away by itself.
    pub fn forget(&mut self, id: WaiterId) {
        for queue in &mut self.queues {
            queue.waiters.retain(|waiter| waiter.id != id);
        }
    }

    /// Calls those who may run or can no longer make their deadline.
    pub fn call(&mut self, now: Instant) -> Vec<Called> {
        let mut called = self.expire(now);
        while self.has_room() {
            let Some(waiter) = self.pick(now) else { break };
            self.enter(&waiter.arrival.team);
            called.push(Called::Run(waiter.id));
        }
        called
    }

    fn has_room(&self) -> bool {
        number(self.total) + 1.0 <= self.limit
    }

    fn enter(&mut self, team: &Arc<str>) {
        *self.running.entry(Arc::clone(team)).or_default() += 1;
        self.total += 1;
    }

    fn exit(&mut self, team: &Arc<str>) {
        self.total = self.total.saturating_sub(1);
        if let Some(count) = self.running.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(team);
            }
        }
    }

    fn refuses(&self, arrival: &Arrival, now: Instant) -> Option<Entry> {
        let queue = &self.queues[class(arrival.urgency)].waiters;
        let wait = self.expected_wait(arrival.urgency);
        if queue.len() >= self.limits.waiting {
            return Some(Entry::Refuse(Code::QueueFull, wait));
        }
        let own = queue.iter().filter(|w| w.arrival.team == arrival.team).count();
        let shared = own < queue.len() || self.running.keys().any(|team| *team != arrival.team);
        if shared && own * 2 >= self.limits.waiting {
            return Some(Entry::Refuse(Code::TeamShare, wait));
        }
        let left = arrival.deadline.saturating_duration_since(now);
        let need = Duration::from_secs_f64(self.time * ROOM);
        if wait > left / PATIENCE || wait + need > left {
            return Some(Entry::Refuse(Code::TooLate, wait));
        }
        None
    }

    /// Returns how long a new arrival would wait.
    #[must_use]
    pub fn expected_wait(&self, urgency: Urgency) -> Duration {
        self.queues[class(urgency)].wait(self.time / self.limit)
    }

    fn expire(&mut self, now: Instant) -> Vec<Called> {
        let need = Duration::from_secs_f64(self.time * ROOM);
        let wait = self.expected_wait(Urgency::Ordinary);
        let mut called = Vec::new();
        for queue in &mut self.queues {
            while queue.waiters.front().is_some_and(|w| now + need > w.arrival.deadline) {
                let late = queue.waiters.pop_front();
                called.extend(late.map(|w| Called::Refuse(w.id, wait)));
            }
        }
        called
    }

    fn pick(&mut self, now: Instant) -> Option<Waiter> {
        self.picks = self.picks.wrapping_add(1);
        let order: &[usize] = if self.is_reserved(now) && self.queues[0].waiters.is_empty() {
            &[]
        } else if self.picks.is_multiple_of(BULK_TURN) {
            &[2, 0, 1]
        } else if self.picks.is_multiple_of(ORDINARY_TURN) {
            &[1, 0, 2]
        } else {
            &[0, 1, 2]
        };
        order.iter().find_map(|class| self.pick_from(*class, now))
    }

    /// Returns whether the room left is kept for urgent requests, some of which
    /// came a moment ago.
    fn is_reserved(&self, now: Instant) -> bool {
        let urgent = self.urgent.is_some_and(|at| now.saturating_duration_since(at) <= URGENT_LIFE);
        urgent && self.total > 0 && number(self.total) + 1.0 > self.limit * SHARED_PART
    }

    /// Picks the waiter whose team runs least; the earliest deadline among its own.
    fn pick_from(&mut self, class: usize, now: Instant) -> Option<Waiter> {
        let running = |w: &Waiter| self.running.get(&w.arrival.team).copied().unwrap_or(0);
        let queue = &self.queues[class].waiters;
        let best = queue.iter().enumerate().min_by_key(|(at, w)| (running(w), *at));
        let at = best.map(|(at, _)| at)?;
        self.queues[class].call(at, now)
    }
}

/// How many of a fan-out's shards had to wait for room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crowd {
    /// Shards that waited.
    pub waited: usize,
    /// All shards.
    pub shards: usize,
}

impl Crowd {
    fn is_crowded(self) -> bool {
        self.waited > 0 && self.waited * 100 >= self.shards * CROWDED_PERCENT
    }
}
