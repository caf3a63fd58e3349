//! A budget of extra load: hedges, probes and retries.

/// The most that unspent earnings add up to, in requests.
const MOST: f64 = 64.0;

/// What probes leave in hand for hedges, in requests.
const PROBE_FLOOR: f64 = 8.0;

/// How far retries may overdraw the budget, in requests.
const RESERVE: f64 = 256.0;

/// The part of the allowed share that is earned, so that the share holds in
/// any window, whatever its edges.
const USED_SHARE: f64 = 0.9;

/// The least that a budget may add up to, in requests: one hedge at a time.
pub(super) const LEAST_MOST: f64 = 1.0;

/// The part of a strict budget that hedges leave for retries, which replace what
/// is known to be lost.
const KEPT_FOR_RETRIES: f64 = 0.3;

/// The part of a strict budget that probes leave for hedges and retries.
const KEPT_FOR_HEDGES: f64 = 0.6;

/// The part of the slack that a daemon starts with.
const FIRST_PART: f64 = 0.5;

/// Earns a share of every first request and spends it on extra ones.
///
/// A hedge needs earnings in hand. A retry replaces work that is known to have
/// failed, so it may overdraw the budget down to a reserve, which hedges then
/// have to earn back.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
    most: f64,
    reserve: f64,
    hedges: f64,
    probes: f64,
}

impl Budget {
    /// Creates a budget that earns `share` of a request with every first one.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share, tokens: MOST / 4.0, most: MOST, reserve: RESERVE, hedges: 1.0, probes: PROBE_FLOOR }
    }

    /// Creates a budget that never spends more than it earned and `most`: what
    /// leaves within any window stays under its share of the first requests
    /// plus `most`.
    #[must_use]
    pub fn strict(share: f64, most: f64) -> Self {
        let first = (most * FIRST_PART).max(LEAST_MOST);
        let mut budget =
            Self { share: share * USED_SHARE, tokens: first, most, reserve: 0.0, hedges: 1.0, probes: 1.0 };
        budget.set_cap(most);
        budget
    }

    /// Takes a new bound on unspent earnings.
    pub fn set_cap(&mut self, most: f64) {
        self.most = most;
        self.hedges = (most * KEPT_FOR_RETRIES).max(1.0);
        self.probes = (most * KEPT_FOR_HEDGES).max(1.0);
        self.tokens = self.tokens.min(most);
    }

    /// Earns the share of one first request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.most);
    }

    /// Spends one hedge; returns whether it may be sent.
    pub fn spend_hedge(&mut self) -> bool {
        self.spend(self.hedges)
    }

    /// Spends one probe, which must leave enough in hand for hedges; returns
    /// whether it may be sent.
    pub fn spend_probe(&mut self) -> bool {
        self.spend(self.probes)
    }

    /// Returns whether a retry may be sent.
    #[must_use]
    pub fn can_retry(&self) -> bool {
        self.tokens >= 1.0 - self.reserve
    }

    /// Spends one retry; returns whether it may be sent.
    pub fn spend_retry(&mut self) -> bool {
        self.spend(1.0 - self.reserve)
    }

    fn spend(&mut self, floor: f64) -> bool {
        if self.tokens < floor {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
