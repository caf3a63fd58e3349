//! The configuration: what is in force, and what the platform has published
//! since.

use std::sync::Arc;
use std::time::Instant;

use super::feed::Change;
use super::feed::Delta;
use super::feed::Feed;
use super::feed::Items;
use super::feed::News;
use super::feed::Span;
use super::feed::difference;
use super::ids::Edition;
use super::ids::Era;
use super::ids::Key;
use super::resources::Fault;
use super::resources::ResourceSet;
use super::retained::Retained;
use super::retained::RetainedMark;
use super::retained::RetentionTimes;
use super::revision::Revision;

/// What became of a revision that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force.
    Accepted,
    /// It is refused; the last good one stays in force.
    Refused(Vec<Fault>),
    /// It is not newer than what was seen.
    Old,
}

/// A revision that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The revision.
    pub revision: Revision,
    /// Its faults.
    pub faults: Vec<Fault>,
}

/// The configuration of one daemon.
///
/// While the newest published revision has faults, what was published since
/// the one in force waits in `pending`; every further change is judged together
/// with it.
///
/// What the platform has and what is in force differ after the platform came back from a
/// copy: `carried` goes before it then.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    accepted: Feed,
    /// What the platform has.
    told: Arc<ResourceSet>,
    retained: Option<Retained>,
    /// What is in force.
    set: Arc<ResourceSet>,
    /// Why what is carried on cannot be in force with what the platform has; it is left out.
    clash: Vec<Fault>,
    seen: Option<Revision>,
    pending: Vec<Change>,
    /// What those name.
    span: Span,
    refused: Option<Refused>,
}

