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

/// Orders what daemons carry into one era: who has the higher one knows better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// How many eras it was carried through: a daemon that started in the era before may
    /// have read more of it than others and still lack what they carried into it.
    pub eras: u64,
    /// The last revision of an earlier era that it is of.
    pub from: Revision,
}

/// How far a daemon is in what is in force beside what the platform has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedMark {
    /// The rank of what it carries on; none where it entered no era.
    pub rank: Option<Rank>,
    /// The edition in force.
    pub edition: Edition,
}

impl CarriedMark {
    /// Says whether a daemon with this one knows something that one with another lacks.
    #[must_use]
    pub fn exceeds(self, other: Self) -> bool {
        self.rank > other.rank || self.edition > other.edition
    }
}

/// What is carried on from the eras before into one era.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// The era that it is carried into.
    pub era: Era,
    /// Orders it among what other daemons carry into that era.
    pub rank: Rank,
    /// The values that go before those of the platform.
    pub items: Items,
    /// The upstreams of the platform's copy that had left.
    pub doubted: BTreeSet<Key>,
    /// When the era was entered; none before that is noted.
    pub since: Option<Instant>,
    /// What the platform has told anew since.
    settled: BTreeSet<Key>,
}

/// What is carried on, as daemons tell each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedReport {
    /// The era that it is carried into.
    pub era: Era,
    /// Orders it among what other daemons carry into that era.
    pub rank: Rank,
    /// The values that go before those of the platform.
    pub items: Items,
    /// The upstreams of the platform's copy that had left.
    pub doubted: BTreeSet<Key>,
    /// How long ago the era was entered, in milliseconds.
    pub age: u64,
}

/// For how long what is carried on stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CarryTimes {
    /// An upstream: as long as it needs to write again.
    pub upstream: Duration,
    /// An evacuation: as long as its operator needs to.
    pub operator: Duration,
}

impl CarryTimes {
    /// Returns the times where upstreams write once each `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self { upstream: heartbeat * HEARTBEATS, operator: OPERATOR_TIME }
    }
}

impl Carried {
    /// Works out what stays of `held`, which was in force before, where the platform has
    /// `listed` in an era.
    #[must_use]
    pub fn new(era: Era, rank: Rank, held: &Items, listed: &Items) -> Self {
        let stays = |(key, value): &(&Key, &Arc<str>)| outweighs(key, value, listed.get(*key));
        let kept = held.iter().filter(stays);
        let items = kept.map(|(key, value)| (Arc::clone(key), Arc::clone(value))).collect();
        let back = listed.keys().filter(|key| is_upstream(key) && !held.contains_key(*key));
        let doubted = back.map(Arc::clone).collect();
        Self { era, rank, items, doubted, ..Self::default() }
    }

    /// Returns that nothing is carried into an era, as at a daemon that started in it.
    #[must_use]
    pub fn nothing(era: Era) -> Self {
        Self { era, ..Self::default() }
    }

    /// Returns what makes what is in force of what the platform has.
    #[must_use]
    pub fn changes(&self) -> Vec<Change> {
        let kept = self
            .items
            .iter()
            .map(|(key, value)| Change { key: Arc::clone(key), value: Some(Arc::clone(value)) });
        let left = self.doubted.iter().map(|key| Change { key: Arc::clone(key), value: None });
        kept.chain(left).collect()
    }

    /// Takes what the platform has told in this era: it goes before what is carried on, but
    /// for a catalog of a lower edition.
    pub fn settle(&mut self, changes: &[Change]) {
        for Change { key, value } in changes {
            self.doubted.remove(key);
            let stays = is_catalog(key)
                && self.items.get(key).is_some_and(|kept| outweighs(key, kept, value.as_ref()));
            if !stays {
                self.items.remove(key);
            }
            if is_upstream(key) || is_evacuation(key) {
                self.settled.insert(Arc::clone(key));
            }
        }
    }

    /// Joins what another daemon carries into the same era, where the platform has
    /// `listed` here.
    ///
    /// Of two, the one of the higher rank knows better; of the same rank, both hold, but for
    /// what the platform has told here since. Of each catalog the highest edition stays.
    pub fn join(&mut self, other: &Self, listed: &Items) {
        if other.rank > self.rank {
            self.items.retain(|key, _| is_catalog(key));
            self.doubted.clear();
            self.rank = other.rank;
            self.since = other.since;
        }
        let knows = other.rank >= self.rank;
        for (key, value) in &other.items {
            let open = is_catalog(key) || (knows && !self.settled.contains(key));
            let wins = |held| outweighs(key, value, held);
            if open && wins(self.items.get(key)) && wins(listed.get(key)) {
                self.items.insert(Arc::clone(key), Arc::clone(value));
            }
        }
        if knows {
            let doubted = other.doubted.difference(&self.settled).map(Arc::clone);
            self.doubted.extend(doubted);
        }
    }

    /// Drops what has had its time; returns the upstreams that are gone by it. The time runs
    /// from when this was asked first.
    pub fn expire(&mut self, now: Instant, times: CarryTimes) -> Vec<Key> {
        let age = now.saturating_duration_since(*self.since.get_or_insert(now));
        let (upstreams, evacuations) = (age >= times.upstream, age >= times.operator);
        let mut gone = Vec::new();
        if upstreams {
            self.doubted.clear();
            gone.extend(self.items.keys().filter(|key| is_upstream(key)).map(Arc::clone));
        }
        self.items.retain(|key, _| !(upstreams && is_upstream(key) || evacuations && is_evacuation(key)));
        if evacuations {
            self.settled.clear();
        }
        gone
    }

    /// Returns when something will have had its time; none where all that is left stays
    /// until it is written again.
    #[must_use]
    pub fn next_expiry(&self, times: CarryTimes) -> Option<Instant> {
        let since = self.since?;
        let upstreams = !self.doubted.is_empty() || self.items.keys().any(is_upstream);
        let evacuations = self.items.keys().any(is_evacuation);
        let of_upstreams = upstreams.then(|| since + times.upstream);
        of_upstreams.into_iter().chain(evacuations.then(|| since + times.operator)).min()
    }

    /// Returns what others are told.
    #[must_use]
    pub fn report(&self, now: Instant) -> CarriedReport {
        let age = self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        CarriedReport {
            era: self.era,
            rank: self.rank,
            items: self.items.clone(),
            doubted: self.doubted.clone(),
            age: super::time::millis(age),
        }
    }
}

impl CarriedReport {
    /// Returns what another daemon carries, as it was heard at `now`.
    #[must_use]
    pub fn heard(self, now: Instant) -> Carried {
        let since = now.checked_sub(Duration::from_millis(self.age)).unwrap_or(now);
        let Self { era, rank, items, doubted, .. } = self;
        Carried { era, rank, items, doubted, since: Some(since), settled: BTreeSet::new() }
    }
}

/// Says whether what is held under a key goes before what a copy says.
fn outweighs(key: &Key, held: &str, listed: Option<&Arc<str>>) -> bool {
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

/// Puts changes on top of values.
#[must_use]
pub fn overlaid(items: &Items, changes: &[Change]) -> Items {
    let mut all: BTreeMap<Key, Arc<str>> = items.clone();
    for Change { key, value } in changes {
        match value {
            Some(value) => all.insert(Arc::clone(key), Arc::clone(value)),
            None => all.remove(key),
        };
    }
    all
}
