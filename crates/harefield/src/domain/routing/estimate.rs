//! Expected latency of a request to an upstream, and which upstreams are deprioritized.

use std::time::Duration;
use std::time::Instant;

use super::upstream_state::UpstreamState;

/// A replica that takes more than this many times as long as another is deprioritized.
const SLOW_FACTOR: f64 = 2.5;

/// The minimum time between probes of a deprioritized replica.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A replica counts as silent when a request to it takes more than this many times the usual
/// time. About one in a hundred requests at the users' sites takes that long without a pause.
const SILENT_FACTOR: f64 = 3.0;

/// The minimum time without a reply after which a replica counts as silent, in seconds; the
/// users' upstreams pause for 150 to 250 ms.
const SILENT_MIN: f64 = 0.06;

/// The minimum time between probes of a replica of a scheduled index: two probes that are answered
/// show within a second that it has recovered.
const SCHEDULED_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a load report stays valid.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(200);

impl UpstreamState {
    /// Returns the expected time of one more request, in seconds; `typical` is used where nothing
    /// was observed yet.
    #[must_use]
    pub fn expected_time(&self, typical: f64, now: Instant) -> f64 {
        let base = self.observed_time(typical).max(self.oldest_age(now) - self.rtt);
        let ahead = f64::from(u32::try_from(self.in_flight()).unwrap_or(u32::MAX));
        let wait = base * ahead / f64::from(self.spec.slots.max(1));
        let once = base * self.reported_factor(now) + wait + self.connect_time() + self.rtt;
        once * self.rejections.cost_factor(now)
    }

    /// Returns the observed time of a request without its round trip, in seconds; `typical` where
    /// nothing was observed yet.
    #[must_use]
    pub fn observed_time(&self, typical: f64) -> f64 {
        self.observed.unwrap_or(typical)
    }

    /// Returns whether it failed or shed load last and hasn't answered since.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        self.probation
    }

    /// Returns whether it ranks behind another replica: it failed last, rejects much more often,
    /// or is much slower, with and without the round trip. A request takes `typical` seconds where
    /// nothing was observed yet.
    #[must_use]
    pub fn ranks_behind(&self, other: &Self, typical: f64, now: Instant) -> bool {
        self.probation || self.rejects_more(other, now) || self.is_slower(other, typical, now)
    }

    /// Returns whether it rejects much more often than another replica. Such a replica isn't
    /// probed: the probe would use up the attempt with which a rejected request is sent again.
    #[must_use]
    pub fn rejects_more(&self, other: &Self, now: Instant) -> bool {
        self.rejections.ranks_behind(&other.rejections, now)
    }

    /// Returns whether it takes much longer than another replica without the round trips, and
    /// longer with them.
    #[must_use]
    pub fn is_slower(&self, other: &Self, typical: f64, now: Instant) -> bool {
        let quick = other.current_time(typical, now);
        let slower = |time: f64| time > quick * SLOW_FACTOR && time + self.rtt > quick + other.rtt;
        self.observed.is_some() && slower(self.current_time(typical, now))
    }

    /// Returns the observed time, or a longer one that the requests in flight show if the upstream
    /// serves a scheduled index.
    pub(super) fn current_time(&self, typical: f64, now: Instant) -> f64 {
        let pending = self.shift.pending(self.starts.iter().min().copied(), now);
        pending.unwrap_or(0.0).max(self.observed_time(typical))
    }

    /// Returns whether a probe is due: no request to it ended for a while, and none is in flight.
    #[must_use]
    pub fn probe_due(&self, now: Instant) -> bool {
        let interval = if self.slots.is_scheduled() { SCHEDULED_PROBE_INTERVAL } else { PROBE_INTERVAL };
        let quiet = self.last_end.is_some_and(|at| now.saturating_duration_since(at) >= interval);
        quiet && self.starts.is_empty()
    }

    /// Returns whether it hasn't answered for so long that it is probably paused or gone: far
    /// longer than its usual time and than the `typical` seconds of such a request.
    #[must_use]
    pub fn is_silent(&self, typical: f64, now: Instant) -> bool {
        let usual = self.observed_time(typical).max(typical);
        self.oldest_age(now) - self.rtt > (usual * SILENT_FACTOR).max(SILENT_MIN)
    }

    /// Returns whether it accepts new work and isn't backed off, cold, on probation or silent;
    /// load and versions aren't considered.
    #[must_use]
    pub fn is_healthy(&self, typical: f64, now: Instant) -> bool {
        let usable = self.accepts_work().is_ok() && !self.is_backed_off(now);
        usable && !self.cold.is_cold(now) && !self.on_probation() && !self.is_silent(typical, now)
    }

    pub(super) fn oldest_age(&self, now: Instant) -> f64 {
        let oldest = self.starts.iter().min();
        oldest.map_or(0.0, |start| now.saturating_duration_since(*start).as_secs_f64())
    }

    /// Returns the factor that the reported queue puts on the observed time. It is at most 2,
    /// since a report may be late or wrong.
    fn reported_factor(&self, now: Instant) -> f64 {
        match self.load {
            Some((load, at)) if now.saturating_duration_since(at) <= LOAD_REPORT_TTL => {
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
