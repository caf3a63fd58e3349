//! Reading the platform: a few daemons of each availability zone watch it, and the others receive
//! its updates from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::debug;
use log::warn;
use rand::Rng;

use super::duty::Control;
use super::publish::Origin;
use crate::domain::backoff::backoff;
use crate::domain::configuration::OfferOutcome;
use crate::domain::event::Event;
use crate::domain::feed::Delta;
use crate::domain::freshness::proven_by_watch;
use crate::domain::ids::Era;
use crate::domain::readers::is_reader;
use crate::domain::revision::Revision;
use crate::domain::time::millis;
use crate::ports::Clock;
use crate::ports::Listing;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::PlatformError;
use crate::ports::Space;
use crate::ports::WatchResult;

/// The first pause after a replica did not answer. It doubles with each failure.
const BACKOFF: Duration = Duration::from_millis(250);

/// The longest pause after failures: a third of the 3 s within which a change has to be in force,
/// so that one is read in time even after a long outage.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// After this many consecutive failures a daemon announces that it cannot reach the platform.
const BLIND_AFTER: u32 = 2;

/// The pause after an update before the next watch, a tenth of the 3 s within which a change has to
/// be in force. Upstreams that register one by one are then read together, since each call has a
/// cost.
pub(super) const BATCH_PAUSE: Duration = Duration::from_millis(300);

/// A response to a watch with this many revisions may be truncated: the users' store returns some
/// 500 at a time.
const LONG_RESPONSE: usize = 256;

/// The most revisions that are read before they are applied: some seconds of changes at the users'
/// largest site while all its upstreams start.
const MAX_BATCH: usize = 16_384;

