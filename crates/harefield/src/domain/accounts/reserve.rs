//! The permits of one account that this worker was granted and has not used yet.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// How long a permit is valid. It is short, so that permits granted in one window are used in it
/// or right after it.
pub(super) const PERMIT_LIFETIME: Duration = Duration::from_millis(200);

/// The most permits that are requested at once.
const MAX_BATCH: u32 = 256;

/// The window over which the rate of requests is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The unused permits of one account at one worker, with its measured request rate.
#[derive(Debug, Default)]
pub struct Reserve {
    permits: Vec<(Instant, u32)>,
    /// Until when each part has no permits, as reported by its holder.
    empty: BTreeMap<u32, Instant>,
    /// The start of the current window, and the requests counted in it.
    window: Option<(Instant, u32)>,
    /// The requests counted in the window before.
    rate: u32,
}

impl Reserve {
    /// Takes a permit if there is one, and returns when it expires.
    pub fn take(&mut self, now: Instant) -> Option<Instant> {
        self.permits.retain(|(until, count)| *until > now && *count > 0);
        let (until, count) = self.permits.first_mut()?;
        *count -= 1;
        Some(*until)
    }

    /// Returns an unused permit, which keeps its expiry time.
    pub fn release(&mut self, until: Instant) {
        self.permits.push((until, 1));
    }

    /// Counts a request towards the measured rate.
    pub fn count_request(&mut self, now: Instant) {
        let (since, count) = self.window.unwrap_or((now, 0));
        let passed = now.saturating_duration_since(since);
        if passed < RATE_WINDOW {
            self.window = Some((since, count.saturating_add(1)));
            return;
        }
        self.rate = if passed < RATE_WINDOW * 2 { count } else { 0 };
        self.window = Some((now, 1));
    }

    /// Returns how many permits to request: one for the current request, and half of the requests
    /// expected while they are valid.
    #[must_use]
    pub fn batch_size(&self) -> u32 {
        let seen = self.window.map_or(0, |(_, count)| count).max(self.rate);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is clamped below")]
        let coming = (f64::from(seen) * PERMIT_LIFETIME.as_secs_f64() * 0.5) as u32;
        (1 + coming).min(MAX_BATCH)
    }

    /// Adds granted permits; their validity counts from `requested`, when they were requested.
    pub fn add(&mut self, permits: u32, requested: Instant) {
        if permits > 0 {
            self.permits.push((requested + PERMIT_LIFETIME, permits));
        }
    }

    /// Records a holder's reply that a part has no permits for a while.
    pub fn record_empty(&mut self, part: u32, wait: Duration, now: Instant) {
        self.empty.insert(part, now + wait);
    }

    /// Returns the time until a part may have permits again; none where it may have some now.
    #[must_use]
    pub fn empty_for(&self, part: u32, now: Instant) -> Option<Duration> {
        let until = self.empty.get(&part)?;
        Some(until.saturating_duration_since(now)).filter(|wait| !wait.is_zero())
    }

    /// Returns whether it can be dropped: no recent requests, and no part that is known to be
    /// empty.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        let used =
            self.window.is_some_and(|(since, _)| now.saturating_duration_since(since) < RATE_WINDOW * 2);
        !used && self.empty.values().all(|until| *until <= now)
    }
}
