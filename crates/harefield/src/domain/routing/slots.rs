//! Limits on the requests in flight at the replicas of a scheduled index, and the choice between
//! near and far replicas under these limits.
//!
//! The load pattern: a replica with two slots and a queue of twelve received requests from up to
//! eighteen daemons that were unaware of each other. Requests that are already at a replica can no
//! longer be reordered or moved, so they wait at this daemon instead.

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::choice::ChoiceRequest;
use super::latency_shift::LatencyShift;
use super::report::Exclusion;
use super::report::ExclusionEnd;
use super::router::LocalDaemon;
use super::router::Router;
use super::upstream_state::UpstreamState;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::topology::Distance;
use crate::domain::view::View;

/// The limit of a daemon at a replica in another region. One request in flight over a round trip of
/// 17 ms would leave a slot idle for as long as the shorter works take; with more, the regions
/// together would queue more at a replica than its own region can reorder.
const FAR_LIMIT: u32 = 2;

/// A worker's limit on the requests of scheduled indexes in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SlotLimit {
    /// The limit; `None` if the upstream serves no scheduled index.
    limit: Option<u32>,
    /// The worker's part of the upstream's slots, whatever its region.
    part: u32,
}

impl SlotLimit {
    /// Returns the limit of a worker. The parts of a daemon's workers add up to the daemon's limit.
    fn new(name: &UpstreamId, state: &UpstreamState, local: &LocalDaemon) -> Self {
        let slots = state.spec.slots.max(1);
        let most = if state.distance == Distance::Far { FAR_LIMIT.min(slots) } else { slots };
        Self { limit: Some(worker_part(name, most, local)), part: worker_part(name, slots, local) }
    }

    /// Returns whether the upstream serves a scheduled index.
    pub fn is_scheduled(self) -> bool {
        self.limit.is_some()
    }
}

/// Returns the part of a worker in a daemon's limit. The worker that the remainder starts at
/// differs by upstream, so that each worker may send to some upstreams.
fn worker_part(name: &UpstreamId, most: u32, local: &LocalDaemon) -> u32 {
    let workers = local.workers.max(1);
    let first = u32::try_from(xxh3_64(name.as_bytes()) % u64::from(workers)).unwrap_or(0);
    let turn = (local.worker % workers + workers - first) % workers;
    most / workers + u32::from(turn < most % workers)
}

impl UpstreamState {
    /// Returns the requests of scheduled indexes that this worker may have in flight at the
    /// upstream; `None` if it serves no scheduled index.
    #[must_use]
    pub fn slot_limit(&self) -> Option<u32> {
        self.slots.limit
    }

    /// Checks that a slot is free for a request of a scheduled index.
    ///
    /// # Errors
    ///
    /// Returns that the upstream is overloaded: until a request in flight ends, or always if this
    /// worker has no part of the slots.
    pub(super) fn check_slots(&self) -> Result<(), Exclusion> {
        let limit = usize::try_from(self.slots.limit.unwrap_or(0)).unwrap_or(usize::MAX);
        if self.in_flight() < limit {
            return Ok(());
        }
        let until = if limit == 0 { ExclusionEnd::Never } else { ExclusionEnd::Soon };
        Err(Exclusion { gap: Gap::Overloaded, until })
    }

    /// Returns how long a request waits for a slot, in seconds, behind the requests in flight and
    /// `ahead` others. It is at least the age of the oldest request in flight: a paused replica is
    /// detected after that time.
    fn slot_wait(&self, ahead: u32, typical: f64, now: Instant) -> f64 {
        let limit = f64::from(self.slots.limit.unwrap_or(0)).min(self.window.size().floor()).max(1.0);
        let before = f64::from(u32::try_from(self.in_flight()).unwrap_or(u32::MAX)) + f64::from(ahead);
        (before / limit * self.current_time(typical, now)).max(self.oldest_age(now))
    }
}

impl Router {
    /// Sets the limits of the upstreams of all scheduled indexes. Those of others are no longer
    /// judged by a few replies, so the run of these is dropped.
    pub(super) fn apply_slots(&mut self, view: &View) {
        for state in self.upstreams.values_mut() {
            state.slots = SlotLimit::default();
        }
        for plan in view.plans() {
            if !self.scheduling.covers(&plan.index) {
                continue;
            }
            for name in plan.shards.iter().flat_map(|shard| &shard.replicas) {
                if let Some(state) = self.upstreams.get_mut(name) {
                    state.slots = SlotLimit::new(name, state, &self.local);
                }
            }
        }
        for state in self.upstreams.values_mut().filter(|state| !state.slots.is_scheduled()) {
            state.shift = LatencyShift::default();
        }
    }

    /// Returns whether a request of a scheduled index waits for a replica without a free slot rather
    /// than being sent to `best`, the best one of those with a free slot: for a nearer one, or for
    /// one that is much better, where it is expected to end sooner.
    pub(super) fn waits_for_slot(
        &self,
        request: &ChoiceRequest<'_>,
        best: &UpstreamId,
        (typical, now): (f64, Instant),
    ) -> bool {
        let Some(chosen) = self.upstreams.get(best) else { return false };
        let sent =
            chosen.current_time(typical, now).max(chosen.oldest_age(now) - chosen.rtt) + self.rtt(chosen);
        let avoided = chosen.is_silent(typical, now) || chosen.cold.is_cold(now);
        let mut full = request.untried().filter(|name| *name != best).filter_map(|n| self.upstreams.get(n));
        full.any(|s| {
            let only_full = Exclusion { gap: Gap::Overloaded, until: ExclusionEnd::Soon };
            let preferred = s.distance < chosen.distance || avoided || chosen.ranks_behind(s, typical, now);
            preferred
                && s.check_available(request.version, request.scheduled, now) == Err(only_full)
                && !s.is_silent(typical, now)
                && !s.cold.is_cold(now)
                && !s.ranks_behind(chosen, typical, now)
                && s.slot_wait(request.ahead, typical, now) + s.current_time(typical, now) + self.rtt(s)
                    <= sent
        })
    }

    /// Returns whether under half of the slots of a shard's replicas are in use by this worker.
    pub(super) fn has_spare_slots(&self, request: &ChoiceRequest<'_>) -> bool {
        let known = || request.replicas.iter().filter_map(|name| self.upstreams.get(name));
        let used: usize = known().map(UpstreamState::in_flight).sum();
        let slots: usize = known().map(|s| usize::try_from(s.slots.part).unwrap_or(usize::MAX)).sum();
        used.saturating_mul(2) < slots
    }
}
