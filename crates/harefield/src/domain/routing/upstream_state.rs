//! The state of one upstream at one worker, and whether requests may be sent to it.
//!
//! `learning` updates the state from finished requests, `estimate` predicts the time of the
//! next one.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::latency_shift::LatencyShift;
use super::rejections::Rejections;
use super::report::Exclusion;
use super::report::ExclusionEnd;
use super::report::Load;
use super::slots::SlotLimit;
use super::window::Window;
use crate::domain::announcement::Announcement;
use crate::domain::cold::ColdPeriod;
use crate::domain::ids::Version;
use crate::domain::outcome::Gap;
use crate::domain::resources::Upstream;
use crate::domain::topology::Distance;

/// The state of one upstream at one worker.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    pub(super) spec: Arc<Upstream>,
    pub(super) share: u32,
    pub(super) window: Window,
    pub(super) starts: Vec<Instant>,
    pub(super) observed: Option<f64>,
    pub(super) best: Option<f64>,
    pub(super) load: Option<(Load, Instant)>,
    pub(super) last_end: Option<Instant>,
    pub(super) last_sent: Option<Instant>,
    pub(super) probation: bool,
    pub(super) rtt: f64,
    pub(super) distance: Distance,
    pub(super) announcement: Announcement,
    pub(super) listed_leaving: bool,
    /// When this daemon left the last cell of the upstream; `None` while it is in one.
    pub(super) left_at: Option<Instant>,
    pub(super) evacuated: bool,
    pub(super) cold: ColdPeriod,
    pub(super) shed_until: Option<Instant>,
    pub(super) failures: u32,
    pub(super) rejections: Rejections,
    pub(super) retry_at: Option<Instant>,
    pub(super) idle: usize,
    pub(super) slots: SlotLimit,
    pub(super) shift: LatencyShift,
}

impl UpstreamState {
    /// Creates the state of an upstream without any observations. `sharers` members share its
    /// slots; `share` is this member's share of its connections.
    #[must_use]
    pub fn new(spec: Arc<Upstream>, sharers: u32, share: u32) -> Self {
        let window = Window::new(spec.slots, sharers, share);
        Self {
            spec,
            share,
            window,
            starts: Vec::new(),
            observed: None,
            best: None,
            load: None,
            last_end: None,
            last_sent: None,
            probation: false,
            rtt: 0.0,
            distance: Distance::Near,
            announcement: Announcement::default(),
            listed_leaving: false,
            left_at: None,
            evacuated: false,
            cold: ColdPeriod::default(),
            shed_until: None,
            failures: 0,
            rejections: Rejections::default(),
            retry_at: None,
            idle: 0,
            slots: SlotLimit::default(),
            shift: LatencyShift::default(),
        }
    }

    /// Starts the cold period that the specification reports.
    #[must_use]
    pub(super) fn with_cold(mut self, now: Instant) -> Self {
        self.cold.record_cold(Duration::from_millis(self.spec.cold_ms), now);
        self
    }

    /// Sets a new specification or share of the connections. A new address or incarnation of the
    /// upstream resets the state.
    ///
    /// Otherwise an upstream that crashed and restarted under its name would stay backed off for
    /// the failures of its former incarnation, up to 4 s, and be judged by that one's latency.
    pub fn update(&mut self, spec: &Arc<Upstream>, share: u32, now: Instant) {
        if !self.same_incarnation(spec) {
            let before = std::mem::take(&mut self.cold);
            *self = Self { cold: before, ..Self::new(Arc::clone(spec), 1, share) };
            // Its entry may have been written before it restarted, and report it as warm.
            self.cold.assume_cold(now);
            return;
        }
        if spec.cold_ms != self.spec.cold_ms {
            self.cold.record_cold(Duration::from_millis(spec.cold_ms), now);
        }
        self.spec = Arc::clone(spec);
        self.share = share;
        self.window.resize(self.share);
    }

    /// Sets the distance of the upstream. It is stored since it is read for each replica of each
    /// shard: 180 shards are sorted into groups in 93 µs with it, and in 105 µs when it is computed
    /// each time.
    pub fn set_distance(&mut self, distance: Distance) {
        self.distance = distance;
    }

    /// Returns the configured specification of the upstream.
    #[must_use]
    pub fn spec(&self) -> &Upstream {
        &self.spec
    }

