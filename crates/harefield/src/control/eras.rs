//! The eras of the platform: each time that it comes back from a copy of itself, what was
//! held of the era before proves nothing any more, and goes before what the copy lacks.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use rand::Rng;

use super::duty::Control;
use crate::domain::event::Event;
use crate::domain::ids::Era;
use crate::domain::ids::HostId;
use crate::domain::retained::RetainedMark;
use crate::domain::retained::RetainedReport;
use crate::domain::revision::Revision;
use crate::ports::Clock;
use crate::ports::Mark;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::PlatformError;
use crate::ports::Space;

/// For how long a daemon that does not read the platform for others waits for their word
/// of a new era before it lists by itself: at least, and at most. Readers list it once each;
/// of all others, those that have not heard by then list one after the other and tell as they
/// do. With it the last daemon has a change within 3 s of the platform's return; see
/// `docs/PROMISES.md`.
const LIST_DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(500));

/// How often one that waits for a listing looks whether it has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A listing that is being read; it ends with this.
struct ListingGuard<'a>(&'a Cell<bool>);

impl Drop for ListingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Returns the era of what is held of a space; none before the first revision.
    fn era(&self, space: Space) -> Option<Era> {
        match space {
            Space::Config => self.config.borrow().era(),
            Space::Hosts => self.hosts.borrow().revision().map(|revision| revision.era),
        }
    }

    /// Notes that the platform is in an era: what is held of an earlier one proves nothing.
    pub(super) fn record_era(&self, space: Space, era: Era, from: &str) {
        let latest = self.latest_eras.borrow().get(&space).copied();
        if latest >= Some(era) {
            return;
        }
        self.latest_eras.borrow_mut().insert(space, era);
        self.clear_proof(space);
        let held = self.revision(space);
        if held.is_some_and(|held| held.era < era) {
            self.emit(Event::EraHeard { era, held, from: from.to_owned() });
        }
    }

    /// Notes which era a daemon is in, and whether it knows of eras and is behind.
    pub(super) fn record_mark(&self, mark: &Mark, from: &HostId) {
        let Some(revision) = mark.revision else { return };
        self.record_era(mark.space, revision.era, from);
        if mark.retained.is_some() && Some(revision.era) < self.era(mark.space) {
            self.daemons_behind.borrow_mut().insert(Arc::clone(from));
        } else if mark.retained.is_some() {
            self.daemons_behind.borrow_mut().remove(from);
        }
    }

    /// Asks daemons that are behind until they have entered the era too, or do not answer:
    /// what they carry into it is told then. A daemon that starts would else serve by what
    /// the platform's copy has, though it heard of those who know better.
    pub(super) async fn await_laggards(self: &Rc<Self>) {
        loop {
            let behind: Vec<HostId> = self.daemons_behind.borrow().iter().map(Arc::clone).collect();
            if behind.is_empty() {
                return;
            }
            for host in behind {
                if !self.exchange_with(&host).await {
                    self.daemons_behind.borrow_mut().remove(&host);
                }
            }
            self.ports.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Notes which era an answer is of that told nothing else.
    pub(super) fn record_rejection(&self, space: Space, error: &PlatformError) {
        if let PlatformError::Rejected(era) = error {
            self.record_era(space, *era, "platform");
        }
    }

    /// Returns whether a space is held in the latest era that was heard of: one that is
    /// behind vouches for nothing.
    pub(super) fn is_of_era(&self, space: Space, era: Era) -> bool {
        let latest = self.latest_eras.borrow().get(&space).copied().unwrap_or_default();
        era == latest && self.era(space) == Some(era)
    }

    /// Returns whether all that a daemon at a revision has of the platform is held here, in
    /// the same era.
    pub(super) fn holds(&self, space: Space, revision: Revision) -> bool {
        self.is_of_era(space, revision.era) && self.revision(space) >= Some(revision)
    }

    /// Returns whether a daemon with a mark has something that is missing here.
    pub(super) fn is_behind(&self, mark: &Mark) -> bool {
        match mark.space {
            Space::Config => self.config.borrow().is_behind(mark.revision, mark.retained),
            Space::Hosts => mark.revision > self.hosts.borrow().revision(),
        }
    }

    /// Returns how far this daemon is in what is carried on.
    pub(super) fn retained_mark(&self, space: Space) -> Option<RetainedMark> {
        (space == Space::Config).then(|| self.config.borrow().retained_mark())
    }

    /// Joins what another daemon carries on; returns whether that changes what is in force.
    pub(super) fn merge_report(&self, retained: RetainedReport) -> bool {
        let retained = retained.into_retained(self.ports.clock.now());
        self.config.borrow_mut().merge_retained(&retained)
    }

    /// Lists a space that is in a new era, unless it is told meanwhile.
    pub(super) async fn enter_era(
        self: &Rc<Self>,
        replica: std::net::SocketAddr,
        space: Space,
        era: Era,
    ) -> Result<(), PlatformError> {
        self.record_era(space, era, "platform");
        if !self.is_reader() {
            let (least, most) = LIST_DELAY;
            let pause = rand::rng().random_range(least..most);
            self.ports.clock.sleep(pause).await;
        }
        while self.listing.get() {
            self.ports.clock.sleep(POLL_INTERVAL).await;
        }
        if self.era(space) >= Some(era) {
            return Ok(());
        }
        self.listing.set(true);
        let _guard = ListingGuard(&self.listing);
        self.list(replica, space).await
    }

    /// Drops what is carried on and has had its time.
    pub(super) fn expire_retained(&self) {
        let now = self.ports.clock.now();
        let gone = self.config.borrow_mut().expire(now, self.settings.retention);
        for key in gone {
            let upstream = key.strip_prefix("upstreams/").unwrap_or(&key);
            self.recently_removed.borrow_mut().forget(upstream);
        }
    }

    /// Tells the workers when what is carried on has had its time.
    pub(super) fn schedule_expiry(self: &Rc<Self>) {
        let next = self.config.borrow().next_expiry(self.settings.retention);
        let Some(until) = next.filter(|_| !self.expiry_pending.replace(true)) else { return };
        let this = Rc::clone(self);
        let wait = async move {
            this.ports.clock.sleep_until(until).await;
            this.expiry_pending.set(false);
            this.expire_retained();
            this.publish();
        };
        self.executor.spawn(wait).detach();
    }

    /// Says what is carried on where an era was just entered, and why it cannot be in force.
    pub(super) fn report_retained(&self) {
        let config = self.config.borrow();
        if let Some(retained) = config.retained().filter(|retained| retained.entered_at.is_none()) {
            let (kept, doubted) = (retained.values.len(), retained.departed.len());
            self.emit(Event::CarriedOn { era: retained.era, kept, doubted });
        }
        for fault in config.conflicts() {
            warn!("what is carried on is left out: {} {}: {}", fault.code, fault.key, fault.detail);
        }
    }
}
