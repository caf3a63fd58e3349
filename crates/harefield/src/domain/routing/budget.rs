//! A token bucket for extra load: hedges, probes and retries.

/// The most tokens that accumulate, in requests.
const MAX_TOKENS: f64 = 64.0;

/// The tokens below which no probe is sent, so that some are left for hedges.
const PROBE_FLOOR: f64 = 8.0;

/// How far retries may overdraw the budget, in requests.
const RETRY_OVERDRAFT: f64 = 256.0;

/// The fraction of the allowed share that is earned, so that the share holds in any time window,
/// wherever the window begins and ends.
const EARNED_FRACTION: f64 = 0.9;

/// The smallest useful cap of a budget, in requests: one hedge at a time.
pub(super) const MIN_CAP: f64 = 1.0;

/// The fraction of a strict budget that hedges leave for retries, which replace attempts that are
/// known to be lost.
const RETRY_RESERVE: f64 = 0.3;

/// The fraction of a strict budget that probes leave for hedges and retries.
const HEDGE_RESERVE: f64 = 0.6;

/// The fraction of the cap that a strict budget starts with.
const INITIAL_FRACTION: f64 = 0.5;

/// A token bucket that earns a share of a token with every first request and spends one token on
/// every extra request.
///
/// A hedge needs tokens in the bucket. A retry replaces work that is known to have failed, so it
/// may overdraw the bucket up to a limit; hedges wait until that is earned back.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
    cap: f64,
    overdraft: f64,
    hedge_floor: f64,
    probe_floor: f64,
}

impl Budget {
    /// Creates a budget that earns `share` tokens with every first request.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: MAX_TOKENS / 4.0,
            cap: MAX_TOKENS,
            overdraft: RETRY_OVERDRAFT,
            hedge_floor: 1.0,
            probe_floor: PROBE_FLOOR,
        }
    }

    /// Creates a budget that can't be overdrawn: the extra requests in any time window stay below
    /// `share` of the first requests in it, plus `cap`.
    #[must_use]
    pub fn strict(share: f64, cap: f64) -> Self {
        let first = (cap * INITIAL_FRACTION).max(MIN_CAP);
        let mut budget = Self {
            share: share * EARNED_FRACTION,
            tokens: first,
            cap,
            overdraft: 0.0,
            hedge_floor: 1.0,
            probe_floor: 1.0,
        };
        budget.set_cap(cap);
        budget
    }

    /// Sets the most tokens that accumulate, and drops those above.
    pub fn set_cap(&mut self, cap: f64) {
        self.cap = cap;
        self.hedge_floor = (cap * RETRY_RESERVE).max(1.0);
        self.probe_floor = (cap * HEDGE_RESERVE).max(1.0);
        self.tokens = self.tokens.min(cap);
    }

    /// Adds the tokens that one first request earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }

    /// Spends a token on a hedge; returns whether it may be sent.
    pub fn spend_hedge(&mut self) -> bool {
        self.spend(self.hedge_floor)
    }

    /// Spends a token on a probe if enough are left for hedges; returns whether it may be sent.
    pub fn spend_probe(&mut self) -> bool {
        self.spend(self.probe_floor)
    }

    /// Returns whether a retry may be sent now, without spending a token.
    #[must_use]
    pub fn can_retry(&self) -> bool {
        self.tokens >= 1.0 - self.overdraft
    }

    /// Spends a token on a retry; returns whether it may be sent.
    pub fn spend_retry(&mut self) -> bool {
        self.spend(1.0 - self.overdraft)
    }

    fn spend(&mut self, floor: f64) -> bool {
        if self.tokens < floor {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
