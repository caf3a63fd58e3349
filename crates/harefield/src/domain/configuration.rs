//! The configuration in force, and what the platform has published since.

use std::sync::Arc;
use std::time::Instant;

use super::catalogs::divide;
use super::catalogs::divide_chain;
use super::catalogs::divide_items;
use super::catalogs::divide_kind;
use super::catalogs::join_items;
use super::catalogs::join_news;
use super::feed::Change;
use super::feed::ChangeSize;
use super::feed::Delta;
use super::feed::DeltaKind;
use super::feed::Feed;
use super::feed::Items;
use super::feed::News;
use super::feed::difference;
use super::ids::Edition;
use super::ids::Era;
use super::ids::Key;
use super::resources::ResourceError;
use super::resources::ResourceSet;
use super::retained::Retained;
use super::retained::RetainedMark;
use super::retained::RetentionTimes;
use super::revision::Revision;

/// The outcome of offering a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is in force.
    Accepted,
    /// The revision is rejected because of these faults; the last valid one stays in force.
    Rejected(Vec<ResourceError>),
    /// The revision is not newer than what was already seen.
    Stale,
}

/// A revision that was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRevision {
    /// The rejected revision.
    pub revision: Revision,
    /// Why it was rejected.
    pub faults: Vec<ResourceError>,
}

/// The configuration of one daemon.
///
/// While the newest published revision has faults, the changes since the one in force are kept in
/// `pending`, and every further change is validated together with them.
///
/// After the platform was restored from a backup copy, what it has published differs from what is
/// in force: the values in `retained` take precedence.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    accepted: Feed,
    /// What the platform has published.
    published: Arc<ResourceSet>,
    retained: Option<Retained>,
    /// What is in force.
    set: Arc<ResourceSet>,
    /// Why the retained values are not applied: they cannot be combined with what the platform has.
    conflicts: Vec<ResourceError>,
    seen: Option<Revision>,
    pending: Vec<Change>,
    /// The kind of delta that the pending changes form.
    kind: DeltaKind,
    rejected: Option<RejectedRevision>,
    /// The size of what was accepted since it was last taken.
    accepted_size: ChangeSize,
}