/// How often a daemon that is not a reader checks whether it has become one.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Watches one space while this daemon is a reader.
    pub(super) async fn read_space(self: Rc<Self>, space: Space) {
        let mut index: usize = 0;
        let mut failures: u32 = 0;
        loop {
            if !self.is_reader() {
                self.ports.clock.sleep(CHECK_INTERVAL).await;
                continue;
            }
            let replicas = &self.settings.replicas;
            let replica = replicas[index % replicas.len()];
            let started = self.ports.clock.now();
            match self.read_once(replica, space).await {
                Ok(()) => {
                    self.record_recovery(space);
                    failures = 0;
                    self.announce_blind(space, false);
                }
                Err(error) => {
                    self.record_rejection(space, &error);
                    self.record_failure(space, &error, started);
                    failures = failures.saturating_add(1);
                    log_failure(replica, &error, failures);
                    self.announce_blind(space, failures >= BLIND_AFTER);
                    index += 1;
                    self.ports.clock.sleep(retry_pause(failures)).await;
                }
            }
        }
    }

    fn record_failure(&self, space: Space, error: &PlatformError, started: Instant) {
        // A platform that answers, but has no data yet, is not lost.
        if !matches!(error, PlatformError::Unreachable | PlatformError::Rejected(_)) {
            return;
        }
        let now = self.ports.clock.now();
        if space == Space::Config {
            self.outages.borrow_mut().record_failure(now);
        }
        if self.reachability.borrow_mut().entry(space).or_default().record_failure(now) {
            let waited = millis(now.saturating_duration_since(started));
            self.emit(Event::PlatformLost { space: space.name().to_owned(), why: error.to_string(), waited });
        }
    }

    fn record_recovery(&self, space: Space) {
        let now = self.ports.clock.now();
        let regained = self.reachability.borrow_mut().entry(space).or_default().record_answer(now);
        if let Some(gap) = regained {
            self.emit(Event::PlatformRegained { space: space.name().to_owned(), millis: millis(gap) });
        }
    }

    /// Records that the platform is queried now, and returns the current time.
    fn record_query(&self, space: Space) -> Instant {
        let now = self.ports.clock.now();
        if space == Space::Config {
            self.last_query.set(Some(now));
        }
        now
    }

    /// Informs the workers and other daemons whether this daemon can reach the platform, if that
    /// changed.
    fn announce_blind(&self, space: Space, blind: bool) {
        if space != Space::Config {
            return;
        }
        let changed = self.members.borrow_mut().set_blind(blind);
        if changed {
            self.publish_peers();
            self.relay();
        }
    }

    pub(super) fn is_reader(&self) -> bool {
        let members = self.members.borrow();
        is_reader(&self.settings.own, members.rows(), self.settings.readers)
    }

    async fn read_once(self: &Rc<Self>, replica: SocketAddr, space: Space) -> Result<(), PlatformError> {
        let Some(seen) = self.seen(space) else {
            return self.list(replica, space).await;
        };
        let wait = self.settings.max_watch.min(self.settings.freshness.watch_wait(self.renewal_age(space)));
        self.watch(replica, space, seen, wait).await?;
        if self.seen(space) > Some(seen) {
            let batch_time = self.settings.freshness.batch_time(self.renewal_age(space), BATCH_PAUSE);
            self.ports.clock.sleep(batch_time).await;
        }
        Ok(())
    }

    fn seen(&self, space: Space) -> Option<Revision> {
        match space {
            Space::Config => self.config.borrow().seen(),
            Space::Hosts => self.hosts.borrow().revision(),
        }
    }

    /// Reads a whole space. Pages read at different revisions are brought to a single one by
    /// watching before anything is applied.
    pub(super) async fn list(
        self: &Rc<Self>,
        replica: SocketAddr,
        space: Space,
    ) -> Result<(), PlatformError> {
        let started = self.record_query(space);
        let mut listing = self.ports.platform.list(replica, space).await?;
        let received = self.ports.clock.now();
        while listing.first < listing.last {
            let watched = self.ports.platform.watch(replica, space, listing.first, Duration::ZERO).await?;
            catch_up(&mut listing, watched)?;
        }
        let listed = listing.first;
        self.record_era(space, listed.era, "platform");
        // A replica that is behind proves nothing, and is read again after a pause: without one, a
        // daemon made 1,822 calls in 2 s.
        if self.seen(space) > Some(listed) {
            self.report_stale(space, listed);
            return Err(PlatformError::Behind(listed));
        }
        self.apply_listing(space, listing, received);
        if self.is_of_era(space, listed.era) {
            self.record_proof(space, started);
        }
        Ok(())
    }

    fn apply_listing(self: &Rc<Self>, space: Space, listing: Listing, received: Instant) {
        let Listing { first, items, .. } = listing;
        match space {
            Space::Config => {
                let offer = self.config.borrow_mut().offer_all(first, &items);
                self.handle_offer(&offer, received);
            }
            Space::Hosts => {
                let newer = self.replace_hosts(first, &items);
                if newer {
                    self.on_change(Space::Hosts, Origin::platform(received));
                }
            }
        }
    }

    /// Reports a listing that is older than what is held, once for each pair of revisions.
    fn report_stale(&self, space: Space, revision: Revision) {
        let held = self.seen(space).unwrap_or_default();
        if self.last_stale.replace(Some((revision, held))) != Some((revision, held)) {
            self.emit(Event::NewsRefused { revision, held });
        }
    }

    /// Watches a space once.
    pub(super) async fn watch(
        self: &Rc<Self>,
        replica: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<(), PlatformError> {
        let after = match space {
            Space::Config => after.max(self.cursor.get()),
            Space::Hosts => after,
        };
        let started = self.record_query(space);
        let (deltas, at) = match self.watch_platform(replica, space, after, wait).await? {
            WatchResult::Changes { deltas, at } => (deltas, at),
            WatchResult::Compacted => return self.list(replica, space).await,
            WatchResult::Restored(era) => return self.enter_era(replica, space, era).await,
        };
        self.record_era(space, at.era, "platform");
        let proven = proven_by_watch(started, self.ports.clock.now(), wait, deltas.is_empty());
        let mut watched = WatchedChanges { deltas, at, proven };
        let end = self.read_remaining(replica, space, &mut watched).await;
        self.apply_deltas(space, &rebase(watched.deltas, self.seen(space)));
        self.advance_cursor(space, watched.at);
        match end? {
            CatchUpEnd::Complete if watched.at >= after && self.is_of_era(space, watched.at.era) => {
                self.record_proof(space, watched.proven);
            }
            CatchUpEnd::Complete | CatchUpEnd::More => {}
            CatchUpEnd::Compacted => self.list(replica, space).await?,
            CatchUpEnd::Restored(era) => self.enter_era(replica, space, era).await?,
        }
        Ok(())
    }

    /// Watches a space once. Changes that are together too large for a response are read by listing
    /// the space, which returns each value once.
    async fn watch_platform(
        &self,
        replica: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        match self.ports.platform.watch(replica, space, after, wait).await {
            Err(PlatformError::TooLarge) => Ok(WatchResult::Compacted),
            result => result,
        }
    }

    /// Continues reading at once while responses are as long as truncated ones. Otherwise a change
    /// behind thousands of others would wait for as many pauses as there are responses, and a
    /// truncated response proves nothing about later changes. With 580 changes a second from 1,350
    /// upstreams and 500 changes in a response, daemons were seconds behind. Behind 8,000 changes,
    /// a change is in force at four daemons after 0.08 s instead of 4.96 s (one run of the test
    /// each).
    async fn read_remaining(
        &self,
        replica: SocketAddr,
        space: Space,
        watched: &mut WatchedChanges,
    ) -> Result<CatchUpEnd, PlatformError> {
        let mut last = watched.deltas.len();
        while last >= LONG_RESPONSE && watched.deltas.len() < MAX_BATCH {
            let started = self.record_query(space);
            let next = self.watch_platform(replica, space, watched.at, Duration::ZERO).await?;
            let (deltas, at) = match next {
                WatchResult::Changes { deltas, at } => (deltas, at),
                WatchResult::Compacted => return Ok(CatchUpEnd::Compacted),
                WatchResult::Restored(era) => return Ok(CatchUpEnd::Restored(era)),
            };
            last = deltas.len();
            watched.proven = started;
            watched.at = at;
            let last_read = watched.deltas.last().map(|delta| delta.revision);
            watched.deltas.extend(rebase(deltas, last_read));
        }
        Ok(if last < LONG_RESPONSE { CatchUpEnd::Complete } else { CatchUpEnd::More })
    }

    /// Applies changes in order, and publishes their combined result once.
    fn apply_deltas(self: &Rc<Self>, space: Space, deltas: &[Delta]) {
        let received = self.ports.clock.now();
        let newer = match space {
            Space::Config => self.offer_deltas(deltas),
            Space::Hosts => deltas.iter().filter(|delta| self.apply_hosts(delta)).count() > 0,
        };
        if newer {
            self.on_change(space, Origin::platform(received));
        }
    }

    /// Offers changes of the configuration; returns whether any was accepted.
    fn offer_deltas(self: &Rc<Self>, deltas: &[Delta]) -> bool {
        if self.config.borrow_mut().offer_chain(deltas) {
            return true;
        }
        let mut newer = false;
        for delta in deltas {
            let offer = self.config.borrow_mut().offer(delta);
            match offer {
                OfferOutcome::Accepted => newer = true,
                OfferOutcome::Stale => {}
                OfferOutcome::Rejected(_) => self.handle_offer(&offer, self.ports.clock.now()),
            }
        }
        newer
    }

    /// Records that there are no other changes up to a revision. The changes before it must have
    /// been applied.
    fn advance_cursor(&self, space: Space, at: Revision) {
        if space == Space::Config {
            self.cursor.set(self.cursor.get().max(at));
        }
    }
}

