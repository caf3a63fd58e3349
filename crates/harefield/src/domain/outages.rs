//! Outages of the platform, as the proofs of freshness of the whole fleet show them.
//!
//! What counts is the time in which the platform answered nobody. How many entries disappear proves
//! nothing, and a call of this daemon that fails proves no more than that it may have been away since
//! the last proof.

use std::time::Duration;
use std::time::Instant;

/// How long entries may be missing after the platform has recovered: the users' upstreams register
/// again within some 2 s.
pub const GRACE: Duration = Duration::from_millis(2200);

/// An entry disappears once three writes are missing, so that an outage ends none unless it spans
/// this many heartbeat intervals.
const LAPSE_BEATS: u32 = 2;

/// Without an outage, a proof is renewed before it is older than this share of the deadline for
/// applying a change, with time left for a round of queries that goes unanswered.
const CERTAIN_SHARE: f64 = 0.8;

/// The part of the deadline for applying a removal that is left for a request on its way to the
/// upstream.
const SEND_TIME: Duration = Duration::from_millis(200);

/// The lengths that tell outages apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageTimes {
    /// The shortest outage that ends entries.
    lapse: Duration,
    /// The shortest time without proofs that only an outage explains.
    certain: Duration,
    /// How long an upstream may be used after a proof that precedes its removal.
    usable: Duration,
}

impl OutageTimes {
    /// Returns the times for upstreams that write once per `heartbeat`, and removals that are to be
    /// applied within `deadline`.
    #[must_use]
    pub fn new(heartbeat: Duration, deadline: Duration) -> Self {
        let lapse = heartbeat * LAPSE_BEATS;
        Self {
            lapse,
            certain: deadline.mul_f64(CERTAIN_SHARE).max(lapse),
            usable: deadline.saturating_sub(SEND_TIME),
        }
    }
}

/// Whether entries that are missing may have been ended by an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// The platform was available all the time.
    Excluded,
    /// It may have been away for long enough. No entry is in use after this time, so that the
    /// promise on upstreams that leave holds if it was not away.
    Possible(Instant),
    /// A call of this daemon failed, and the platform may have answered nobody since. The time is
    /// limited as in `Possible`.
    Suspected(Instant),
    /// It was away. Entries that are still missing at this time belong to upstreams that are gone.
    Certain(Instant),
}

/// A time without proofs that was longer than an outage must be to end entries.
#[derive(Clone, Copy, Debug)]
struct Gap {
    length: Duration,
    /// When the first proof after it was handled.
    ended: Instant,
}

/// The outages of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Outages {
    times: OutageTimes,
    proven: Option<Instant>,
    last: Option<Gap>,
    /// Since when calls of this daemon fail, with no proof since.
    failing: Option<Instant>,
    /// When the first proof after such failures was handled.
    recovered: Option<Instant>,
}

impl Outages {
    /// Creates a history without outages.
    #[must_use]
    pub fn new(times: OutageTimes) -> Self {
        Self { times, proven: None, last: None, failing: None, recovered: None }
    }

    /// Records a proof, handled at `now`, that the platform answered a query sent at `at`.
    pub fn record_proof(&mut self, at: Instant, now: Instant) {
        if let Some(length) = self.time_unanswered(now).filter(|length| *length >= self.times.lapse) {
            self.last = Some(Gap { length, ended: now });
        }
        self.proven = self.proven.max(Some(at));
        if self.failing.is_some_and(|since| at > since) {
            self.failing = None;
            self.recovered = Some(now);
        }
    }

    /// Records that a call of this daemon was not answered, or refused.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing.get_or_insert(now);
    }

    /// Returns whether entries that are found missing at `now` may have been ended by an outage. What
    /// was read with them must not be recorded as a proof before.
    #[must_use]
    pub fn lapse(&self, now: Instant) -> Lapse {
        let Some(proven) = self.proven else { return Lapse::Excluded };
        let current = self.time_unanswered(now).map(|length| Gap { length, ended: now });
        let gaps = current.into_iter().chain(self.last);
        let last_end = |length: Duration| {
            let long = gaps.clone().filter(|gap| gap.length >= length);
            long.map(|gap| gap.ended + GRACE).filter(|until| now < *until).max()
        };
        if let Some(until) = last_end(self.times.certain) {
            return Lapse::Certain(until);
        }
        let usable = proven + self.times.usable;
        let suspected = self.failing.map_or(self.recovered, |_| Some(now)).map(|end| end + GRACE);
        if let Some(until) = suspected.filter(|until| now < *until) {
            return Lapse::Suspected(until.min(usable));
        }
        last_end(self.times.lapse).map_or(Lapse::Excluded, |until| Lapse::Possible(until.min(usable)))
    }

    /// Returns for how long the platform may have answered nobody. A proof that is old when it is
    /// handled shows no answer since: its query may have been sent before an outage.
    fn time_unanswered(&self, now: Instant) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_duration_since(proven))
    }
}