    /// Returns how many connections this member may have open.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns what the upstream last announced of itself.
    #[must_use]
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns how many requests of this worker are in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.starts.len()
    }

    /// Returns the adaptive limit on the requests in flight.
    #[must_use]
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Records that this daemon is in a cell that may send to the upstream.
    pub(super) fn join_cell(&mut self) {
        self.left_at = None;
    }

    /// Records that this daemon isn't in any cell that may send to the upstream any more.
    pub(super) fn leave_cell(&mut self, now: Instant) {
        self.left_at.get_or_insert(now);
    }

    /// Returns whether this daemon is in a cell of the upstream or left it less than `time` ago.
    pub(super) fn left_within(&self, time: Duration, now: Instant) -> bool {
        self.left_at.is_none_or(|at| now.saturating_duration_since(at) < time)
    }

    /// Returns whether a specification is of the same address and incarnation of the upstream.
    pub(super) fn same_incarnation(&self, spec: &Upstream) -> bool {
        spec.address == self.spec.address && spec.born == self.spec.born
    }

    /// Sets whether the platform lists the upstream as leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Sets whether its availability zone is evacuated. When an evacuation ends, the upstream is
    /// assumed to be cold, since it got no requests meanwhile.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Instant) {
        if self.evacuated && !evacuated {
            self.cold.assume_cold(now);
        }
        self.evacuated = evacuated;
    }

    /// Merges an announcement of the upstream, received directly or through a peer; returns
    /// whether it was new.
    pub fn merge_announcement(&mut self, announcement: &Announcement) -> bool {
        self.announcement.merge(announcement)
    }

    /// Sets how many idle connections to the upstream are open.
    pub fn set_idle(&mut self, idle: usize) {
        self.idle = idle;
    }

    /// Returns whether the upstream takes no new work, as listed or by its own announcement.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.announcement.draining
    }

    /// Checks that new work may be sent to the upstream; load and versions aren't considered.
    ///
    /// # Errors
    ///
    /// Returns why not, as the gap in the answer.
    pub fn accepts_work(&self) -> Result<(), Gap> {
        if self.is_leaving() {
            return Err(Gap::Leaving);
        }
        if self.evacuated { Err(Gap::Evacuated) } else { Ok(()) }
    }

    /// Checks that a request for `version` may be sent now; `scheduled` tells whether its index is
    /// scheduled.
    ///
    /// # Errors
    ///
    /// Returns why not, and when that ends.
    pub fn check_available(&self, version: Version, scheduled: bool, now: Instant) -> Result<(), Exclusion> {
        self.may_serve(version).map_err(|gap| Exclusion { gap, until: ExclusionEnd::Never })?;
        if let Some(at) = self.retry_at.filter(|at| now < *at) {
            return Err(Exclusion { gap: Gap::Unreachable, until: ExclusionEnd::At(at) });
        }
        if let Some(at) = self.shed_until.filter(|at| now < *at) {
            return Err(Exclusion { gap: Gap::Overloaded, until: ExclusionEnd::At(at) });
        }
        if let Some(at) = self.cold.excluded_until(now) {
            return Err(Exclusion { gap: Gap::Cold, until: ExclusionEnd::At(at) });
        }
        if !self.window.has_room(self.in_flight()) {
            return Err(Exclusion { gap: Gap::Overloaded, until: ExclusionEnd::Soon });
        }
        if scheduled { self.check_slots() } else { Ok(()) }
    }

    /// Returns whether the upstream is backed off after failures.
    #[must_use]
    pub fn is_backed_off(&self, now: Instant) -> bool {
        self.retry_at.is_some_and(|at| now < at)
    }

    /// Checks that the upstream may serve `version`; its load isn't considered.
    ///
    /// # Errors
    ///
    /// Returns why not, as the gap in the answer.
    pub fn may_serve(&self, version: Version) -> Result<(), Gap> {
        self.accepts_work()?;
        if !self.announcement.may_hold(version) {
            return Err(Gap::SnapshotMissing);
        }
        Ok(())
    }

    /// Records that a request is sent at `now`.
    pub fn begin(&mut self, now: Instant) {
        self.starts.push(now);
        self.cold.record_send(now);
        self.last_sent = Some(now);
    }

    /// Sets the round-trip time, in seconds. It is subtracted from the time of replies, so that
    /// the observed time is the upstream's own.
    pub fn set_rtt(&mut self, rtt: f64) {
        self.rtt = rtt;
    }
}