/// The changes returned by consecutive watches.
struct WatchedChanges {
    deltas: Vec<Delta>,
    /// The revision up to which there are no other changes.
    at: Revision,
    /// The time up to which every confirmed change is included.
    proven: Instant,
}

/// How reading the remaining changes ended.
enum CatchUpEnd {
    /// Nothing is left to read.
    Complete,
    /// There may be more changes.
    More,
    /// The platform no longer has the changes.
    Compacted,
    /// The platform was restored from a backup copy and is in this era.
    Restored(Era),
}

/// Makes watched changes continue what is held: the first ones may have arrived from another
/// daemon, and revisions without changes are left out.
fn rebase(mut deltas: Vec<Delta>, held: Option<Revision>) -> Vec<Delta> {
    deltas.retain(|delta| Some(delta.revision) > held);
    if let (Some(first), Some(held)) = (deltas.first_mut(), held) {
        first.base = held;
    }
    deltas
}

/// Applies watched changes to a listing whose pages differ in revision.
fn catch_up(listing: &mut Listing, watched: WatchResult) -> Result<(), PlatformError> {
    let (deltas, at) = match watched {
        WatchResult::Changes { deltas, at } => (deltas, at),
        WatchResult::Restored(_) => return Err(PlatformError::Restored),
        WatchResult::Compacted => {
            return Err(PlatformError::Malformed("changes were compacted during a listing".to_owned()));
        }
    };
    if deltas.is_empty() && at <= listing.first {
        return Err(PlatformError::Malformed("a page of a listing is newer than all changes".to_owned()));
    }
    let reached = at;
    for delta in deltas {
        delta.changes.iter().for_each(|change| change.apply_to(&mut listing.items));
        listing.first = delta.revision;
    }
    listing.first = listing.first.max(reached);
    Ok(())
}

/// Logs a failed call. Invalid answers are warned of ever more rarely while they last.
fn log_failure(replica: SocketAddr, error: &PlatformError, failures: u32) {
    if matches!(error, PlatformError::Malformed(_)) && failures.is_power_of_two() {
        warn!("platform replica {replica}, {failures} failures in a row: {error}");
    } else {
        debug!("platform replica {replica}: {error}");
    }
}

fn retry_pause(failures: u32) -> Duration {
    backoff(BACKOFF, failures, MAX_BACKOFF).mul_f64(rand::rng().random_range(0.5..1.0))
}
