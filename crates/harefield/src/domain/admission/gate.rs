//! The gate of one index: a concurrency limit with queues by urgency.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::congestion::Congestion;
use super::decision::Admission;
use super::decision::Dequeued;
use super::decision::GateLimits;
use super::queue::Arrival;
use super::queue::GAIN;
use super::queue::Queue;
use super::queue::Waiter;
use super::queue::WaiterId;
use super::queue::to_f64;
use super::retry_schedule::RankedRetries;
use super::retry_schedule::RetrySchedule;
use super::virtual_clock::VirtualClock;
use crate::domain::code::Code;
use crate::domain::resources::Urgency;

/// One in this many picks takes ordinary requests first, even while urgent ones wait.
const ORDINARY_EVERY: u32 = 4;

/// One in this many picks takes bulk requests first, even while others wait.
const BULK_EVERY: u32 = 16;

/// A fan-out without an objective counts as slow when it took this many times the best time.
const SLOW_FACTOR: f64 = 2.0;

/// The factor by which the best time grows with each fan-out, so that an old one is forgotten.
const BEST_DRIFT: f64 = 1.005;

/// A request may wait for at most the time to its deadline divided by this. One that would wait
/// longer is rejected immediately, so that those that wait have time left to run.
const WAIT_DIVISOR: u32 = 3;

/// A request must have this many times the average run time left until its deadline.
const TIME_MARGIN: f64 = 1.5;

/// While urgent requests arrive, other requests may use only this fraction of the limit; the
/// rest is reserved for urgent ones.
const SHARED_FRACTION: f64 = 0.6;

/// Late requests, whose objective had passed on arrival, run only while fewer than this many
/// requests run, and after all others: another tenth of a second changes little for them, while
/// requests that arrived in time can still meet their objective. Over 15 simulated days, the
/// credit in the worst seconds, after all daemons had lost power, rose from 0.46 to 0.51.
const LATE_LIMIT: usize = 2;

/// Late requests get one of this many picks however many requests run: a daemon that is never
/// idle would otherwise serve none of them.
const LATE_EVERY: u32 = 16;

/// The offset of that pick within each round, halfway between two picks for bulk requests.
const LATE_OFFSET: u32 = LATE_EVERY / 2;

/// How long after the arrival of an urgent request capacity is reserved for the next.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// The limit of a new gate, in concurrent requests.
const INITIAL_LIMIT: f64 = 16.0;

/// Congestion doesn't shrink the limit below this, in concurrent requests.
const MIN_LIMIT: f64 = 1.0;

/// Slow fan-outs without congestion don't shrink the limit below this, in concurrent requests:
/// the cause may be a single slow upstream.
const MIN_SLOW_LIMIT: f64 = 2.0;

/// The factor by which the limit shrinks.
const SHRINK_FACTOR: f64 = 0.7;

/// The initial value of the average times of fan-outs, in seconds.
const INITIAL_TIME: f64 = 0.01;

/// The gate of one index in one worker.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    /// The adaptive concurrency limit.
    limit: f64,
    /// The number of running requests per account or team.
    running: HashMap<Arc<str>, usize>,
    /// The number of all running requests.
    total: usize,
    queues: [Queue; CLASSES],
    /// The average run time of a request, in seconds.
    run_time: f64,
    /// The average time until a fan-out with an objective has enough shards, in seconds.
    enough: f64,
    /// The best run time, in seconds; it grows by [`BEST_DRIFT`] with each slower request.
    best: Option<f64>,
    /// The earliest time at which the limit may shrink again.
    shrink_after: Option<Instant>,
    /// When the last urgent request arrived.
    last_urgent: Option<Instant>,
    next_id: WaiterId,
    picks: u32,
    retries: RetrySchedule,
    room_retries: RankedRetries,
    clock: VirtualClock,
}

/// The number of classes with a queue of their own: one for each urgency, and late requests.
const CLASSES: usize = 4;

