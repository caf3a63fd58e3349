//! Values that stay in force after the platform was restored from a backup copy that lacks them.
//!
//! The copy is a few seconds old: it lacks what was written since, and contains again what was
//! removed since. Operators and upstreams repeat their writes. Until they have done so, or have had
//! the time to, the values that were in force take precedence over the copy:
//!
//! - A catalog of a lower edition never comes into force, however long it takes.
//! - An evacuation that the copy lacks continues for [`OPERATOR_TIME`]. One that the copy contains
//!   again is in force until the operator lifts it again. In doubt a zone is avoided: that costs
//!   capacity for a while, whereas missing an evacuation sends work into a zone that may be going
//!   down.
//! - An upstream that the copy lacks, or contains as it was before it began to leave or restarted,
//!   keeps its newer entry for the time that it needs to write again.
//! - An upstream that the copy contains but that was known to have left is ignored until it writes,
//!   or until the platform would have dropped an entry that nobody writes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::catalogs::is_catalog;
use super::feed::Change;
use super::feed::Items;
use super::ids::Edition;
use super::ids::Era;
use super::ids::Key;
use super::resources::Catalog;
use super::resources::Upstream;
use super::revision::Revision;

/// How many heartbeat intervals upstreams have to write again: the platform drops an entry that is
/// not written for three, and one more allows for transmission.
const HEARTBEATS: u32 = 4;

/// How long an evacuation continues that nobody has written again. An operator's tool that retries
/// has written long before that; a person who sees the platform come back has half a minute. The
/// time is limited because lifting an evacuation that the copy lacks may leave no trace in the
/// platform.
pub const OPERATOR_TIME: Duration = Duration::from_secs(30);

/// How many past eras a [`ReadHistory`] covers. Recovery drills are minutes apart, and retained
/// values are kept for half a minute.
const MAX_ERAS: usize = 4;

/// The last revision read in each of the most recent eras, newest era first. A value that was in
/// force up to one of these revisions and is not retained is known to have been removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Revision>", into = "Vec<Revision>")]
pub struct ReadHistory([Option<Revision>; MAX_ERAS]);

impl ReadHistory {
    /// Returns this history extended by a revision up to which an era was read.
    #[must_use]
    pub fn with(self, read: Revision) -> Self {
        self.merged(Self::from(vec![read]))
    }

    /// Returns whether a revision has been read.
    #[must_use]
    pub fn covers(self, revision: Revision) -> bool {
        self.reads().any(|read| read.era == revision.era && read.number >= revision.number)
    }

    /// Returns whether this history covers a revision that `other` does not.
    #[must_use]
    pub fn exceeds(self, other: Self) -> bool {
        self.reads().any(|read| !other.covers(read))
    }

    fn merged(self, other: Self) -> Self {
        self.reads().chain(other.reads()).collect::<Vec<Revision>>().into()
    }

    fn reads(self) -> impl Iterator<Item = Revision> {
        self.0.into_iter().flatten()
    }
}

impl From<Vec<Revision>> for ReadHistory {
    fn from(reads: Vec<Revision>) -> Self {
        let newest: BTreeMap<Era, Revision> = reads.into_iter().fold(BTreeMap::new(), |mut newest, read| {
            let known = newest.entry(read.era).or_insert(read);
            *known = read.max(*known);
            newest
        });
        let mut newest = newest.into_values().rev();
        Self(std::array::from_fn(|_| newest.next()))
    }
}

impl From<ReadHistory> for Vec<Revision> {
    fn from(history: ReadHistory) -> Self {
        history.reads().collect()
    }
}

/// How much a daemon knows about values that take precedence over the platform's; compared between
/// daemons to decide who has something newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedMark {
    /// How far the daemon has read the eras that it retains values from. Empty if it entered no
    /// era.
    #[serde(rename = "context")]
    pub history: ReadHistory,
    /// The edition in force.
    pub edition: Edition,
}

impl RetainedMark {
    /// Returns whether a daemon with this mark knows something that one with `other` lacks.
    #[must_use]
    pub fn exceeds(self, other: Self) -> bool {
        self.history.exceeds(other.history) || self.edition > other.edition
    }
}

/// A retained value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedValue {
    /// The value.
    pub value: Arc<str>,
    /// The revision up to which the value is known to have been in force.
    #[serde(rename = "of")]
    pub known_at: Revision,
}

