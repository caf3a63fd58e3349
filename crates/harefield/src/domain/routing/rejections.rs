//! How often an upstream rejects requests although it has room.
//!
//! The load pattern: four of five upstreams reject three requests in five, and report that
//! they are idle. What the last request showed says little of such an upstream: it would be
//! taken for well after each answer. The rate of its rejections puts it behind those that
//! take their requests; while any of a shard's upstreams rejects, those that answered a
//! moment ago go before those that nothing was heard of since.
//!
//! The limits: few of a shard's first attempts check one that is passed over, so that what it
//! rejects can still go to another. It is not probed, since a probe would take the attempt
//! that a rejected request is sent again with.

use std::time::Duration;
use std::time::Instant;

/// How far one rejection moves the rate towards 1.
const GAIN: f64 = 0.5;

/// What an answer leaves of the rate.
const KEPT: f64 = 0.6;

/// After this time without news half of the rate is left.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// One that is passed over is checked once nothing was heard of it for this time.
const CHECKED_AFTER: Duration = Duration::from_secs(2);

/// The share of a shard's first attempts that are checks: each of them may be rejected, and
/// takes an attempt that another replica is needed for.
pub const CHECK_FRACTION: f64 = 1.0 / 16.0;

/// An answer shows for this time that an upstream takes its requests.
const SHOWN_FOR: Duration = Duration::from_secs(2);

/// An upstream that rejects at this rate is passed over beside one that rejects half as
/// often.
const PASSED_OVER: f64 = 0.25;

/// How much of the cost a rate counts at the most: a rejected request is sent once more.
const MOST_COUNTED: f64 = 0.8;

/// The rate at which an upstream rejects requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rejections {
    rate: f64,
    /// When it last rejected or answered.
    heard: Option<Instant>,
    /// When it last answered.
    answered: Option<Instant>,
}

impl Rejections {
    /// Takes a rejection.
    pub fn record_rejection(&mut self, now: Instant) {
        let rate = self.rate(now);
        *self = Self { rate: rate + (1.0 - rate) * GAIN, heard: Some(now), ..*self };
    }

    /// Takes an answer.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self { rate: self.rate(now) * KEPT, heard: Some(now), answered: Some(now) };
    }

    /// Returns the rate, from 0 to 1; it fades while nothing is heard.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(heard) = self.heard.filter(|_| self.rate > 0.0) else { return 0.0 };
        let age = now.saturating_duration_since(heard).as_secs_f64();
        self.rate * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Says whether an upstream with these rejections is passed over beside one with others.
    #[must_use]
    pub fn ranks_behind(&self, other: &Self, now: Instant) -> bool {
        let rate = self.rate(now);
        rate >= PASSED_OVER && other.rate(now) * 2.0 <= rate
    }

    /// Returns for how long nothing was heard of an upstream that is due to be checked.
    #[must_use]
    pub fn check_due(&self, now: Instant) -> Option<Duration> {
        let quiet = now.saturating_duration_since(self.heard?);
        (self.is_rejecting(now) && quiet >= CHECKED_AFTER).then_some(quiet)
    }

    /// Says whether it answered a moment ago.
    #[must_use]
    pub fn answered_recently(&self, now: Instant) -> bool {
        self.answered.is_some_and(|at| now.saturating_duration_since(at) < SHOWN_FOR)
    }

    /// Says whether it rejects so often that others go first.
    #[must_use]
    pub fn is_rejecting(&self, now: Instant) -> bool {
        self.rate(now) >= PASSED_OVER
    }

    /// Returns by how much the expected time of a request grows.
    #[must_use]
    pub fn cost_factor(&self, now: Instant) -> f64 {
        1.0 / (1.0 - self.rate(now).min(MOST_COUNTED))
    }
}
