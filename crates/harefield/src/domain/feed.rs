//! Keyed values that only move forward by revision, with a bounded log of
//! changes for peers that are a little behind.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ids::Key;
use super::news_format::NewsFormat;
use super::retained::RetainedReport;
use super::revision::Revision;

/// The values of one space at one revision.
pub type Items = BTreeMap<Key, Arc<str>>;

/// How many deltas a feed remembers for its peers: as many upstreams as start at once where
/// the index is cut anew at the users' largest site, and some more, of some 300 bytes each;
/// one that is farther behind is sent everything.
pub const LOG_LENGTH: usize = 1024;

/// A new value for a key, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// Its new value; none where it was removed.
    pub value: Option<Arc<str>>,
}

/// What a delta's changes name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Span {
    /// All that one revision wrote.
    #[default]
    Step,
    /// Every key that changed at any of several revisions, also one that has its value
    /// again: the delta applies at each revision between its ends.
    Whole,
    /// The keys that differ between its ends, and applies at its base alone.
    Ends,
}

impl Span {
    /// Returns what two deltas in a row name together.
    #[must_use]
    pub fn joined(self, next: Self) -> Self {
        if self == Self::Ends || next == Self::Ends { Self::Ends } else { Self::Whole }
    }
}

/// The changes that lead from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The revision that the changes apply to.
    pub base: Revision,
    /// The revision that they lead to.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<Change>,
    /// What they name.
    pub span: Span,
}

impl Delta {
    /// Says whether it brings a daemon at `have` along.
    fn applies(&self, have: Revision) -> bool {
        self.base == have || (self.base < have && self.span != Span::Ends)
    }
}

/// What a daemon that asks for news is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "NewsFormat", into = "NewsFormat")]
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
    /// The same, and what is carried on from earlier eras beside it.
    Carrying {
        /// What is newer.
        news: Box<News>,
        /// What goes before what the platform has.
        retained: RetainedReport,
    },
}

impl News {
    /// Returns the news of the platform, and what is carried on beside them.
    #[must_use]
    pub fn split(self) -> (Self, Option<RetainedReport>) {
        match self {
            Self::Carrying { news, retained } => (*news, Some(retained)),
            news => (news, None),
        }
    }
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
    pub fn replace(&mut self, revision: Revision, items: &Items) -> bool {
        if self.revision.is_some_and(|own| revision <= own) {
            return false;
        }
        let changes = difference(&self.items, items);
        self.advance(revision, &changes, Span::Ends);
        true
    }

    /// Applies changes that lead to a newer revision.
    pub fn advance(&mut self, revision: Revision, changes: &[Change], span: Span) {
        let mut told = Vec::new();
        for change in changes {
            let news = self.change(change);
            // A value that came back is none for this feed, and one for those between.
            if news || span == Span::Whole {
                told.push(change.clone());
            }
        }
        if let Some(base) = self.revision {
            self.remember(Delta { base, revision, changes: told, span });
        }
        self.revision = Some(revision);
    }

    /// Applies a delta if it fits on the newest revision; returns whether it did.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if self.revision != Some(delta.base) || delta.revision <= delta.base {
            return false;
        }
        self.advance(delta.revision, &delta.changes, delta.span);
        true
    }

    /// Takes what a peer sent; returns whether anything was newer.
    pub fn learn(&mut self, news: News) -> bool {
        match news {
            News::Current => false,
            News::Full { revision, items } => self.replace(revision, &items),
            News::Deltas(deltas) => deltas.iter().filter(|delta| self.apply(delta)).count() > 0,
            News::Carrying { news, .. } => self.learn(*news),
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
        let from = self.log.partition_point(|delta| delta.revision <= have);
        if self.log.get(from).is_none_or(|delta| !delta.applies(have)) {
            return self.full(own);
        }
        News::Deltas(vec![self.merged(from, have, own)])
    }

    /// Merges the deltas from one on: of a key that changed several times, the last counts.
    fn merged(&self, from: usize, base: Revision, revision: Revision) -> Delta {
        let deltas = || self.log.iter().skip(from);
        let all = deltas().flat_map(|delta| &delta.changes);
        let newest: BTreeMap<&Key, &Change> = all.map(|change| (&change.key, change)).collect();
        let span = deltas().map(|delta| delta.span).fold(Span::Whole, Span::joined);
        Delta { base, revision, changes: newest.into_values().cloned().collect(), span }
    }

    fn full(&self, revision: Revision) -> News {
        News::Full { revision, items: self.items.clone() }
    }

    /// Applies a change; returns whether it is one: upstreams write their entries again and
    /// again while they start, most of the time with the same in what is decoded of it.
    fn change(&mut self, change: &Change) -> bool {
        if self.items.get(&change.key) == change.value.as_ref() {
            return false;
        }
        match &change.value {
            Some(value) => self.items.insert(Arc::clone(&change.key), Arc::clone(value)),
            None => self.items.remove(&change.key),
        };
        true
    }

    /// Keeps a delta for those behind; one that changes nothing is a part of the one before.
    fn remember(&mut self, delta: Delta) {
        if delta.changes.is_empty()
            && delta.span != Span::Ends
            && let Some(last) = self.log.back_mut()
            && last.span != Span::Ends
        {
            last.revision = delta.revision;
            return;
        }
        if self.log.len() == LOG_LENGTH {
            self.log.pop_front();
        }
        self.log.push_back(delta);
    }
}

/// Returns the changes that lead from `old` to `new`.
#[must_use]
pub fn difference(old: &Items, new: &Items) -> Vec<Change> {
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
