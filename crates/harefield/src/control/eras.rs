//! Eras of the platform. Each time that the platform is restored from a backup copy of itself, a
//! new era begins: data of the era before proves nothing any more, but takes precedence over a copy
//! that lacks it.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use rand::Rng;

use super::duty::Control;
use super::publish::ViewCause;
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

/// How long a daemon that is not a reader waits for updates of a new era before it lists the space
/// itself, at least and at most. Each reader lists it once. Of the others, those that have received
/// nothing by then list it one after the other and pass it on. With this delay the last daemon has
/// a change within 3 s of the platform's recovery; see `docs/PROMISES.md`.
const LIST_DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(500));

/// How often a task checks whether a listing in progress has ended, or daemons that are behind have
/// caught up.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Marks a listing as in progress until it is dropped.
struct ListingGuard<'a>(&'a Cell<bool>);

impl Drop for ListingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Returns the era of what is held of a space. `None` before the first revision.
    fn era(&self, space: Space) -> Option<Era> {
        match space {
            Space::Config => self.config.borrow().era(),
            Space::Hosts => self.hosts.borrow().revision().map(|revision| revision.era),
        }
    }

    /// Records that the platform is in an era. What is held of an earlier one proves nothing any
    /// more.
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

    /// Records which era a daemon is in, and whether one that supports retained values is behind.
    pub(super) fn record_mark(&self, mark: &Mark, from: &HostId) {
        let Some(revision) = mark.revision else { return };
        self.record_era(mark.space, revision.era, from);
        if mark.retained.is_some() && Some(revision.era) < self.era(mark.space) {
            self.daemons_behind.borrow_mut().insert(Arc::clone(from));
        } else if mark.retained.is_some() {
            self.daemons_behind.borrow_mut().remove(from);
        }
    }

    /// Queries the daemons that are behind until they have entered the era too or do not answer,
    /// since they then report the values that they retain. Otherwise a daemon that starts would
    /// serve what the platform's copy has although it knows of daemons with newer data.
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

    /// Records the era that a rejection by the platform states.
    pub(super) fn record_rejection(&self, space: Space, error: &PlatformError) {
        if let PlatformError::Rejected(era) = error {
            self.record_era(space, *era, "platform");
        }
    }

    /// Returns whether `era` is the latest known one and the space is held in it. Anything of an
    /// earlier era is no proof of freshness.
    pub(super) fn is_of_era(&self, space: Space, era: Era) -> bool {
        let latest = self.latest_eras.borrow().get(&space).copied().unwrap_or_default();
        era == latest && self.era(space) == Some(era)
    }

    /// Returns whether everything that a daemon at a revision has read from the platform is held
    /// here, in the same era.
    pub(super) fn holds(&self, space: Space, revision: Revision) -> bool {
        self.is_of_era(space, revision.era) && self.revision(space) >= Some(revision)
    }

    /// Returns whether a daemon with this mark has something that is missing here.
    pub(super) fn is_behind(&self, mark: &Mark) -> bool {
        match mark.space {
            Space::Config => self.config.borrow().is_behind(mark.revision, mark.retained),
            Space::Hosts => mark.revision > self.hosts.borrow().revision(),
        }
    }

    /// Returns the mark of the retained values. `None` for the host list, of which none are
    /// retained.
    pub(super) fn retained_mark(&self, space: Space) -> Option<RetainedMark> {
        (space == Space::Config).then(|| self.config.borrow().retained_mark())
    }

    /// Merges the values that another daemon retains; returns whether that changes what is in
    /// force.
    pub(super) fn merge_report(&self, retained: RetainedReport) -> bool {
        let retained = retained.into_retained(self.ports.clock.now());
        self.config.borrow_mut().merge_retained(&retained)
    }

    /// Lists a space that is in a new era, unless its updates arrive meanwhile from other daemons.
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

    /// Drops the retained values whose time is over.
    pub(super) fn expire_retained(&self) {
        let now = self.ports.clock.now();
        let gone = self.config.borrow_mut().expire(now, self.settings.retention);
        for key in gone {
            let upstream = key.strip_prefix("upstreams/").unwrap_or(&key);
            self.recently_removed.borrow_mut().forget(upstream);
        }
    }

    /// Publishes the view again once the next retained value expires.
    pub(super) fn schedule_expiry(self: &Rc<Self>) {
        let next = self.config.borrow().next_expiry(self.settings.retention);
        let Some(until) = next.filter(|_| !self.expiry_pending.replace(true)) else { return };
        let this = Rc::clone(self);
        let wait = async move {
            this.ports.clock.sleep_until(until).await;
            this.expiry_pending.set(false);
            this.expire_retained();
            this.publish(ViewCause::Expiry);
        };
        self.executor.spawn(wait).detach();
    }

    /// Reports the values that are retained if an era was just entered, and why any are not
    /// applied.
    pub(super) fn report_retained(&self) {
        let config = self.config.borrow();
        if let Some(retained) = config.retained().filter(|retained| retained.entered_at.is_none()) {
            let (kept, doubted) = (retained.values.len(), retained.departed.len());
            self.emit(Event::CarriedOn { era: retained.era, kept, doubted });
        }
        for fault in config.conflicts() {
            warn!("retained values are not applied: {} {}: {}", fault.code, fault.key, fault.detail);
        }
    }
}
