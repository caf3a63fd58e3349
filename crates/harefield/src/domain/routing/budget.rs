//! One budget for all extra load: hedges and retries.

/// The most that unspent earnings add up to, in requests.
const MOST: f64 = 64.0;

/// What probes leave in hand for hedges, in requests.
const PROBE_FLOOR: f64 = 8.0;

/// How far retries may overdraw the budget, in requests.
const RESERVE: f64 = 256.0;

/// Earns a share of every first request and spends it on extra ones.
///
/// A hedge needs earnings in hand. A retry replaces work that is known to have
/// failed, so it may overdraw the budget down to a reserve, which hedges then
/// have to earn back.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a budget that earns `share` of a request with every first one.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share, tokens: MOST / 4.0 }
    }

    /// Earns the share of one first request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(MOST);
    }

    /// Spends one hedge; returns whether it may be sent.
    pub fn spend_hedge(&mut self) -> bool {
        self.spend(1.0)
    }

    /// Spends one probe, which must leave enough in hand for hedges; returns
    /// whether it may be sent.
    pub fn spend_probe(&mut self) -> bool {
        self.spend(PROBE_FLOOR)
    }

    /// Spends one retry; returns whether it may be sent.
    pub fn spend_retry(&mut self) -> bool {
        self.spend(1.0 - RESERVE)
    }

    fn spend(&mut self, floor: f64) -> bool {
        if self.tokens < floor {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
