//! The rate at which an upstream rejects requests although it reports free slots.
//!
//! The load pattern: four of five upstreams reject three requests in five, and report that they
//! are idle. The outcome of the last request says little about such an upstream: it would count as
//! healthy after each answer. By its rejection rate it ranks behind those that accept requests;
//! while any of a shard's upstreams rejects, those that answered recently rank before those that
//! didn't.
//!
//! A small share of a shard's first attempts checks an upstream that rejects, since a first
//! attempt that is rejected can still go to another one. Such an upstream isn't probed, since the
//! probe would use up the attempt with which a rejected request is sent again.

use std::time::Duration;
use std::time::Instant;

/// How far one rejection moves the rate towards 1, as a fraction of the distance.
const GAIN: f64 = 0.5;

/// The factor by which an answer lowers the rate.
const ANSWER_DECAY: f64 = 0.6;

/// The rate halves in this time without a rejection or an answer.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// An upstream that rejects is due for a check after this time without a rejection or an answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The fraction of a shard's first attempts that are checks. Each check may be rejected and then
/// uses up an attempt that is needed for another replica.
pub const CHECK_FRACTION: f64 = 1.0 / 16.0;

/// For this time an answer counts as evidence that an upstream accepts requests.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// The rate from which an upstream counts as rejecting; it then ranks behind those that reject
/// half as often or less.
const REJECTING_RATE: f64 = 0.25;

/// The highest rate that counts towards the cost: a rejected request is sent once more.
const MAX_COST_RATE: f64 = 0.8;

/// The rate at which an upstream rejects requests, as a decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rejections {
    rate: f64,
    /// The time of the last rejection or answer.
    last_outcome: Option<Instant>,
    /// The time of the last answer.
    last_answer: Option<Instant>,
}

impl Rejections {
    /// Records a rejection.
    pub fn record_rejection(&mut self, now: Instant) {
        let rate = self.rate(now);
        *self = Self { rate: rate + (1.0 - rate) * GAIN, last_outcome: Some(now), ..*self };
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self { rate: self.rate(now) * ANSWER_DECAY, last_outcome: Some(now), last_answer: Some(now) };
    }

    /// Returns the rate, from 0 to 1; it decays while no outcome is recorded.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(last_outcome) = self.last_outcome.filter(|_| self.rate > 0.0) else { return 0.0 };
        let age = now.saturating_duration_since(last_outcome).as_secs_f64();
        self.rate * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Returns whether an upstream with these rejections ranks behind one with `other`.
    #[must_use]
    pub fn ranks_behind(&self, other: &Self, now: Instant) -> bool {
        let rate = self.rate(now);
        rate >= REJECTING_RATE && other.rate(now) * 2.0 <= rate
    }

    /// Returns the time since the last rejection or answer where a check is due, else `None`.
    #[must_use]
    pub fn check_due(&self, now: Instant) -> Option<Duration> {
        let quiet = now.saturating_duration_since(self.last_outcome?);
        (self.is_rejecting(now) && quiet >= CHECK_INTERVAL).then_some(quiet)
    }

    /// Returns whether the upstream answered recently.
    #[must_use]
    pub fn answered_recently(&self, now: Instant) -> bool {
        self.last_answer.is_some_and(|at| now.saturating_duration_since(at) < ANSWER_TTL)
    }

    /// Returns whether the upstream rejects so often that others are preferred.
    #[must_use]
    pub fn is_rejecting(&self, now: Instant) -> bool {
        self.rate(now) >= REJECTING_RATE
    }

    /// Returns the factor by which rejections raise the expected time of a request.
    #[must_use]
    pub fn cost_factor(&self, now: Instant) -> f64 {
        1.0 / (1.0 - self.rate(now).min(MAX_COST_RATE))
    }
}
