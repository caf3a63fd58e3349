//! What stays in force though the platform came back from a copy that lacks it.
//!
//! The copy is some seconds old: what was written since is missing in it, what was taken
//! away since is there again. Operators and upstreams write again what they wrote. Until
//! they have, or have had the time to, what was in force goes before what the copy says:
//!
//! - a catalog of a lower edition is never put in force, however long it takes;
//! - an evacuation that the copy lacks goes on for [`OPERATOR_TIME`]; one that the copy has
//!   again is in force until the operator takes it back again. In doubt a zone is left alone:
//!   that costs capacity for a while, and to miss an evacuation sends work into a zone that
//!   may be going down;
//! - an upstream that the copy lacks, or has as it was before it began to leave or started
//!   again, stays as it was for the time that it needs to write;
//! - one that the copy has, and that was known to have left, is none until it writes, or
//!   until the platform would have dropped an entry that nobody writes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::feed::Change;
use super::feed::Items;
use super::ids::Edition;
use super::ids::Era;
use super::ids::Key;
use super::resources::Catalog;
use super::resources::Upstream;
use super::revision::Revision;

/// How many of their heartbeats upstreams have to write again: the platform drops an
/// entry that is not written for three, and one more for the way.
const HEARTBEATS: u32 = 4;

/// For how long an evacuation goes on that nobody has written again: an operator's tool
/// that retries has written long before; a person who sees the platform come back has
/// half a minute. A take-back of what the copy lacks may leave no trace in the platform,
/// so that it is not for ever.
pub const OPERATOR_TIME: Duration = Duration::from_secs(30);

/// How many eras back is remembered how far they were read: drills are minutes apart, and what
/// is carried on stays for half a minute.
const ERAS_KEPT: usize = 4;

/// How far the last eras were read, the newest first: what was in force up to there and is
/// not carried on is known to be gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Revision>", into = "Vec<Revision>")]
pub struct ReadHistory([Option<Revision>; ERAS_KEPT]);

impl ReadHistory {
    /// Returns the context of a daemon that has read an era up to a revision too.
    #[must_use]
    pub fn with(self, read: Revision) -> Self {
        self.joined(Self::from(vec![read]))
    }

    /// Says whether a revision was read.
    #[must_use]
    pub fn covers(self, revision: Revision) -> bool {
        self.reads().any(|read| read.era == revision.era && read.number >= revision.number)
    }

    /// Says whether one that has read this far knows something that another one lacks.
    #[must_use]
    pub fn exceeds(self, other: Self) -> bool {
        self.reads().any(|read| !other.covers(read))
    }

    fn joined(self, other: Self) -> Self {
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
    fn from(context: ReadHistory) -> Self {
        context.reads().collect()
    }
}

/// How far a daemon is in what is in force beside what the platform has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedMark {
    /// How far it has read the eras that it carries on from; nothing where it entered none.
    pub context: ReadHistory,
    /// The edition in force.
    pub edition: Edition,
}

impl RetainedMark {
    /// Says whether a daemon with this one knows something that one with another lacks.
    #[must_use]
    pub fn exceeds(self, other: Self) -> bool {
        self.context.exceeds(other.context) || self.edition > other.edition
    }
}

/// A value that is carried on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedValue {
    /// The value.
    pub value: Arc<str>,
    /// Up to when it is known to have been in force.
    pub of: Revision,
}

/// What is carried on from the eras before into one era.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retained {
    /// The era that it is carried into.
    pub era: Era,
    /// How far those before were read.
    pub context: ReadHistory,
    /// The values that go before those of the platform.
    pub kept: BTreeMap<Key, RetainedValue>,
    /// The upstreams of the platform's copy that had left, with up to when that is known.
    pub doubted: BTreeMap<Key, Revision>,
    /// When the era was entered; none before that is noted.
    pub since: Option<Instant>,
    /// What the platform has told of in this era: nothing from before it holds of that.
    settled: BTreeSet<Key>,
}

/// What is carried on, as daemons tell each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedReport {
    /// The era that it is carried into.
    pub era: Era,
    /// How far those before were read.
    pub context: ReadHistory,
    /// The values that go before those of the platform.
    pub kept: BTreeMap<Key, RetainedValue>,
    /// The upstreams of the platform's copy that had left, with up to when that is known.
    pub doubted: BTreeMap<Key, Revision>,
    /// How long ago the era was entered, in milliseconds.
    pub age: u64,
}

/// For how long what is carried on stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionTimes {
    /// An upstream: as long as it needs to write again.
    pub upstream: Duration,
    /// An evacuation: as long as its operator needs to.
    pub operator: Duration,
}

impl RetentionTimes {
    /// Returns the times where upstreams write once each `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self { upstream: heartbeat * HEARTBEATS, operator: OPERATOR_TIME }
    }
}

impl Retained {
    /// Returns that nothing is carried into an era, as at a daemon that started in it.
    #[must_use]
    pub fn nothing(era: Era) -> Self {
        Self { era, ..Self::default() }
    }

    /// Works out what stays of what a daemon `held` of the platform at `read`, and of what
    /// it carried on beside it, where the platform has `listed` in an era.
    #[must_use]
    pub fn enter(self, era: Era, read: Revision, held: &Items, listed: &Items) -> Self {
        let mut in_force: BTreeMap<Key, RetainedValue> = held
            .iter()
            .filter(|(key, _)| !self.doubted.contains_key(*key))
            .map(|(key, value)| (Arc::clone(key), RetainedValue { value: Arc::clone(value), of: read }))
            .collect();
        in_force.extend(self.kept);
        let back = listed.keys().filter(|key| is_upstream(key) && !in_force.contains_key(*key));
        let doubted = back.map(|key| (Arc::clone(key), read)).collect();
        in_force.retain(|key, kept| outweighs(key, &kept.value, listed.get(key)));
        Self { era, context: self.context.with(read), kept: in_force, doubted, ..Self::default() }
    }