/// The values retained from earlier eras in the current era.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retained {
    /// The era that the values are retained in.
    pub era: Era,
    /// How far the earlier eras were read.
    pub history: ReadHistory,
    /// The values that take precedence over those of the platform.
    pub values: BTreeMap<Key, RetainedValue>,
    /// The upstreams that the platform's copy contains although they had left, with the revision up
    /// to which that is known.
    pub departed: BTreeMap<Key, Revision>,
    /// When the era was entered. `None` until [`expire`](Self::expire) is first called, the timer
    /// is restarted, or the time of another daemon is merged.
    pub entered_at: Option<Instant>,
    /// The keys that the platform has reported in this era. Nothing from before the era applies to
    /// them.
    reported: BTreeSet<Key>,
}

/// The retained values as daemons send them to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedReport {
    /// The era that the values are retained in.
    pub era: Era,
    /// How far the earlier eras were read.
    #[serde(rename = "context")]
    pub history: ReadHistory,
    /// The values that take precedence over those of the platform.
    #[serde(rename = "kept")]
    pub values: BTreeMap<Key, RetainedValue>,
    /// The upstreams that the platform's copy contains although they had left, with the revision up
    /// to which that is known.
    #[serde(rename = "doubted")]
    pub departed: BTreeMap<Key, Revision>,
    /// How long ago the era was entered, in milliseconds.
    pub age: u64,
}

/// How long values are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionTimes {
    /// For an upstream: the time that it needs to write again.
    pub upstream: Duration,
    /// For an evacuation: the time that its operator needs to write again.
    pub operator: Duration,
}

impl RetentionTimes {
    /// Returns the times for upstreams that write once per `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self { upstream: heartbeat * HEARTBEATS, operator: OPERATOR_TIME }
    }
}

impl Retained {
    /// Returns an empty set, as held by a daemon that started in the era.
    #[must_use]
    pub fn empty(era: Era) -> Self {
        Self { era, ..Self::default() }
    }

    /// Computes what is retained on entering an era, from what the daemon `held` of the platform at
    /// revision `read`, what it had retained besides, and what the platform has `listed` in the new
    /// era.
    #[must_use]
    pub fn enter(self, era: Era, read: Revision, held: &Items, listed: &Items) -> Self {
        let mut in_force: BTreeMap<Key, RetainedValue> = held
            .iter()
            .filter(|(key, _)| !self.departed.contains_key(*key))
            .map(|(key, value)| (Arc::clone(key), RetainedValue { value: Arc::clone(value), known_at: read }))
            .collect();
        in_force.extend(self.values);
        let returned = listed.keys().filter(|key| is_upstream(key) && !in_force.contains_key(*key));
        let departed = returned.map(|key| (Arc::clone(key), read)).collect();
        in_force.retain(|key, entry| takes_precedence(key, &entry.value, listed.get(key)));
        Self { era, history: self.history.with(read), values: in_force, departed, ..Self::default() }
    }

    /// Returns the changes that turn the platform's values into those in force.
    #[must_use]
    pub fn changes(&self) -> Vec<Change> {
        let values = self
            .values
            .iter()
            .map(|(key, entry)| Change { key: Arc::clone(key), value: Some(Arc::clone(&entry.value)) });
        let left = self.departed.keys().map(|key| Change { key: Arc::clone(key), value: None });
        values.chain(left).collect()
    }

