//! The gate before one index.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::crowd::Congestion;
use super::queue::Arrival;
use super::queue::GAIN;
use super::queue::Queue;
use super::queue::Waiter;
use super::queue::WaiterId;
use super::queue::number;
use super::returns::Returns;
use super::turns::Turns;
use crate::domain::code::Code;
use crate::domain::resources::Urgency;

/// Of this many picks, ordinary requests get one while urgent ones wait.
const ORDINARY_TURN: u32 = 4;

/// Of this many picks, bulk requests get one while others wait.
const BULK_TURN: u32 = 16;

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

/// Requests whose objective passed before they came run while fewer than this many
/// requests run, and after all others: another tenth of a second changes little for them,
/// and those that came in time still make theirs. Credit in the worst seconds, after all
/// daemons had lost power, rose from 0.46 to 0.51 over 15 played days.
const LATE_LIMIT: usize = 2;

/// Of this many picks, those that came late get one whoever runs: a daemon that is never
/// idle would else serve none of them.
const LATE_TURN: u32 = 16;

/// Where in a round of picks the late ones' turn is: between those of bulk requests.
const LATE_PLACE: u32 = LATE_TURN / 2;

/// How long after an urgent request room is kept for the next.
const URGENT_LIFE: Duration = Duration::from_secs(1);

/// The limit of a gate that nothing is known of yet, in requests at once.
const FIRST_LIMIT: f64 = 16.0;

/// The least limit that a crowd leaves, in requests at once.
const LEAST_LIMIT: f64 = 1.0;

/// Slow fan-outs alone do not shrink the limit below this, in requests at once:
/// it may be an upstream that is slow, and not a crowd.
const SLOW_LIMIT: f64 = 2.0;

/// A limit shrinks by this factor.
const SHRINK: f64 = 0.7;

/// The usual time of a fan-out before the first has ended, in seconds.
const FIRST_TIME: f64 = 0.01;

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// The most requests that run at once.
    pub running: usize,
    /// The most requests of one urgency that wait.
    pub waiting: usize,
}

/// What the gate decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits under this number.
    Wait(WaiterId),
    /// It is refused, and may come back after this time.
    Refuse(Code, Duration),
}

/// A request that left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// It runs now.
    Run(WaiterId),
    /// It can no longer make its deadline.
    Refuse(WaiterId, Duration),
}

/// The gate before one index.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    limit: f64,
    running: HashMap<Arc<str>, usize>,
    total: usize,
    queues: [Queue; CLASSES],
    time: f64,
    /// The usual time until a fan-out that goes by an objective has enough, in seconds.
    enough: f64,
    best: Option<f64>,
    shrunk: Option<Instant>,
    urgent: Option<Instant>,
    next: WaiterId,
    picks: u32,
    returns: Returns,
    turns: Turns,
}

/// How many classes wait apart: the urgencies, and those that came late.
const CLASSES: usize = 4;

/// The class of those that came late.
const LATE: usize = 3;

const fn class(arrival: &Arrival) -> usize {
    if arrival.late { LATE } else { class_of(arrival.urgency) }
}