    /// Returns what makes what is in force of what the platform has.
    #[must_use]
    pub fn changes(&self) -> Vec<Change> {
        let kept = self
            .kept
            .iter()
            .map(|(key, kept)| Change { key: Arc::clone(key), value: Some(Arc::clone(&kept.value)) });
        let left = self.doubted.keys().map(|key| Change { key: Arc::clone(key), value: None });
        kept.chain(left).collect()
    }

    /// Takes what the platform has told in this era: it goes before what is carried on, but
    /// for a catalog of a lower edition.
    pub fn settle(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            self.doubted.remove(key);
            let stays = is_catalog(key)
                && self.kept.get(key).is_some_and(|kept| outweighs(key, &kept.value, value.as_ref()));
            if !stays {
                self.kept.remove(key);
            }
            self.settled.insert(Arc::clone(key));
        }
    }

    /// Joins what another daemon carries into the same era, where the platform has
    /// `listed` here.
    ///
    /// What both carry stays, and what one carries and the other has not read as far: one
    /// that has, and does not carry it, knows that it is over. Of each catalog the highest
    /// edition stays.
    pub fn join(&mut self, other: &Self, listed: &Items) {
        let (own, theirs) = (self.context, other.context);
        self.kept
            .retain(|key, kept| is_catalog(key) || other.kept.contains_key(key) || !theirs.covers(kept.of));
        self.doubted.retain(|key, of| other.doubted.contains_key(key) || !theirs.covers(*of));
        for (key, kept) in &other.kept {
            let held = self.kept.get(key).map(|kept| &kept.value);
            let open = is_catalog(key) || !(own.covers(kept.of) || self.settled.contains(key));
            if open && outweighs(key, &kept.value, held) && outweighs(key, &kept.value, listed.get(key)) {
                self.kept.insert(Arc::clone(key), kept.clone());
            }
        }
        let doubts = other.doubted.iter();
        let doubts = doubts.filter(|(key, of)| !own.covers(**of) && !self.settled.contains(*key));
        let doubts = doubts.map(|(key, of)| (Arc::clone(key), *of));
        self.doubted.extend(doubts.collect::<Vec<(Key, Revision)>>());
        self.context = own.joined(theirs);
        self.since = self.since.into_iter().chain(other.since).min();
    }

    /// Drops what has had its time; returns the upstreams that are gone by it. The time runs
    /// from when this was asked first.
    pub fn expire(&mut self, now: Instant, times: RetentionTimes) -> Vec<Key> {
        let age = now.saturating_duration_since(*self.since.get_or_insert(now));
        let (upstreams, evacuations) = (age >= times.upstream, age >= times.operator);
        let mut gone = Vec::new();
        if upstreams {
            self.doubted.clear();
            gone.extend(self.kept.keys().filter(|key| is_upstream(key)).map(Arc::clone));
        }
        self.kept.retain(|key, _| !(upstreams && is_upstream(key) || evacuations && is_evacuation(key)));
        if upstreams && evacuations {
            self.settled.clear();
        }
        gone
    }

    /// Lets its time begin anew: nobody could write up to now.
    pub fn postpone(&mut self, now: Instant) {
        self.since = Some(now);
    }

    /// Returns when something will have had its time; none where all that is left stays
    /// until it is written again.
    #[must_use]
    pub fn next_expiry(&self, times: RetentionTimes) -> Option<Instant> {
        let since = self.since?;
        let upstreams = !self.doubted.is_empty() || self.kept.keys().any(is_upstream);
        let evacuations = self.kept.keys().any(is_evacuation);
        let of_upstreams = upstreams.then(|| since + times.upstream);
        of_upstreams.into_iter().chain(evacuations.then(|| since + times.operator)).min()
    }

    /// Returns what others are told.
    #[must_use]
    pub fn report(&self, now: Instant) -> RetainedReport {
        let age = self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        RetainedReport {
            era: self.era,
            context: self.context,
            kept: self.kept.clone(),
            doubted: self.doubted.clone(),
            age: super::time::millis(age),
        }
    }
}

impl RetainedReport {
    /// Returns what another daemon carries, as it was heard at `now`.
    #[must_use]
    pub fn heard(self, now: Instant) -> Retained {
        let since = now.checked_sub(Duration::from_millis(self.age)).unwrap_or(now);
        let Self { era, context, kept, doubted, .. } = self;
        Retained { era, context, kept, doubted, since: Some(since), settled: BTreeSet::new() }
    }
}

/// Says whether what is held under a key goes before what a copy says.
fn outweighs(key: &Key, held: &str, listed: Option<&Arc<str>>) -> bool {
    // Most are the same, and none of those is parsed: there may be 80,000 upstreams.
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

/// Says whether an upstream's entry is a later one than another: of a later start, or of
/// one that has begun to leave.
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

fn is_catalog(key: &Key) -> bool {
    key.starts_with("catalogs/")
}

fn is_evacuation(key: &Key) -> bool {
    key.starts_with("evacuations/")
}

fn is_upstream(key: &Key) -> bool {
    key.starts_with("upstreams/")
}