/// The class of late requests.
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
    /// Creates a gate without running or waiting requests.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            limit: INITIAL_LIMIT.min(to_f64(limits.running)),
            running: HashMap::new(),
            total: 0,
            queues: Default::default(),
            run_time: INITIAL_TIME,
            enough: INITIAL_TIME,
            best: None,
            shrink_after: None,
            last_urgent: None,
            next_id: 0,
            picks: 0,
            retries: RetrySchedule::default(),
            room_retries: RankedRetries::default(),
            clock: VirtualClock::default(),
        }
    }

    /// Returns the adaptive concurrency limit.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.total
    }

    /// Returns the number of waiting requests in all queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiters.len()).sum()
    }

    /// Admits, queues or rejects a request that arrives at `now`.
    pub fn arrive(&mut self, arrival: &Arrival, now: Instant) -> Admission {
        let class = class(arrival);
        let urgent = class == 0;
        if urgent {
            self.last_urgent = Some(now);
        }
        let reserved = !urgent && self.is_reserved(now);
        let first = self.queues[..=class].iter().all(|q| q.waiters.is_empty());
        if first && self.has_capacity_for(class) && !reserved {
            self.enter(&arrival.team);
            return Admission::Run;
        }
        if let Some((code, wait)) = self.refusal(arrival, now) {
            return Admission::Refuse(code, self.schedule_retry(wait, now));
        }
        let id = self.next_id;
        self.next_id += 1;
        let waiter = Waiter { id, arrival: arrival.clone() };
        self.queues[class].insert(waiter, now);
        Admission::Wait(id)
    }

    /// Records the end of a request that ran for `took` and adapts the limit to the congestion
    /// that its fan-out met. Returns the requests that leave the queues.
    pub fn complete(
        &mut self,
        team: &Arc<str>,
        took: Duration,
        congestion: Congestion,
        now: Instant,
    ) -> Vec<Dequeued> {
        self.exit(team);
        let seconds = took.as_secs_f64();
        self.run_time += (seconds - self.run_time) * GAIN;
        if let Some(progress) = congestion.progress {
            self.enough += (progress.enough.as_secs_f64() - self.enough) * GAIN;
        }
        let best = self.best.map_or(seconds, |best| (best * BEST_DRIFT).min(seconds));
        self.best = Some(best);
        if congestion.is_congested() {
            self.shrink(MIN_LIMIT, took, now);
        } else if seconds > best * SLOW_FACTOR && !congestion.objective {
            self.shrink(MIN_SLOW_LIMIT, took, now);
        } else if to_f64(self.total) + 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(to_f64(self.limits.running));
        }
        self.dequeue(now)
    }

    /// Records that a running request was abandoned, for example because its caller
    /// disconnected; how long it ran says nothing about the upstreams. Returns the requests that
    /// leave the queues.
    ///
    /// Counting such requests as completed shrank the limit to two and made ordinary requests
    /// wait. On a simulated day on which 30 of 100 callers gave up early, ignoring them raised
    /// the overall credit by 0.024.
    pub fn abandon(&mut self, team: &Arc<str>, now: Instant) -> Vec<Dequeued> {
        self.exit(team);
        self.dequeue(now)
    }

    /// Shrinks the limit, at most once per run time: concurrent fan-outs observe the same
    /// congestion.
    fn shrink(&mut self, floor: f64, took: Duration, now: Instant) {
        if self.shrink_after.is_some_and(|at| now < at) {
            return;
        }
        self.limit = (self.limit * SHRINK_FACTOR).max(floor.min(self.limit));
        self.shrink_after = Some(now + took);
    }

    /// Removes a waiter whose request went away.
    pub fn cancel(&mut self, id: WaiterId) {
        for queue in &mut self.queues {
            queue.remove(|waiter| waiter.id == id);
        }
    }

    /// Removes the waiters that may run now, and those that can no longer meet their objective
    /// or deadline.
    pub fn dequeue(&mut self, now: Instant) -> Vec<Dequeued> {
        let mut dequeued = self.expire(now);
        while self.has_capacity() {
            let Some(waiter) = self.pick(now) else { break };
            self.enter(&waiter.arrival.team);
            dequeued.push(Dequeued::Run(waiter.id));
        }
        dequeued
    }

    fn has_capacity_for(&self, class: usize) -> bool {
        self.has_capacity() && (class != LATE || self.total < LATE_LIMIT)
    }

    fn has_capacity(&self) -> bool {
        to_f64(self.total) + 1.0 <= self.limit
    }

    fn enter(&mut self, team: &Arc<str>) {
        *self.running.entry(Arc::clone(team)).or_default() += 1;
        self.total += 1;
        self.clock.record(team);
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

    /// Returns the retry delay for a caller whose request waited and expired.
    pub fn retry_after(&mut self, now: Instant) -> Duration {
        self.schedule_retry(self.expected_wait(Urgency::Ordinary), now)
    }

    /// Assigns a retry delay to a caller that passed the gate but whose shards have no room for at
    /// least `wait`.
    pub fn retry_after_room(&mut self, rank: u32, wait: Duration, now: Instant) -> Duration {
        self.room_retries.assign(rank, wait, self.interval(), now)
    }

    /// Assigns a retry delay to a rejected caller whose expected wait is `wait`.
    fn schedule_retry(&mut self, wait: Duration, now: Instant) -> Duration {
        self.retries.assign(wait, self.interval(), now)
    }

    /// Returns the average time between two requests that leave.
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.run_time / self.limit)
    }

    /// Returns why a request can't wait, with its expected wait; none where it can.
    fn refusal(&self, arrival: &Arrival, now: Instant) -> Option<(Code, Duration)> {
        let class = class(arrival);
        let queue = &self.queues[class].waiters;
        let usual = self.run_time / self.limit;
        let wait = self.queues[class].team_wait(&arrival.team, usual);
        if queue.len() >= self.limits.waiting {
            return Some((Code::QueueFull, wait));
        }
        let own = self.queues[class].team_waiting(&arrival.team);
        let shared = own < queue.len() || self.running.keys().any(|team| *team != arrival.team);
        if shared && own * 2 >= self.limits.waiting {
            return Some((Code::TeamShare, wait));
        }
        let left = arrival.deadline.saturating_duration_since(now);
        let need = Duration::from_secs_f64(self.run_time * TIME_MARGIN);
        let hopeless = now + wait > self.refuse_at(arrival);
        if hopeless || wait > left / WAIT_DIVISOR || wait + need > left {
            return Some((Code::TooLate, wait));
        }
        None
    }

    /// Returns when a waiting request is rejected, since it can no longer meet its objective,
    /// or its deadline where it has none.
    #[must_use]
    pub fn refuse_at(&self, arrival: &Arrival) -> Instant {
        arrival.refuse_at(self.enough)
    }

    /// Returns the expected wait of a new arrival of an urgency, at the end of its queue.
    #[must_use]
    pub fn expected_wait(&self, urgency: Urgency) -> Duration {
        self.queues[class_of(urgency)].expected_wait(self.run_time / self.limit)
    }

    /// Shortens the deadlines of all waiting requests to `until`, as a planned stop does. Returns the
    /// refusals of those that would not get to run in time.
    pub fn limit_deadlines(&mut self, until: Instant, now: Instant) -> Vec<Dequeued> {
        let usual = self.run_time / self.limit;
        let latest = self.begin_until(until);
        let mut refused = Vec::new();
        for queue in &mut self.queues {
            refused.extend(queue.limit_deadlines(until, |wait| now + wait > latest, usual));
        }
        refused.into_iter().map(|id| Dequeued::Refuse(id, Duration::ZERO)).collect()
    }

    /// Returns until when a request may begin that has to end by `until`, given the best run time.
    #[must_use]
    pub fn begin_until(&self, until: Instant) -> Instant {
        until.checked_sub(Duration::from_secs_f64(self.best.unwrap_or(0.0))).unwrap_or(until)
    }

    fn expire(&mut self, now: Instant) -> Vec<Dequeued> {
        let need = Duration::from_secs_f64(self.run_time * TIME_MARGIN);
        let wait = self.expected_wait(Urgency::Ordinary);
        let mut dequeued = Vec::new();
        let enough = self.enough;
        let late = |w: &Waiter| now + need > w.arrival.deadline || now > w.arrival.refuse_at(enough);
        let mut refused = Vec::new();
        for queue in &mut self.queues {
            refused.extend(queue.waiters.iter().filter(|w| late(w)).map(|w| w.id));
            queue.remove(late);
        }
        dequeued.extend(refused.into_iter().map(|id| Dequeued::Refuse(id, self.schedule_retry(wait, now))));
        dequeued
    }

    fn pick(&mut self, now: Instant) -> Option<Waiter> {
        self.picks = self.picks.wrapping_add(1);
        let order: &[usize] = if self.is_reserved(now) && self.queues[0].waiters.is_empty() {
            &[]
        } else if self.picks % LATE_EVERY == LATE_OFFSET && !self.queues[LATE].waiters.is_empty() {
            return self.dequeue_from(LATE, now);
        } else if self.picks.is_multiple_of(BULK_EVERY) {
            &[2, 0, 1, LATE]
        } else if self.picks.is_multiple_of(ORDINARY_EVERY) {
            &[1, 0, 2, LATE]
        } else {
            &[0, 1, 2, LATE]
        };
        order.iter().find_map(|class| self.pick_from(*class, now))
    }

    /// Returns whether the remaining capacity is reserved for urgent requests, one of which
    /// arrived within [`RESERVE_TIME`].
    fn is_reserved(&self, now: Instant) -> bool {
        let urgent = self.last_urgent.is_some_and(|at| now.saturating_duration_since(at) <= RESERVE_TIME);
        urgent && self.total > 0 && to_f64(self.total) + 1.0 > self.limit * SHARED_FRACTION
    }

    /// Dequeues a waiter of a class if there is capacity for that class.
    fn pick_from(&mut self, class: usize, now: Instant) -> Option<Waiter> {
        if self.has_capacity_for(class) { self.dequeue_from(class, now) } else { None }
    }

    /// Dequeues the waiter with the lowest start tag; on a tie that of the account or team with
    /// the fewest running requests, then the one with the earliest deadline.
    fn dequeue_from(&mut self, class: usize, now: Instant) -> Option<Waiter> {
        let running = |w: &Waiter| self.running.get(&w.arrival.team).copied().unwrap_or(0);
        let tag = |w: &Waiter| self.clock.start_tag(&w.arrival.team);
        let queue = self.queues[class].waiters.iter().enumerate();
        let order = |(at, w): &(usize, &Waiter)| (tag(w), running(w), *at);
        let best = queue.min_by(|a, b| {
            let ((tag, running, at), other) = (order(a), order(b));
            tag.total_cmp(&other.0).then((running, at).cmp(&(other.1, other.2)))
        });
        let at = best.map(|(at, _)| at)?;
        self.queues[class].dequeue(at, now)
    }
}