impl Configuration {
    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.accepted.revision()
    }

    /// Returns the newest revision seen from the platform, whether valid or not.
    #[must_use]
    pub fn seen(&self) -> Option<Revision> {
        self.seen
    }

    /// Returns the resources in force.
    #[must_use]
    pub fn set(&self) -> &Arc<ResourceSet> {
        &self.set
    }

    /// Returns the newest era seen. `None` before the first revision.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.seen.max(self.revision()).map(|revision| revision.era)
    }

    /// Returns the edition in force.
    #[must_use]
    pub fn edition(&self) -> Edition {
        self.set.edition()
    }

    /// Returns the values retained from earlier eras. `None` if no new era was entered.
    #[must_use]
    pub fn retained(&self) -> Option<&Retained> {
        self.retained.as_ref()
    }

    /// Returns why the retained values are not applied; empty if they are in force.
    #[must_use]
    pub fn conflicts(&self) -> &[ResourceError] {
        &self.conflicts
    }

    /// Returns the mark by which other daemons compare their retained values with this daemon's.
    #[must_use]
    pub fn retained_mark(&self) -> RetainedMark {
        let history = self.retained.as_ref().map(|retained| retained.history).unwrap_or_default();
        RetainedMark { history, edition: self.edition() }
    }

    /// Returns whether a daemon at `revision`, with `mark`, has something that is missing here.
    #[must_use]
    pub fn is_behind(&self, revision: Option<Revision>, mark: Option<RetainedMark>) -> bool {
        let era = |revision: Option<Revision>| revision.map(|revision| revision.era);
        let same = era(revision) == era(self.revision());
        let exceeds = mark.is_some_and(|mark| mark.exceeds(self.retained_mark()));
        revision > self.revision() || same && exceeds
    }

    /// Returns the updates for a daemon that knows no divided catalogs.
    #[must_use]
    pub fn joined(&self, news: News) -> News {
        join_news(news, self.accepted.items())
    }

    /// Returns what brings a daemon up to date that is at `have` and has `mark`. A daemon without a
    /// mark does not understand retained values and is sent none.
    #[must_use]
    pub fn news(&self, have: Option<Revision>, mark: Option<RetainedMark>, now: Instant) -> News {
        let news = self.since(have);
        let enters = have.map(|have| have.era) != self.revision().map(|own| own.era);
        let lacks = mark.is_some_and(|mark| enters || self.retained_mark().exceeds(mark));
        match self.retained.as_ref().filter(|_| lacks) {
            Some(retained) => News::WithRetained { news: Box::new(news), retained: retained.report(now) },
            None => news,
        }
    }

    /// Merges the values that another daemon retains; returns whether that changes what is in
    /// force.
    pub fn merge_retained(&mut self, other: &Retained) -> bool {
        let Some(own) = self.revision().filter(|own| own.era == other.era) else { return false };
        let retained = self.retained.get_or_insert_with(|| Retained::empty(own.era));
        let before = retained.changes();
        retained.merge(other, self.accepted.items());
        let changed = retained.changes() != before;
        if changed {
            self.rebuild();
        }
        changed
    }

    /// Drops the retained values whose time is over; returns the upstreams that are gone as a
    /// result.
    pub fn expire(&mut self, now: Instant, times: RetentionTimes) -> Vec<Key> {
        let Some(retained) = &mut self.retained else { return Vec::new() };
        let before = retained.changes();
        let gone = retained.expire(now, times);
        if retained.changes() != before {
            self.rebuild();
        }
        gone
    }

    /// Restarts the time for which values are retained.
    pub fn restart_timer(&mut self, now: Instant) {
        if let Some(retained) = &mut self.retained {
            retained.restart_timer(now);
        }
    }

    /// Returns when the next retained value expires.
    #[must_use]
    pub fn next_expiry(&self, times: RetentionTimes) -> Option<Instant> {
        self.retained.as_ref().and_then(|retained| retained.next_expiry(times))
    }

    /// Returns the newest rejected revision while it is newer than the one in force.
    #[must_use]
    pub fn rejected(&self) -> Option<&RejectedRevision> {
        self.rejected.as_ref().filter(|r| Some(r.revision) > self.revision())
    }

    /// Returns the size of the changes that were accepted since the last call.
    pub fn take_accepted_size(&mut self) -> ChangeSize {
        std::mem::take(&mut self.accepted_size)
    }

    /// Returns what brings a peer at revision `have` up to date.
    #[must_use]
    pub fn since(&self, have: Option<Revision>) -> News {
        self.accepted.since(have)
    }

    /// Offers a complete set of values read from the platform.
    pub fn offer_all(&mut self, revision: Revision, items: &Items) -> OfferOutcome {
        if self.seen.is_some_and(|seen| revision <= seen) {
            return OfferOutcome::Stale;
        }
        self.pending = difference(self.accepted.items(), &divide_items(items));
        self.kind = DeltaKind::Difference;
        self.validate(revision)
    }

    /// Offers one change set received from a watch of the platform.
    pub fn offer(&mut self, delta: &Delta) -> OfferOutcome {
        if !follows(self.seen, delta) {
            return OfferOutcome::Stale;
        }
        self.kind = if self.pending.is_empty() { delta.kind } else { self.kind.combined(delta.kind) };
        self.pending.extend(delta.changes.iter().cloned());
        self.validate(delta.revision)
    }

    /// Offers several consecutive change sets received from a watch of the platform. Returns
    /// whether their combined result is in force; if not, they have to be offered one by one.
    pub fn offer_chain(&mut self, deltas: &[Delta]) -> bool {
        let is_current = self.pending.is_empty() && self.seen == self.revision();
        is_current && self.accept_chain(deltas)
    }

    /// Applies a chain of deltas at once if it starts at the revision in force and its result has
    /// no faults. The resource set is computed only once for all of them.
    fn accept_chain(&mut self, deltas: &[Delta]) -> bool {
        if deltas.is_empty() || !is_chain(self.revision(), deltas) {
            return false;
        }
        let deltas = divide_chain(deltas, self.accepted.items());
        let changes: Vec<Change> = deltas.iter().flat_map(|delta| delta.changes.iter().cloned()).collect();
        let Ok(set) = self.published.apply(&changes) else { return false };
        let left_era = deltas.last().and_then(|last| self.left_era(last.revision));
        self.published = Arc::new(set);
        self.accepted_size.add(ChangeSize::of(&changes));
        for delta in &deltas {
            self.accepted.advance(delta.revision, &delta.changes, delta.kind);
        }
        self.seen = self.revision();
        self.update_retained(left_era, &changes);
        true
    }

    /// Merges accepted revisions received from a peer; returns whether any was newer.
    pub fn merge_news(&mut self, news: News) -> bool {
        let changed = match news.split().0 {
            News::Current | News::WithRetained { .. } => false,
            News::Deltas(deltas) => {
                self.accept_chain(&deltas)
                    || deltas.iter().filter(|delta| self.merge_delta(delta)).count() > 0
            }
            News::Full { revision, items } => self.merge_full(revision, &items),
        };
        if changed {
            self.seen = self.revision();
            self.pending.clear();
        }
        changed
    }

    fn merge_delta(&mut self, delta: &Delta) -> bool {
        follows(self.revision(), delta) && self.accept(delta.revision, &delta.changes, delta.kind).is_ok()
    }

    fn merge_full(&mut self, revision: Revision, items: &Items) -> bool {
        let newer = self.revision().is_none_or(|own| revision > own);
        let changes = difference(self.accepted.items(), &divide_items(items));
        newer && self.accept(revision, &changes, DeltaKind::Difference).is_ok()
    }

    fn validate(&mut self, revision: Revision) -> OfferOutcome {
        self.seen = Some(revision);
        let pending = std::mem::take(&mut self.pending);
        match self.accept(revision, &pending, self.kind) {
            Ok(()) => OfferOutcome::Accepted,
            Err(faults) => {
                self.pending = pending;
                self.rejected = Some(RejectedRevision { revision, faults: faults.clone() });
                OfferOutcome::Rejected(faults)
            }
        }
    }

    /// Applies changes unless the result has faults.
    fn accept(
        &mut self,
        revision: Revision,
        changes: &[Change],
        kind: DeltaKind,
    ) -> Result<(), Vec<ResourceError>> {
        let (changes, kind) = divide_kind(changes, kind, self.accepted.items());
        let set = self.published.apply(&changes)?;
        let left_era = self.left_era(revision);
        self.published = Arc::new(set);
        self.accepted_size.add(ChangeSize::of(&changes));
        self.accepted.advance(revision, &changes, kind);
        self.update_retained(left_era, &changes);
        Ok(())
    }

    /// Returns the platform's values held so far and their revision, if `revision` is of a later
    /// era.
    fn left_era(&self, revision: Revision) -> Option<(Revision, Items)> {
        let own = self.revision().filter(|own| revision.era > own.era)?;
        Some((own, join_items(self.accepted.items())))
    }

    /// Determines the retained values if a new era was entered; otherwise applies the platform's
    /// changes of this era to them.
    fn update_retained(&mut self, left_era: Option<(Revision, Items)>, changes: &[Change]) {
        let era = self.revision().map(|own| own.era).unwrap_or_default();
        if let Some((read, held)) = left_era {
            let before = self.retained.take().unwrap_or_default();
            self.retained = Some(before.enter(era, read, &held, self.accepted.items()));
        } else if let Some(retained) = &mut self.retained {
            retained.supersede(changes);
        }
        self.rebuild();
    }

    /// Recomputes what is in force.
    fn rebuild(&mut self) {
        self.conflicts.clear();
        let retained = self.retained.as_ref().map(Retained::changes).filter(|changes| !changes.is_empty());
        let applied = |changes: Vec<Change>| self.published.apply(&divide(&changes, self.accepted.items()));
        self.set = match retained.map(applied) {
            None => Arc::clone(&self.published),
            Some(Ok(set)) => Arc::new(set),
            Some(Err(faults)) => {
                self.conflicts = faults;
                Arc::clone(&self.published)
            }
        };
    }
}

/// Returns whether a delta applies to a revision.
fn follows(at: Option<Revision>, delta: &Delta) -> bool {
    at == Some(delta.base) && delta.revision > delta.base
}

/// Returns whether the deltas form a chain that starts at a revision.
fn is_chain(from: Option<Revision>, deltas: &[Delta]) -> bool {
    let ends = deltas.iter().map(|delta| Some(delta.revision));
    std::iter::once(from).chain(ends).zip(deltas).all(|(at, delta)| follows(at, delta))
}
