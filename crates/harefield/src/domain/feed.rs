//! Keyed values whose revision only increases, with a bounded log of changes for peers that are a
//! little behind.

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

/// How many deltas of some 300 bytes each a feed keeps for its peers. That is the number of
/// upstreams that start at once when the index of the users' largest site is repartitioned, and
/// some more. A peer that is further behind is sent everything.
pub const LOG_LENGTH: usize = 1024;

/// A new value for a key, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// Its new value; none where it was removed.
    pub value: Option<Arc<str>>,
}

impl Change {
    /// Applies the change to values.
    pub fn apply_to(&self, items: &mut Items) {
        match &self.value {
            Some(value) => items.insert(Arc::clone(&self.key), Arc::clone(value)),
            None => items.remove(&self.key),
        };
    }
}

/// How large a set of changes is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSize {
    /// The number of changed values.
    pub values: usize,
    /// The bytes of the new values.
    pub bytes: usize,
}

impl ChangeSize {
    /// Returns the size of some changes.
    #[must_use]
    pub fn of(changes: &[Change]) -> Self {
        let bytes = changes.iter().filter_map(|change| change.value.as_ref()).map(|value| value.len()).sum();
        Self { values: changes.len(), bytes }
    }

    /// Adds the size of further changes.
    pub fn add(&mut self, other: Self) {
        self.values += other.values;
        self.bytes += other.bytes;
    }
}

/// Which changes a delta lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeltaKind {
    /// Everything that a single revision wrote.
    #[default]
    Single,
    /// Every key that changed at any of several revisions, even if it has its old value again. The
    /// delta applies at every revision from its base to its end.
    Cumulative,
    /// The keys that differ between base and end. The delta applies at its base only.
    Difference,
}

impl DeltaKind {
    /// Returns the kind of two consecutive deltas combined.
    #[must_use]
    pub fn combined(self, next: Self) -> Self {
        if self == Self::Difference || next == Self::Difference { Self::Difference } else { Self::Cumulative }
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
    /// Which changes are listed.
    pub kind: DeltaKind,
}

impl Delta {
    /// Returns whether the delta brings a daemon at `have` up to date.
    fn applies_to(&self, have: Revision) -> bool {
        self.base == have || (self.base < have && self.kind != DeltaKind::Difference)
    }
}

/// The response to a daemon that requests updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "NewsFormat", into = "NewsFormat")]
pub enum News {
    /// The requester has the newest revision already.
    Current,
    /// The deltas that lead from the requester's revision to the newest.
    Deltas(Vec<Delta>),
    /// Everything, because the requester is too far behind.
    Full {
        /// The revision of the items.
        revision: Revision,
        /// All of them.
        items: Items,
    },
    /// One of the above, together with the values retained from earlier eras.
    WithRetained {
        /// The updates of the platform's values.
        news: Box<News>,
        /// The values that take precedence over the platform's.
        retained: RetainedReport,
    },
}

impl News {
    /// Splits the updates of the platform's values from the retained values.
    #[must_use]
    pub fn split(self) -> (Self, Option<RetainedReport>) {
        match self {
            Self::WithRetained { news, retained } => (*news, Some(retained)),
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

    /// Replaces all values if the given ones are newer; returns whether they were.
    pub fn replace(&mut self, revision: Revision, items: &Items) -> bool {
        if self.revision.is_some_and(|own| revision <= own) {
            return false;
        }
        let changes = difference(&self.items, items);
        self.advance(revision, &changes, DeltaKind::Difference);
        true
    }

    /// Applies changes that lead to a newer revision.
    pub fn advance(&mut self, revision: Revision, changes: &[Change], kind: DeltaKind) {
        let mut logged = Vec::new();
        for change in changes {
            let differs = self.apply_change(change);
            // A key with an unchanged value is no change for this feed, but may be one for a peer
            // at a revision in between.
            if differs || kind == DeltaKind::Cumulative {
                logged.push(change.clone());
            }
        }
        if let Some(base) = self.revision {
            self.log_delta(Delta { base, revision, changes: logged, kind });
        }
        self.revision = Some(revision);
    }

    /// Applies a delta if its base is the newest revision; returns whether it was.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if self.revision != Some(delta.base) || delta.revision <= delta.base {
            return false;
        }
        self.advance(delta.revision, &delta.changes, delta.kind);
        true
    }

    /// Merges updates received from a peer; returns whether any was newer.
    pub fn merge_news(&mut self, news: News) -> bool {
        match news {
            News::Current => false,
            News::Full { revision, items } => self.replace(revision, &items),
            News::Deltas(deltas) => deltas.iter().filter(|delta| self.apply(delta)).count() > 0,
            News::WithRetained { news, .. } => self.merge_news(*news),
        }
    }

    /// Returns what brings a requester at `have` up to date.
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
        if self.log.get(from).is_none_or(|delta| !delta.applies_to(have)) {
            return self.full(own);
        }
        News::Deltas(vec![self.merge_from(from, have, own)])
    }

    /// Merges the deltas starting at index `from`. If a key changed several times, its last change
    /// counts.
    fn merge_from(&self, from: usize, base: Revision, revision: Revision) -> Delta {
        let deltas = || self.log.iter().skip(from);
        let all = deltas().flat_map(|delta| &delta.changes);
        let newest: BTreeMap<&Key, &Change> = all.map(|change| (&change.key, change)).collect();
        let kind = deltas().map(|delta| delta.kind).fold(DeltaKind::Cumulative, DeltaKind::combined);
        Delta { base, revision, changes: newest.into_values().cloned().collect(), kind }
    }

    fn full(&self, revision: Revision) -> News {
        News::Full { revision, items: self.items.clone() }
    }

    /// Applies a change; returns whether it made a difference. While they start, upstreams write
    /// their entries again and again, mostly with the same decoded content.
    fn apply_change(&mut self, change: &Change) -> bool {
        if self.items.get(&change.key) == change.value.as_ref() {
            return false;
        }
        change.apply_to(&mut self.items);
        true
    }

    /// Adds a delta to the log. A delta without changes only extends the previous one.
    fn log_delta(&mut self, delta: Delta) {
        if delta.changes.is_empty()
            && delta.kind != DeltaKind::Difference
            && let Some(last) = self.log.back_mut()
            && last.kind != DeltaKind::Difference
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
