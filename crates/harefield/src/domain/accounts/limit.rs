//! The rate limit of an account over the whole fleet, and its division into parts.
//!
//! Each part is a token bucket at one daemon. The parts sum to the account's limit even while
//! daemons disagree about who holds which. A part without a holder is lost for that time; a part
//! with two holders is covered by the margin that [`Overage`] leaves. `docs/PROMISES.md` has the
//! calculation.

use std::time::Duration;

use super::reserve::PERMIT_LIFETIME;
use crate::domain::resources::Account;

/// The fraction of what is allowed within a window that is granted. The rest covers parts that two
/// daemons hold for a while: one part in six, which is a seventh of the total.
const GRANTED_FRACTION: f64 = 0.857;

/// How far the fleet may exceed an account's limit within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overage {
    /// The length of the window.
    pub window: Duration,
    /// The fraction of the limit by which it may be exceeded.
    pub share: f64,
    /// The number of requests allowed in addition.
    pub slack: f64,
}

impl Default for Overage {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), share: 0.1, slack: 10.0 }
    }
}

/// The token bucket of an account over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimit {
    /// Requests per second.
    rate: f64,
    /// The bucket size in requests, which includes what the margin adds.
    burst: f64,
}

/// The token bucket of one part of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartLimit {
    /// Requests per second.
    pub rate: f64,
    /// The bucket size in requests, at least one.
    pub burst: f64,
}

impl FleetLimit {
    /// Returns the limit of an account; none where its rate is zero, so that it is unlimited.
    #[must_use]
    pub fn of(account: &Account, overage: &Overage) -> Option<Self> {
        if account.rate <= 0.0 {
            return None;
        }
        let limit = account.rate * overage.window.as_secs_f64() + account.burst;
        let allowed = limit * (1.0 + overage.share) + overage.slack;
        let flow = account.rate * (overage.window + PERMIT_LIFETIME).as_secs_f64();
        // The whole remaining margin goes to the burst. Parts are used unevenly, and a request is
        // rejected where one part is empty although others have permits.
        let burst = (allowed * GRANTED_FRACTION - flow).max((allowed - flow).min(account.burst));
        Some(Self { rate: account.rate, burst })
    }

    /// Returns the number of parts, at most `wanted`. A part grants whole requests only, so one
    /// that holds less than one request would never grant any.
    #[must_use]
    pub fn parts(&self, wanted: u32) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is clamped")]
        let whole = self.burst.clamp(1.0, f64::from(u32::MAX)) as u32;
        whole.min(wanted).max(1)
    }

    /// Returns the bucket of each of `parts` parts.
    #[must_use]
    pub fn part(&self, parts: u32) -> PartLimit {
        let parts = f64::from(parts.max(1));
        PartLimit { rate: self.rate / parts, burst: (self.burst / parts).max(1.0) }
    }
}
