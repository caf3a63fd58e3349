//! When a daemon's shards are taken by others although the members show it as live.

use std::time::Duration;
use std::time::Instant;

use crate::domain::backoff::backoff;

/// The first backoff of a carrier. While some daemons back it off and others don't, two carriers
/// send to the same replicas; a crash is seen by the members within some 150 ms.
const BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff of a carrier.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The backoff of one daemon as a carrier.
///
/// It is shorter than that of other groups, and a group counts as lost only if nothing that was
/// sent to the daemon since was answered: under load, groups are overdue because requests wait in
/// the carrier's queues, and moving its shards would add another sender to the same replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct CarrierBackoff {
    answered_at: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
}

impl CarrierBackoff {
    /// Records that the daemon answered a group.
    pub(super) fn record_answer(&mut self, now: Instant) {
        *self = Self { answered_at: Some(now), ..Self::default() };
    }

    /// Records that the group sent at `sent` was not answered.
    pub(super) fn record_silence(&mut self, sent: Instant, now: Instant) {
        if self.answered_at.is_none_or(|at| at < sent) {
            self.back_off(now);
        }
    }

    /// Records that the daemon declined a group.
    pub(super) fn record_decline(&mut self, now: Instant) {
        self.back_off(now);
    }

    /// Returns whether a group may be sent to the daemon, with `outstanding` groups in flight. After
    /// a backoff a single one is sent until one is answered.
    pub(super) fn allows(&self, outstanding: usize, now: Instant) -> bool {
        self.is_over(now) && (self.failures == 0 || outstanding == 0)
    }

    /// Returns whether the daemon has answered a group since `since`.
    pub(super) fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }

    fn is_over(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| now >= at)
    }

    /// Starts a backoff. Further groups that end during one were sent before it, and count as the
    /// same failure.
    fn back_off(&mut self, now: Instant) {
        if self.is_over(now) {
            self.retry_at = Some(now + backoff(BACKOFF, self.failures, MAX_BACKOFF));
            self.failures = self.failures.saturating_add(1);
        }
    }
}
