//! The configuration: what is in force, and what the platform has published
//! since.

use std::sync::Arc;

use super::feed::Change;
use super::feed::Delta;
use super::feed::Feed;
use super::feed::Items;
use super::feed::News;
use super::feed::difference;
use super::ids::Revision;
use super::resources::Fault;
use super::resources::ResourceSet;

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
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    accepted: Feed,
    set: Arc<ResourceSet>,
    seen: Option<Revision>,
    pending: Vec<Change>,
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
        self.judge(revision)
    }

    /// Takes one change set watched from the platform.
    pub fn offer(&mut self, delta: &Delta) -> Offer {
        if !follows(self.seen, delta) {
            return Offer::Old;
        }
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
        let Ok(set) = self.set.apply(&changes) else { return false };
        self.set = Arc::new(set);
        for delta in deltas {
            self.accepted.advance(delta.revision, &delta.changes);
        }
        self.seen = self.revision();
        true
    }

    /// Takes accepted sets that a peer has in force; returns whether any was newer.
    pub fn learn(&mut self, news: News) -> bool {
        let learnt = match news {
            News::Current => false,
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
        follows(self.revision(), delta) && self.accept(delta.revision, &delta.changes).is_ok()
    }

    fn learn_all(&mut self, revision: Revision, items: &Items) -> bool {
        let newer = self.revision().is_none_or(|own| revision > own);
        let changes = difference(self.accepted.items(), items);
        newer && self.accept(revision, &changes).is_ok()
    }

    fn judge(&mut self, revision: Revision) -> Offer {
        self.seen = Some(revision);
        let pending = std::mem::take(&mut self.pending);
        match self.accept(revision, &pending) {
            Ok(()) => Offer::Accepted,
            Err(faults) => {
                self.pending = pending;
                self.refused = Some(Refused { revision, faults: faults.clone() });
                Offer::Refused(faults)
            }
        }
    }

    /// Puts what changes lead to in force, unless it has faults.
    fn accept(&mut self, revision: Revision, changes: &[Change]) -> Result<(), Vec<Fault>> {
        let set = self.set.apply(changes)?;
        self.set = Arc::new(set);
        self.accepted.advance(revision, changes);
        Ok(())
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
