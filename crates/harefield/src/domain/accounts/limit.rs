//! What an account may ask over the whole fleet, and its division into parts.
//!
//! Each part is a token bucket at one daemon. The parts sum to the account's limit whatever
//! daemons believe of each other: a part that nobody holds is lost for the time, one that
//! two hold is in the margin that [`Overage`] leaves. `docs/PROMISES.md` has the sum.

use std::time::Duration;

use super::reserve::VALID;
use crate::domain::resources::Account;

/// The share of the margin that is given out as burst on top of the account's own, so that
/// parts which are drawn on unevenly refuse nothing inside the limit.
const BURST_SHARE: f64 = 0.125;

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
        let margin = limit * overage.share + overage.slack;
        let late = account.rate * VALID.as_secs_f64();
        let added = (margin * BURST_SHARE).min(margin - late);
        Some(Self { rate: account.rate, burst: account.burst + added })
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
