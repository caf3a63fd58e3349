//! Keyed values that only move forward by revision, with a bounded log of
//! changes for peers that are a little behind.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ids::Key;
use super::ids::Revision;
use super::resources::Fault;
use super::resources::ResourceSet;

/// The values of one space at one revision.
pub type Items = BTreeMap<Key, Arc<str>>;

/// How many deltas a feed remembers for its peers.
pub const LOG_LENGTH: usize = 64;

/// A new value for a key, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// Its new value; none where it was removed.
    pub value: Option<Arc<str>>,
}

/// The changes that lead from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that the changes apply to.
    pub base: Revision,
    /// The revision that they lead to.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<Change>,
}

/// What a daemon that asks for news is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// There is nothing newer here.
    Current,
    /// The deltas that lead from the asker's revision to the newest.
    Deltas(Vec<Delta>),
    /// Everything, since the asker is too far behind.
    Full {
        /// The revision of the items.
        revision: Revision,
        /// All of them.
        items: Items,
    },
}

/// The newest known values of one space.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    revision: Option<Revision>,
    items: Items,
    log: VecDeque<Delta>,
}

impl Feed {
    /// Returns the revision of the values; none before the first.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the values.
    #[must_use]
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Takes a whole set of values if it is newer; returns whether it was.
    pub fn replace(&mut self, revision: Revision, items: Items) -> bool {
        if self.revision.is_some_and(|own| revision <= own) {
            return false;
        }
        if let Some(base) = self.revision {
            let changes = difference(&self.items, &items);
            self.remember(Delta { base, revision, changes });
        }
        self.revision = Some(revision);
        self.items = items;
        true
    }

    /// Applies a delta if it fits on the newest revision; returns whether it did.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if self.revision != Some(delta.base) || delta.revision <= delta.base {
            return false;
        }
        for change in &delta.changes {
            self.change(change);
        }
        self.revision = Some(delta.revision);
        self.remember(delta.clone());
        true
    }

    /// Takes what a peer sent; returns whether anything was newer.
    pub fn learn(&mut self, news: News) -> bool {
        match news {
            News::Current => false,
            News::Full { revision, items } => self.replace(revision, items),
            News::Deltas(deltas) => deltas.iter().filter(|delta| self.apply(delta)).count() > 0,
        }
    }

    /// Returns what brings an asker at `have` up to date.
    #[must_use]
    pub fn since(&self, have: Option<Revision>) -> News {
        let Some(own) = self.revision else {
            return News::Current;
        };
        let Some(have) = have else {
            return self.full(own);
        };
        if have >= own {
            return News::Current;
        }
        match self.log.iter().position(|delta| delta.base == have) {
            Some(from) => News::Deltas(self.log.iter().skip(from).cloned().collect()),
            None => self.full(own),
        }
    }

    fn full(&self, revision: Revision) -> News {
        News::Full { revision, items: self.items.clone() }
    }

    fn change(&mut self, change: &Change) {
        match &change.value {
            Some(value) => self.items.insert(Arc::clone(&change.key), Arc::clone(value)),
            None => self.items.remove(&change.key),
        };
    }

    fn remember(&mut self, delta: Delta) {
        if self.log.len() == LOG_LENGTH {
            self.log.pop_front();
        }
        self.log.push_back(delta);
    }
}

fn difference(old: &Items, new: &Items) -> Vec<Change> {
    let removed = old
        .keys()
        .filter(|key| !new.contains_key(*key))
        .map(|key| Change { key: Arc::clone(key), value: None });
    let changed = new
        .iter()
        .filter(|(key, value)| old.get(*key) != Some(value))
        .map(|(key, value)| Change { key: Arc::clone(key), value: Some(Arc::clone(value)) });
    removed.chain(changed).collect()
}

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

/// The configuration: what the platform published, and what is in force.
///
/// The two differ while the newest published revision has faults.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    published: Feed,
    accepted: Feed,
    set: Arc<ResourceSet>,
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
        self.published.revision()
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
    pub fn offer_all(&mut self, revision: Revision, items: Items) -> Offer {
        if !self.published.replace(revision, items) {
            return Offer::Old;
        }
        self.judge()
    }

    /// Takes one change set watched from the platform.
    pub fn offer(&mut self, delta: &Delta) -> Offer {
        if !self.published.apply(delta) {
            return Offer::Old;
        }
        self.judge()
    }

    /// Takes an accepted set that a peer has in force; returns whether it was newer.
    pub fn learn(&mut self, news: News) -> bool {
        let mut next = self.accepted.clone();
        if !next.learn(news) {
            return false;
        }
        let Ok(set) = ResourceSet::parse(next.items()) else {
            return false;
        };
        self.accepted = next;
        self.set = Arc::new(set);
        if let Some(revision) = self.accepted.revision() {
            self.published.replace(revision, self.accepted.items().clone());
        }
        true
    }

    fn judge(&mut self) -> Offer {
        let Some(revision) = self.published.revision() else {
            return Offer::Old;
        };
        match ResourceSet::parse(self.published.items()) {
            Ok(set) => {
                if !self.accepted.replace(revision, self.published.items().clone()) {
                    return Offer::Old;
                }
                self.set = Arc::new(set);
                Offer::Accepted
            }
            Err(faults) => {
                self.refused = Some(Refused { revision, faults: faults.clone() });
                Offer::Refused(faults)
            }
        }
    }
}
