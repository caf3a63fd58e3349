//! What an account may ask over the whole fleet, and its division into parts.
//!
//! Each part is a token bucket at one daemon. The parts sum to the account's limit whatever
//! daemons believe of each other: a part that nobody holds is lost for the time, one that
//! two hold is in the margin that [`Overage`] leaves. `docs/PROMISES.md` has the sum.

use std::time::Duration;

use super::reserve::VALID;
use crate::domain::resources::Account;

/// The part of what is allowed within a window that is given out; the rest is for parts that
/// two daemons hold for a while: one in six, which is a seventh of all.
const GIVEN_OUT: f64 = 0.857;

/// How far the fleet may go above an account's limit within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overage {
    /// The window.
    pub window: Duration,
    /// The share of the limit that may come on top.
    pub share: f64,
    /// Requests that may come on top of that.
    pub slack: f64,
}

impl Default for Overage {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), share: 0.1, slack: 10.0 }
    }
}

/// What an account may ask over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimit {
    /// Requests a second.
    rate: f64,
    /// Requests at once on top, with what the margin adds.
    burst: f64,
}

/// What one part of an account's limit gives out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

impl FleetLimit {
    /// Returns the limit of an account; none where it has none.
    #[must_use]
    pub fn of(account: &Account, overage: &Overage) -> Option<Self> {
        if account.rate <= 0.0 {
            return None;
        }
        let limit = account.rate * overage.window.as_secs_f64() + account.burst;
        let allowed = limit * (1.0 + overage.share) + overage.slack;
        let flow = account.rate * (overage.window + VALID).as_secs_f64();
        // All that the margin leaves is burst: parts are drawn on unevenly, and what one lacks
        // is refused though others have it.
        let burst = (allowed * GIVEN_OUT - flow).max((allowed - flow).min(account.burst));
        Some(Self { rate: account.rate, burst })
    }

    /// Returns how many parts it is divided into, `wanted` at most: each gives out whole
    /// requests, and a part that holds less than one would never give out any.
    #[must_use]
    pub fn parts(&self, wanted: u32) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is clamped")]
        let whole = self.burst.clamp(1.0, f64::from(u32::MAX)) as u32;
        whole.min(wanted).max(1)
    }

    /// Returns what each of `parts` parts gives out.
    #[must_use]
    pub fn part(&self, parts: u32) -> PartLimit {
        let parts = f64::from(parts.max(1));
        PartLimit { rate: self.rate / parts, burst: (self.burst / parts).max(1.0) }
    }
}
