//! What a request to an upstream is expected to take, and which upstreams are
//! passed over.

use std::time::Duration;
use std::time::Instant;

use super::upstream_state::UpstreamState;

/// A replica that takes this many times as long as another is passed over.
const PASSED_OVER: f64 = 2.5;

/// The least time between probes of a replica that is passed over.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// A request that is out for this many times its usual time shows a pause: of
/// the users' requests one in some hundred takes as long by itself.
const SILENT_FACTOR: f64 = 3.0;

/// The least time that shows a pause, in seconds; the users' searchers pause for
/// 150 to 250 ms.
const SILENT_LEAST: f64 = 0.06;

/// How long a load report counts.
const REPORT_LIFE: Duration = Duration::from_millis(200);

impl UpstreamState {
    /// Returns the expected time of one more request, in seconds; `typical`
    /// stands in for what was not observed or is long past.
    #[must_use]
    pub fn expected_time(&self, typical: f64, now: Instant) -> f64 {
        let base = self.observed_time(typical).max(self.oldest_age(now) - self.rtt);
        let ahead = f64::from(u32::try_from(self.in_flight()).unwrap_or(u32::MAX));
        let wait = base * ahead / f64::from(self.spec.slots.max(1));
        let once = base * self.reported_factor(now) + wait + self.connect_time() + self.rtt;
        once * self.rejections.cost_factor(now)
    }

    /// Returns the observed time of a request, in seconds; `typical` where
    /// nothing was observed yet.
    #[must_use]
    pub fn observed_time(&self, typical: f64) -> f64 {
        self.observed.unwrap_or(typical)
    }

    /// Returns whether it failed or shed last, and has not answered since.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        self.probation
    }

    /// Returns whether it is passed over beside another replica: it failed last,
    /// rejects much more often, or takes much longer by itself and longer with the way. A
    /// request takes `typical` seconds where nothing was observed yet.
    #[must_use]
    pub fn ranks_behind(&self, other: &Self, typical: f64, now: Instant) -> bool {
        self.probation || self.rejects_more(other, now) || self.is_slower(other, typical)
    }

    /// Returns whether it rejects much more often than another replica. It is not probed for
    /// that: a probe would take the attempt that a rejected request is sent again with.
    #[must_use]
    pub fn rejects_more(&self, other: &Self, now: Instant) -> bool {
        self.rejections.ranks_behind(&other.rejections, now)
    }

    /// Returns whether it takes much longer than another replica by itself, and
    /// longer with the way.
    #[must_use]
    pub fn is_slower(&self, other: &Self, typical: f64) -> bool {
        let quick = other.observed_time(typical);
        let slower = |own: f64| own > quick * PASSED_OVER && own + self.rtt > quick + other.rtt;
        self.observed.is_some_and(slower)
    }

    /// Returns whether nothing was heard of it for a while, so that a probe may
    /// look how it does now.
    #[must_use]
    pub fn probe_due(&self, now: Instant) -> bool {
        let quiet = self.last_end.is_some_and(|at| now.saturating_duration_since(at) >= PROBE_EVERY);
        quiet && self.starts.is_empty()
    }

    /// Returns whether it has not answered for so long that it must be paused
    /// or gone: beyond any usual time of a request, which takes `typical`
    /// seconds.
    #[must_use]
    pub fn is_silent(&self, typical: f64, now: Instant) -> bool {
        let usual = self.observed_time(typical).max(typical);
        self.oldest_age(now) - self.rtt > (usual * SILENT_FACTOR).max(SILENT_LEAST)
    }

    /// Returns whether it takes new work and nothing speaks against it, load and
    /// versions aside: no failure last, and no silence beyond any usual time.
    #[must_use]
    pub fn is_healthy(&self, typical: f64, now: Instant) -> bool {
        let usable = self.accepts_work().is_ok() && !self.is_backed_off(now);
        usable && !self.cold.is_cold(now) && !self.on_probation() && !self.is_silent(typical, now)
    }

    fn oldest_age(&self, now: Instant) -> f64 {
        let oldest = self.starts.iter().min();
        oldest.map_or(0.0, |start| now.saturating_duration_since(*start).as_secs_f64())
    }

    /// A report can at most double what own requests showed: it may lag or lie.
    fn reported_factor(&self, now: Instant) -> f64 {
        match self.load {
            Some((load, at)) if now.saturating_duration_since(at) <= REPORT_LIFE => {
                let per_slot = f64::from(load.queued) / f64::from(self.spec.slots.max(1));
                1.0 + per_slot.min(1.0)
            }
            _ => 1.0,
        }
    }

    fn connect_time(&self) -> f64 {
        if self.idle > 0 { 0.0 } else { f64::from(self.spec.connect_ms) / 1000.0 }
    }
}
