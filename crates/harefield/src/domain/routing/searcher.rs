//! What one worker knows of one upstream, and whether it may be asked.
//!
//! How ended requests change that stands in `learning`, what the next request is
//! expected to take in `estimate`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::rejections::Rejections;
use super::report::Bar;
use super::report::Load;
use super::report::Until;
use super::window::Window;
use crate::domain::announcement::Announcement;
use crate::domain::cold::Spell;
use crate::domain::ids::Version;
use crate::domain::outcome::Gap;
use crate::domain::resources::Upstream;
use crate::domain::topology::Distance;

/// One upstream, as one worker sees it.
#[derive(Clone, Debug)]
pub struct Searcher {
    pub(super) spec: Arc<Upstream>,
    pub(super) share: u32,
    pub(super) window: Window,
    pub(super) starts: Vec<Instant>,
    pub(super) observed: Option<f64>,
    pub(super) best: Option<f64>,
    pub(super) load: Option<(Load, Instant)>,
    pub(super) heard: Option<Instant>,
    pub(super) asked: Option<Instant>,
    pub(super) probation: bool,
    pub(super) way: f64,
    pub(super) distance: Distance,
    pub(super) word: Announcement,
    pub(super) listed: bool,
    /// When this daemon left the last cell of the upstream; none while it is in one.
    pub(super) left: Option<Instant>,
    pub(super) evacuated: bool,
    pub(super) cold: Spell,
    pub(super) shed: Option<Instant>,
    pub(super) failures: u32,
    pub(super) rejections: Rejections,
    pub(super) retry: Option<Instant>,
    pub(super) idle: usize,
}

impl Searcher {
    /// Creates the state of an upstream that nothing is known of yet.
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
            heard: None,
            asked: None,
            probation: false,
            way: 0.0,
            distance: Distance::Near,
            word: Announcement::default(),
            listed: false,
            left: None,
            evacuated: false,
            cold: Spell::default(),
            shed: None,
            failures: 0,
            rejections: Rejections::default(),
            retry: None,
            idle: 0,
        }
    }

    /// Takes what its specification says of a cold spell.
    #[must_use]
    pub(super) fn told(mut self, now: Instant) -> Self {
        self.cold.hear(Duration::from_millis(self.spec.cold_ms), now);
        self
    }

    /// Takes a new specification or share of the connections; a new address or start of the
    /// upstream starts afresh.
    ///
    /// One that crashed and came back under its name would be left alone for as long as the
    /// failures of the former one ask for, up to 4 s, and be judged by its times.
    pub fn update(&mut self, spec: &Arc<Upstream>, share: u32, now: Instant) {
        if !self.is_same(spec) {
            let before = std::mem::take(&mut self.cold);
            *self = Self { cold: before, ..Self::new(Arc::clone(spec), 1, share) };
            // Its entry may be of before its start, and say that it is warm.
            self.cold.suspect(now);
            return;
        }
        if spec.cold_ms != self.spec.cold_ms {
            self.cold.hear(Duration::from_millis(spec.cold_ms), now);
        }
        self.spec = Arc::clone(spec);
        self.share = share;
        self.window.resize(self.share);
    }

    /// Takes how far it is, which is looked at for each replica of each shard: 180 shards
    /// are sorted into groups in 93 µs, in place of 105 where it is worked out anew.
    pub fn place(&mut self, distance: Distance) {
        self.distance = distance;
    }

    /// Returns the specification.
    #[must_use]
    pub fn spec(&self) -> &Upstream {
        &self.spec
    }

    /// Returns how many connections this member may have open.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns the upstream's own word.
    #[must_use]
    pub fn word(&self) -> &Announcement {
        &self.word
    }

    /// Returns how many requests are under way.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.starts.len()
    }

    /// Returns the adaptive limit.
    #[must_use]
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Takes that this daemon is in a cell that may ask the upstream.
    pub(super) fn join_cell(&mut self) {
        self.left = None;
    }

    /// Takes that this daemon is in no cell any more that may ask the upstream.
    pub(super) fn leave_cell(&mut self, now: Instant) {
        self.left.get_or_insert(now);
    }

    /// Says whether this daemon left the upstream's cell less than `time` ago, or not yet.
    pub(super) fn left_within(&self, time: Duration, now: Instant) -> bool {
        self.left.is_none_or(|at| now.saturating_duration_since(at) < time)
    }

    /// Says whether a specification is of the same start of the upstream.
    pub(super) fn is_same(&self, spec: &Upstream) -> bool {
        spec.address == self.spec.address && spec.born == self.spec.born
    }

    /// Takes whether the platform lists the host as leaving.
    pub fn list(&mut self, leaving: bool) {
        self.listed = leaving;
    }

    /// Takes whether its availability zone is evacuated; when that is taken back, it may have
    /// turned cold meanwhile.
    pub fn evacuate(&mut self, evacuated: bool, now: Instant) {
        if self.evacuated && !evacuated {
            self.cold.suspect(now);
        }
        self.evacuated = evacuated;
    }

    /// Takes the upstream's word, heard directly or through a peer.
    pub fn hear(&mut self, word: &Announcement) -> bool {
        self.word.merge(word)
    }

    /// Takes how many idle connections are open.
    pub fn set_idle(&mut self, idle: usize) {
        self.idle = idle;
    }

    /// Returns whether the upstream takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.listed || self.word.draining
    }

    /// Returns whether new work may be sent to it, load and versions aside.
    ///
    /// # Errors
    ///
    /// Returns why not, as the gap it would leave.
    pub fn takes_work(&self) -> Result<(), Gap> {
        if self.is_leaving() {
            return Err(Gap::Leaving);
        }
        if self.evacuated { Err(Gap::Evacuated) } else { Ok(()) }
    }

    /// Says whether a request may be sent for `version`, or why not.
    ///
    /// # Errors
    ///
    /// Returns the reason, and until when it holds.
    pub fn admits(&self, version: Version, now: Instant) -> Result<(), Bar> {
        self.may_serve(version).map_err(|gap| Bar { gap, until: Until::Never })?;
        if let Some(at) = self.retry.filter(|at| now < *at) {
            return Err(Bar { gap: Gap::Unreachable, until: Until::At(at) });
        }
        if let Some(at) = self.shed.filter(|at| now < *at) {
            return Err(Bar { gap: Gap::Overloaded, until: Until::At(at) });
        }
        if let Some(at) = self.cold.barred_until(now) {
            return Err(Bar { gap: Gap::Cold, until: Until::At(at) });
        }
        if !self.window.has_room(self.under_way()) {
            return Err(Bar { gap: Gap::Overloaded, until: Until::Soon });
        }
        Ok(())
    }

    /// Returns whether it is left alone for a while after failures.
    #[must_use]
    pub fn is_backed_off(&self, now: Instant) -> bool {
        self.retry.is_some_and(|at| now < at)
    }

    /// Says whether the upstream could serve `version` at all, load aside.
    ///
    /// # Errors
    ///
    /// Returns the reason as the gap it would leave.
    pub fn may_serve(&self, version: Version) -> Result<(), Gap> {
        self.takes_work()?;
        if !self.word.may_hold(version) {
            return Err(Gap::SnapshotMissing);
        }
        Ok(())
    }

    /// Notes that a request leaves at `now`.
    pub fn begin(&mut self, now: Instant) {
        self.starts.push(now);
        self.cold.send(now);
        self.asked = Some(now);
    }

    /// Takes how long a request and its reply travel, in seconds: it is taken
    /// off their time, so that what is observed is the upstream's own time.
    pub fn set_way(&mut self, way: f64) {
        self.way = way;
    }
}