    /// Applies what the platform has reported in this era. It takes precedence over retained
    /// values, except that a catalog of a lower edition does not replace a retained one.
    pub fn supersede(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            self.departed.remove(key);
            let is_newer = is_catalog(key)
                && self
                    .values
                    .get(key)
                    .is_some_and(|entry| takes_precedence(key, &entry.value, value.as_ref()));
            if !is_newer {
                self.values.remove(key);
            }
            self.reported.insert(Arc::clone(key));
        }
    }

    /// Merges what another daemon retains in the same era, where the platform has `listed` its
    /// values here.
    ///
    /// A value stays if both daemons retain it, or if one retains it and the other has not read as
    /// far. A daemon that has read as far and does not retain a value knows that it was removed. Of
    /// each catalog the highest edition stays.
    pub fn merge(&mut self, other: &Self, listed: &Items) {
        let (own, theirs) = (self.history, other.history);
        self.values.retain(|key, entry| {
            is_catalog(key) || other.values.contains_key(key) || !theirs.covers(entry.known_at)
        });
        self.departed.retain(|key, known_at| other.departed.contains_key(key) || !theirs.covers(*known_at));
        for (key, entry) in &other.values {
            let held = self.values.get(key).map(|entry| &entry.value);
            let accepts = is_catalog(key) || !(own.covers(entry.known_at) || self.reported.contains(key));
            if accepts
                && takes_precedence(key, &entry.value, held)
                && takes_precedence(key, &entry.value, listed.get(key))
            {
                self.values.insert(Arc::clone(key), entry.clone());
            }
        }
        let additions = other.departed.iter();
        let additions =
            additions.filter(|(key, known_at)| !own.covers(**known_at) && !self.reported.contains(*key));
        let additions = additions.map(|(key, known_at)| (Arc::clone(key), *known_at));
        self.departed.extend(additions.collect::<Vec<(Key, Revision)>>());
        self.history = own.merged(theirs);
        self.entered_at = self.entered_at.into_iter().chain(other.entered_at).min();
    }

    /// Drops the values whose time is over; returns the upstreams that are gone as a result. The
    /// time starts at the first call.
    pub fn expire(&mut self, now: Instant, times: RetentionTimes) -> Vec<Key> {
        let age = now.saturating_duration_since(*self.entered_at.get_or_insert(now));
        let (upstreams, evacuations) = (age >= times.upstream, age >= times.operator);
        let mut removed = Vec::new();
        if upstreams {
            self.departed.clear();
            removed.extend(self.values.keys().filter(|key| is_upstream(key)).map(Arc::clone));
        }
        self.values.retain(|key, _| !(upstreams && is_upstream(key) || evacuations && is_evacuation(key)));
        if upstreams && evacuations {
            self.reported.clear();
        }
        removed
    }

    /// Restarts the time, since nobody could write until now.
    pub fn restart_timer(&mut self, now: Instant) {
        self.entered_at = Some(now);
    }

    /// Returns when the next value expires. `None` if all that is left stays until it is written
    /// again.
    #[must_use]
    pub fn next_expiry(&self, times: RetentionTimes) -> Option<Instant> {
        let since = self.entered_at?;
        let upstreams = !self.departed.is_empty() || self.values.keys().any(is_upstream);
        let evacuations = self.values.keys().any(is_evacuation);
        let of_upstreams = upstreams.then(|| since + times.upstream);
        of_upstreams.into_iter().chain(evacuations.then(|| since + times.operator)).min()
    }

    /// Returns the report that is sent to other daemons.
    #[must_use]
    pub fn report(&self, now: Instant) -> RetainedReport {
        let age = self.entered_at.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        RetainedReport {
            era: self.era,
            history: self.history,
            values: self.values.clone(),
            departed: self.departed.clone(),
            age: super::time::millis(age),
        }
    }
}

impl RetainedReport {
    /// Converts a report that was received at `now`.
    #[must_use]
    pub fn into_retained(self, now: Instant) -> Retained {
        let since = now.checked_sub(Duration::from_millis(self.age)).unwrap_or(now);
        let Self { era, history, values, departed, .. } = self;
        Retained { era, history, values, departed, entered_at: Some(since), reported: BTreeSet::new() }
    }
}

/// Returns whether the value held under a key takes precedence over the copy's.
fn takes_precedence(key: &Key, held: &str, listed: Option<&Arc<str>>) -> bool {
    // Most values are equal; skipping those avoids parsing up to 80,000 upstreams.
    if listed.is_some_and(|listed| **listed == *held) {
        return false;
    }
    if is_catalog(key) {
        return listed.is_none_or(|listed| edition(held) > edition(listed));
    }
    if is_evacuation(key) {
        return listed.is_none();
    }
    is_upstream(key) && listed.is_none_or(|listed| is_newer_upstream(held, listed))
}

/// Returns whether `held` is a later entry of an upstream than `listed`: of a later start, or of an
/// upstream that has begun to leave.
fn is_newer_upstream(held: &str, listed: &str) -> bool {
    let read = |text: &str| serde_json::from_str::<Upstream>(text).ok();
    let (Some(held), Some(listed)) = (read(held), read(listed)) else { return false };
    if held.born != listed.born {
        return held.born > listed.born;
    }
    held.leaving && !listed.leaving
}

fn edition(catalog: &str) -> Option<Edition> {
    serde_json::from_str::<Catalog>(catalog).ok().map(|catalog| catalog.edition)
}

fn is_evacuation(key: &Key) -> bool {
    key.starts_with("evacuations/")
}

fn is_upstream(key: &Key) -> bool {
    key.starts_with("upstreams/")
}