const fn class_of(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Ordinary => 1,
        Urgency::Bulk => 2,
    }
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
            enough: FIRST_TIME,
            best: None,
            shrunk: None,
            urgent: None,
            next: 0,
            picks: 0,
            returns: Returns::default(),
            turns: Turns::default(),
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
    pub fn arrive(&mut self, arrival: &Arrival, now: Instant) -> Admission {
        let class = class(arrival);
        let urgent = class == 0;
        if urgent {
            self.urgent = Some(now);
        }
        let reserved = !urgent && self.is_reserved(now);
        let first = self.queues[..=class].iter().all(|q| q.waiters.is_empty());
        if first && self.has_room_for(class) && !reserved {
            self.enter(&arrival.team);
            return Admission::Run;
        }
        if let Some((code, wait)) = self.refuses(arrival, now) {
            return Admission::Refuse(code, self.book(wait, now));
        }
        let id = self.next;
        self.next += 1;
        let waiter = Waiter { id, arrival: arrival.clone() };
        self.queues[class].insert(waiter, now);
        Admission::Wait(id)
    }

    /// Takes the end of a request that ran for `took`; `crowd` tells how many of its
    /// shards had to wait for room. Returns who leaves the queue.
    pub fn complete(
        &mut self,
        team: &Arc<str>,
        took: Duration,
        crowd: Congestion,
        now: Instant,
    ) -> Vec<Dequeued> {
        self.exit(team);
        let seconds = took.as_secs_f64();
        self.time += (seconds - self.time) * GAIN;
        if let Some(progress) = crowd.progress {
            self.enough += (progress.enough.as_secs_f64() - self.enough) * GAIN;
        }
        let best = self.best.map_or(seconds, |best| (best * BEST_DRIFT).min(seconds));
        self.best = Some(best);
        if crowd.is_crowded() {
            self.shrink(LEAST_LIMIT, took, now);
        } else if seconds > best * SLOWER && !crowd.objective {
            self.shrink(SLOW_LIMIT, took, now);
        } else if number(self.total) + 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(number(self.limits.running));
        }
        self.dequeue(now)
    }

    /// Takes a request that was given up on its way, as when its caller went away: how
    /// long it ran says nothing of the upstreams. Returns who leaves the queue.
    ///
    /// Taken for an end, it shrank the limit to two, and behind it ordinary requests
    /// waited: on a played day on which 30 of 100 callers gave up early, credit of the
    /// whole rose by 0.024 with this.
    pub fn abandon(&mut self, team: &Arc<str>, now: Instant) -> Vec<Dequeued> {
        self.exit(team);
        self.dequeue(now)
    }

    /// Shrinks the limit, at most once in the time of a fan-out: those that ran
    /// side by side tell of one crowd.
    fn shrink(&mut self, floor: f64, took: Duration, now: Instant) {
        if self.shrunk.is_some_and(|at| now < at) {
            return;
        }
        self.limit = (self.limit * SHRINK).max(floor.min(self.limit));
        self.shrunk = Some(now + took);
    }

    /// Takes a waiter that went away by itself.
    pub fn cancel(&mut self, id: WaiterId) {
        for queue in &mut self.queues {
            queue.remove(|waiter| waiter.id == id);
        }
    }

    /// Calls those who may run or can no longer make their deadline.
    pub fn dequeue(&mut self, now: Instant) -> Vec<Dequeued> {
        let mut called = self.expire(now);
        while self.has_room() {
            let Some(waiter) = self.pick(now) else { break };
            self.enter(&waiter.arrival.team);
            called.push(Dequeued::Run(waiter.id));
        }
        called
    }

    fn has_room_for(&self, class: usize) -> bool {
        self.has_room() && (class != LATE || self.total < LATE_LIMIT)
    }

    fn has_room(&self) -> bool {
        number(self.total) + 1.0 <= self.limit
    }

    fn enter(&mut self, team: &Arc<str>) {
        *self.running.entry(Arc::clone(team)).or_default() += 1;
        self.total += 1;
        self.turns.take(team);
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

    /// Returns when a caller may come back that waited in vain, and went by itself.
    pub fn retry_after(&mut self, now: Instant) -> Duration {
        self.book(self.expected_wait(Urgency::Ordinary), now)
    }

    /// Returns when a refused caller may come back, who would wait for `wait`.
    fn book(&mut self, wait: Duration, now: Instant) -> Duration {
        let interval = Duration::from_secs_f64(self.time / self.limit);
        self.returns.book(wait, interval, now)
    }

    /// Says why a request cannot wait, and how long it would.
    fn refuses(&self, arrival: &Arrival, now: Instant) -> Option<(Code, Duration)> {
        let class = class(arrival);
        let queue = &self.queues[class].waiters;
        let usual = self.time / self.limit;
        let wait = self.queues[class].wait_of(&arrival.team, usual);
        if queue.len() >= self.limits.waiting {
            return Some((Code::QueueFull, wait));
        }
        let own = self.queues[class].waiting_of(&arrival.team);
        let shared = own < queue.len() || self.running.keys().any(|team| *team != arrival.team);
        if shared && own * 2 >= self.limits.waiting {
            return Some((Code::TeamShare, wait));
        }
        let left = arrival.deadline.saturating_duration_since(now);
        let need = Duration::from_secs_f64(self.time * ROOM);
        let hopeless = now + wait > self.refuse_at(arrival);
        if hopeless || wait > left / PATIENCE || wait + need > left {
            return Some((Code::TooLate, wait));
        }
        None
    }

    /// Returns when a request that waits can no longer make its objective, or its deadline
    /// where it has none, and is refused.
    #[must_use]
    pub fn refuse_at(&self, arrival: &Arrival) -> Instant {
        leaves_at(arrival, self.enough)
    }

    /// Returns how long a new arrival would wait.
    #[must_use]
    pub fn expected_wait(&self, urgency: Urgency) -> Duration {
        self.queues[class_of(urgency)].wait(self.time / self.limit)
    }

    fn expire(&mut self, now: Instant) -> Vec<Dequeued> {
        let need = Duration::from_secs_f64(self.time * ROOM);
        let wait = self.expected_wait(Urgency::Ordinary);
        let mut called = Vec::new();
        let enough = self.enough;
        let late = |w: &Waiter| now + need > w.arrival.deadline || now > leaves_at(&w.arrival, enough);
        let mut refused = Vec::new();
        for queue in &mut self.queues {
            refused.extend(queue.waiters.iter().filter(|w| late(w)).map(|w| w.id));
            queue.remove(late);
        }
        called.extend(refused.into_iter().map(|id| Dequeued::Refuse(id, self.book(wait, now))));
        called
    }

    fn pick(&mut self, now: Instant) -> Option<Waiter> {
        self.picks = self.picks.wrapping_add(1);
        let order: &[usize] = if self.is_reserved(now) && self.queues[0].waiters.is_empty() {
            &[]
        } else if self.picks % LATE_TURN == LATE_PLACE && !self.queues[LATE].waiters.is_empty() {
            return self.take_from(LATE, now);
        } else if self.picks.is_multiple_of(BULK_TURN) {
            &[2, 0, 1, LATE]
        } else if self.picks.is_multiple_of(ORDINARY_TURN) {
            &[1, 0, 2, LATE]
        } else {
            &[0, 1, 2, LATE]
        };
        order.iter().find_map(|class| self.pick_from(*class, now))
    }

    /// Returns whether the room left is kept for urgent requests, some of which
    /// came a moment ago.
    fn is_reserved(&self, now: Instant) -> bool {
        let urgent = self.urgent.is_some_and(|at| now.saturating_duration_since(at) <= URGENT_LIFE);
        urgent && self.total > 0 && number(self.total) + 1.0 > self.limit * SHARED_PART
    }

    /// Picks a waiter of a class that has room.
    fn pick_from(&mut self, class: usize, now: Instant) -> Option<Waiter> {
        if self.has_room_for(class) { self.take_from(class, now) } else { None }
    }

    /// Takes the waiter of the account or team whose turn it is, and of those the one that
    /// runs least; the earliest deadline among its own.
    fn take_from(&mut self, class: usize, now: Instant) -> Option<Waiter> {
        let running = |w: &Waiter| self.running.get(&w.arrival.team).copied().unwrap_or(0);
        let turn = |w: &Waiter| self.turns.next_of(&w.arrival.team);
        let queue = self.queues[class].waiters.iter().enumerate();
        let order = |(at, w): &(usize, &Waiter)| (turn(w), running(w), *at);
        let best = queue.min_by(|a, b| {
            let ((turn, running, at), other) = (order(a), order(b));
            turn.total_cmp(&other.0).then((running, at).cmp(&(other.1, other.2)))
        });
        let at = best.map(|(at, _)| at)?;
        self.queues[class].call(at, now)
    }
}

/// Returns when a request that waits is refused, where one usually needs `enough` seconds.
fn leaves_at(arrival: &Arrival, enough: f64) -> Instant {
    let usual = Duration::from_secs_f64(enough);
    let due = arrival.due.map_or(arrival.deadline, |due| due.checked_sub(usual).unwrap_or(due));
    due.min(arrival.deadline)
}