impl Configuration {
    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.accepted.revision()
    }

    /// Returns the newest revision seen from the platform, good or not.
    #[must_use]
    pub fn seen(&self) -> Option<Revision> {
        self.seen
    }

    /// Returns the set in force.
    #[must_use]
    pub fn set(&self) -> &Arc<ResourceSet> {
        &self.set
    }

    /// Returns the era that was last seen; none before the first revision.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.seen.max(self.revision()).map(|revision| revision.era)
    }

    /// Returns the edition in force.
    #[must_use]
    pub fn edition(&self) -> Edition {
        self.set.edition()
    }

    /// Returns what is carried on from earlier eras; none where no era was entered.
    #[must_use]
    pub fn retained(&self) -> Option<&Retained> {
        self.retained.as_ref()
    }

    /// Returns why what is carried on is left out; empty where it is in force.
    #[must_use]
    pub fn clash(&self) -> &[Fault] {
        &self.clash
    }

    /// Returns how far this daemon is in what is carried on.
    #[must_use]
    pub fn retained_mark(&self) -> RetainedMark {
        let context = self.retained.as_ref().map(|retained| retained.context).unwrap_or_default();
        RetainedMark { context, edition: self.edition() }
    }

    /// Returns whether a daemon at a revision, with a mark, has something that is missing here.
    #[must_use]
    pub fn lacks(&self, revision: Option<Revision>, mark: Option<RetainedMark>) -> bool {
        let era = |revision: Option<Revision>| revision.map(|revision| revision.era);
        let same = era(revision) == era(self.revision());
        let exceeds = mark.is_some_and(|mark| mark.exceeds(self.retained_mark()));
        revision > self.revision() || same && exceeds
    }

    /// Returns what brings a daemon along that is at `have` with a mark; one without takes
    /// nothing that is carried on.
    #[must_use]
    pub fn news(&self, have: Option<Revision>, mark: Option<RetainedMark>, now: Instant) -> News {
        let news = self.since(have);
        let enters = have.map(|have| have.era) != self.revision().map(|own| own.era);
        let lacks = mark.is_some_and(|mark| enters || self.retained_mark().exceeds(mark));
        match self.retained.as_ref().filter(|_| lacks) {
            Some(retained) => News::Carrying { news: Box::new(news), retained: retained.report(now) },
            None => news,
        }
    }

    /// Joins what another daemon carries on; returns whether that changes what is in force.
    pub fn join(&mut self, other: &Retained) -> bool {
        let Some(own) = self.revision().filter(|own| own.era == other.era) else { return false };
        let retained = self.retained.get_or_insert_with(|| Retained::nothing(own.era));
        let before = retained.changes();
        retained.join(other, self.accepted.items());
        let news = retained.changes() != before;
        if news {
            self.show();
        }
        news
    }

    /// Drops what is carried on and has had its time; returns the upstreams that are gone by
    /// it.
    pub fn expire(&mut self, now: Instant, times: RetentionTimes) -> Vec<Key> {
        let Some(retained) = &mut self.retained else { return Vec::new() };
        let before = retained.changes();
        let gone = retained.expire(now, times);
        if retained.changes() != before {
            self.show();
        }
        gone
    }

    /// Lets the time of what is carried on begin anew.
    pub fn postpone(&mut self, now: Instant) {
        if let Some(retained) = &mut self.retained {
            retained.postpone(now);
        }
    }

    /// Returns when something that is carried on will have had its time.
    #[must_use]
    pub fn next_expiry(&self, times: RetentionTimes) -> Option<Instant> {
        self.retained.as_ref().and_then(|retained| retained.next_expiry(times))
    }

    /// Returns the newest refused revision, while it is newer than the one in force.
    #[must_use]
    pub fn refused(&self) -> Option<&Refused> {
        self.refused.as_ref().filter(|r| Some(r.revision) > self.revision())
    }

    /// Returns what brings a peer at `have` up to date.
    #[must_use]
    pub fn since(&self, have: Option<Revision>) -> News {
        self.accepted.since(have)
    }

    /// Takes a whole set read from the platform.
    pub fn offer_all(&mut self, revision: Revision, items: &Items) -> Offer {
        if self.seen.is_some_and(|seen| revision <= seen) {
            return Offer::Old;
        }
        self.pending = difference(self.accepted.items(), items);
        self.span = Span::Ends;
        self.judge(revision)
    }

    /// Takes one change set watched from the platform.
    pub fn offer(&mut self, delta: &Delta) -> Offer {
        if !follows(self.seen, delta) {
            return Offer::Old;
        }
        self.span = if self.pending.is_empty() { delta.span } else { self.span.joined(delta.span) };
        self.pending.extend(delta.changes.iter().cloned());
        self.judge(delta.revision)
    }

    /// Takes several change sets watched from the platform, in order, where what they
    /// lead to can be put in force at once; else they are to be offered one by one.
    pub fn offer_chain(&mut self, deltas: &[Delta]) -> bool {
        let good = self.pending.is_empty() && self.seen == self.revision();
        good && self.accept_many(deltas)
    }

    /// Puts what a chain of deltas leads to in force, where it fits on the set in
    /// force and has no faults: the set is worked out once for all of them.
    fn accept_many(&mut self, deltas: &[Delta]) -> bool {
        if deltas.is_empty() || !is_chain(self.revision(), deltas) {
            return false;
        }
        let changes: Vec<Change> = deltas.iter().flat_map(|delta| delta.changes.iter().cloned()).collect();
        let Ok(set) = self.told.apply(&changes) else { return false };
        let entered = deltas.last().and_then(|last| self.entered(last.revision));
        self.told = Arc::new(set);
        for delta in deltas {
            self.accepted.advance(delta.revision, &delta.changes, delta.span);
        }
        self.seen = self.revision();
        self.carry(entered, &changes);
        true
    }

    /// Takes accepted sets that a peer has in force; returns whether any was newer.
    pub fn learn(&mut self, news: News) -> bool {
        let learnt = match news.split().0 {
            News::Current | News::Carrying { .. } => false,
            News::Deltas(deltas) => {
                self.accept_many(&deltas) || deltas.iter().filter(|delta| self.learn_delta(delta)).count() > 0
            }
            News::Full { revision, items } => self.learn_all(revision, &items),
        };
        if learnt {
            self.seen = self.revision();
            self.pending.clear();
        }
        learnt
    }

    fn learn_delta(&mut self, delta: &Delta) -> bool {
        follows(self.revision(), delta) && self.accept(delta.revision, &delta.changes, delta.span).is_ok()
    }

    fn learn_all(&mut self, revision: Revision, items: &Items) -> bool {
        let newer = self.revision().is_none_or(|own| revision > own);
        let changes = difference(self.accepted.items(), items);
        newer && self.accept(revision, &changes, Span::Ends).is_ok()
    }

    fn judge(&mut self, revision: Revision) -> Offer {
        self.seen = Some(revision);
        let pending = std::mem::take(&mut self.pending);
        match self.accept(revision, &pending, self.span) {
            Ok(()) => Offer::Accepted,
            Err(faults) => {
                self.pending = pending;
                self.refused = Some(Refused { revision, faults: faults.clone() });
                Offer::Refused(faults)
            }
        }
    }

    /// Puts what changes lead to in force, unless it has faults.
    fn accept(&mut self, revision: Revision, changes: &[Change], span: Span) -> Result<(), Vec<Fault>> {
        let set = self.told.apply(changes)?;
        let entered = self.entered(revision);
        self.told = Arc::new(set);
        self.accepted.advance(revision, changes, span);
        self.carry(entered, changes);
        Ok(())
    }

    /// Returns what was held of the platform, and as of when, where a revision is of a later
    /// era.
    fn entered(&self, revision: Revision) -> Option<(Revision, Items)> {
        let own = self.revision().filter(|own| revision.era > own.era)?;
        Some((own, self.accepted.items().clone()))
    }

    /// Carries on what a copy may lack, where an era was entered; else takes what the
    /// platform has told in this one.
    fn carry(&mut self, entered: Option<(Revision, Items)>, changes: &[Change]) {
        let era = self.revision().map(|own| own.era).unwrap_or_default();
        if let Some((read, held)) = entered {
            let before = self.retained.take().unwrap_or_default();
            self.retained = Some(before.enter(era, read, &held, self.accepted.items()));
        } else if let Some(retained) = &mut self.retained {
            retained.settle(changes);
        }
        self.show();
    }

    /// Works out what is in force.
    fn show(&mut self) {
        self.clash.clear();
        let retained = self.retained.as_ref().map(Retained::changes).filter(|changes| !changes.is_empty());
        self.set = match retained.map(|changes| self.told.apply(&changes)) {
            None => Arc::clone(&self.told),
            Some(Ok(set)) => Arc::new(set),
            Some(Err(faults)) => {
                self.clash = faults;
                Arc::clone(&self.told)
            }
        };
    }
}

/// Says whether a delta leads on from a revision.
fn follows(at: Option<Revision>, delta: &Delta) -> bool {
    at == Some(delta.base) && delta.revision > delta.base
}

/// Says whether each delta leads on from the one before it, the first from a revision.
fn is_chain(from: Option<Revision>, deltas: &[Delta]) -> bool {
    let ends = deltas.iter().map(|delta| Some(delta.revision));
    std::iter::once(from).chain(ends).zip(deltas).all(|(at, delta)| follows(at, delta))
}
