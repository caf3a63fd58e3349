//! The permits of one account that this daemon was granted and has not used yet.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// For how long a permit holds: what was granted in one window is used in it, or right
/// after it.
pub(super) const VALID: Duration = Duration::from_millis(200);

/// The most permits that are asked for at once.
const MOST_WANTED: u32 = 256;

/// How fast the measured rate follows the requests, in parts of a second.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The permits of one account at one worker.
#[derive(Debug, Default)]
pub struct Reserve {
    permits: Vec<(Instant, u32)>,
    /// Until when a part has nothing to give, as its holder said.
    empty: BTreeMap<u32, Instant>,
    /// When the running count of requests began, and the count.
    counted: Option<(Instant, u32)>,
    /// Requests in the second before that.
    rate: u32,
}

impl Reserve {
    /// Takes a permit where there is one; returns until when it holds.
    pub fn take(&mut self, now: Instant) -> Option<Instant> {
        self.permits.retain(|(until, count)| *until > now && *count > 0);
        let (until, count) = self.permits.first_mut()?;
        *count -= 1;
        Some(*until)
    }

    /// Takes a permit back that nothing ran under.
    pub fn release(&mut self, until: Instant) {
        self.permits.push((until, 1));
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        let (since, count) = self.counted.unwrap_or((now, 0));
        let passed = now.saturating_duration_since(since);
        if passed < RATE_WINDOW {
            self.counted = Some((since, count.saturating_add(1)));
            return;
        }
        self.rate = if passed < RATE_WINDOW * 2 { count } else { 0 };
        self.counted = Some((now, 1));
    }

    /// Returns how many permits to ask for: one for the request itself, and as many as may
    /// follow while they hold.
    #[must_use]
    pub fn wanted(&self) -> u32 {
        let seen = self.counted.map_or(0, |(_, count)| count).max(self.rate);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is clamped below")]
        let coming = (f64::from(seen) * VALID.as_secs_f64() * 0.5) as u32;
        (1 + coming).min(MOST_WANTED)
    }

    /// Takes permits that were granted to who asked for them at `asked`.
    pub fn add(&mut self, permits: u32, asked: Instant) {
        if permits > 0 {
            self.permits.push((asked + VALID, permits));
        }
    }

    /// Takes a holder's word that a part has nothing to give for a while.
    pub fn record_empty(&mut self, part: u32, wait: Duration, now: Instant) {
        self.empty.insert(part, now + wait);
    }

    /// Returns after which time a part may have something to give; none where it may now.
    #[must_use]
    pub fn empty_for(&self, part: u32, now: Instant) -> Option<Duration> {
        let until = self.empty.get(&part)?;
        Some(until.saturating_duration_since(now)).filter(|wait| !wait.is_zero())
    }

    /// Returns whether it holds nothing that matters any more.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        let used =
            self.counted.is_some_and(|(since, _)| now.saturating_duration_since(since) < RATE_WINDOW * 2);
        !used && self.empty.values().all(|until| *until <= now)
    }
}
