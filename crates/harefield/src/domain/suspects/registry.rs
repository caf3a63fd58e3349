//! What is known of all works under which upstreams ended.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::answered::Answered;
use super::evidence::Clearance;
use super::evidence::Evidence;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::WorkId;
use crate::domain::work::Work;

/// How many works are held: some 300 bytes each. Callers who make up others must end an
/// upstream for each, and the works that ended fewest are forgotten first.
const MOST_WORKS: usize = 1024;

/// The most works in one message: some 100 bytes each, so that a message a second takes a
/// tenth of what control may send.
const MOST_TOLD: usize = 16;

/// A work with what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The work.
    pub work: WorkId,
    /// What is known of it.
    pub evidence: Evidence,
}

/// What came of another daemon's word on a work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether it was news here.
    pub changed: bool,
    /// Whether an answer that is known here clears the work of it.
    pub cleared: bool,
}

/// A change is told this many times by each daemon that hears of it, so that hardly any other
/// one misses it.
const TRANSMITS: u32 = 6;

/// What does not run freely is told again after this time, for daemons that were cut off, or
/// after as many times this as messages hold all of it. After a hundred upstreams crashed at
/// once, hundreds of requests that had no answer by then may be held.
const TELL_AGAIN: Duration = Duration::from_secs(1);

/// The longest such time.
const LONGEST_AGAIN: Duration = Duration::from_secs(30);

/// The most works that a daemon which has just started is told of: some 6 KB.
const MOST_TOLD_FIRST: usize = 64;

#[derive(Clone, Debug, Default)]
struct Held {
    evidence: Evidence,
    /// How often it was told since it changed.
    times: u32,
    /// When it was last told.
    told: Option<Instant>,
}

impl Held {
    /// Says whether others are to be told of it now.
    fn is_due(&self, again: Duration, now: Instant) -> bool {
        let rested = self.told.is_none_or(|told| now.saturating_duration_since(told) >= again);
        self.times < TRANSMITS || (rested && self.evidence.standing(now) != Clearance::Free)
    }
}

/// Works under which upstreams ended.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    held: HashMap<WorkId, Held>,
    answered: Answered,
}

impl Suspects {
    /// Takes the end of an upstream that had a work, and nobody else in its fan-out where
    /// `alone`; returns what is known now of the names of the work that this changed.
    pub fn record_end(
        &mut self,
        work: &Work,
        upstream: &UpstreamId,
        alone: bool,
        now: Instant,
    ) -> Vec<Suspect> {
        work.ids().filter_map(|id| self.change(id, now, |held| held.end(upstream, alone, now))).collect()
    }

    /// Takes that a work was answered; returns what is known now of the names of the work
    /// that this changed.
    pub fn record_answer(&mut self, work: &Work, now: Instant) -> Vec<Suspect> {
        for id in work.ids() {
            self.answered.note(id, now);
        }
        if self.held.is_empty() {
            return Vec::new();
        }
        let known: Vec<WorkId> = work.ids().filter(|id| self.held.contains_key(id)).collect();
        known.into_iter().filter_map(|id| self.change(id, now, |held| held.answer(now))).collect()
    }

    /// Takes another daemon's word on a work.
    pub fn merge(&mut self, suspect: &Suspect, now: Instant) -> MergeOutcome {
        let mut cleared = false;
        let news = self.change(suspect.work, now, |held| {
            let news = held.join(&suspect.evidence);
            cleared = held.clears(&suspect.evidence);
            news
        });
        if cleared && let Some(held) = self.held.get_mut(&suspect.work) {
            held.times = 0;
        }
        MergeOutcome { changed: news.is_some(), cleared }
    }

    /// Says whether a work may run.
    #[must_use]
    pub fn clearance(&self, work: &Work, now: Instant) -> Clearance {
        if self.held.is_empty() {
            return Clearance::Free;
        }
        let known = work.ids().filter_map(|id| self.held.get(&id));
        let lasting = known.filter(|held| !held.evidence.is_past(now));
        lasting.map(|held| held.evidence.standing(now)).max().unwrap_or(Clearance::Free)
    }

    /// Returns what is known of a work, by its names.
    #[must_use]
    pub fn suspects_for(&self, work: &Work) -> Vec<Suspect> {
        work.ids().filter_map(|id| self.suspect(id)).collect()
    }

    /// Returns what is known of one name of a work.
    #[must_use]
    pub fn suspect(&self, work: WorkId) -> Option<Suspect> {
        self.held.get(&work).map(|held| Suspect { work, evidence: held.evidence.clone() })
    }

    /// Returns what is told in the next message: what was told least often, then longest ago.
    pub fn digest(&mut self, now: Instant) -> Vec<Suspect> {
        if self.held.is_empty() {
            return Vec::new();
        }
        self.held.retain(|_, held| !held.evidence.is_past(now));
        let again = TELL_AGAIN * u32::try_from(self.held.len() / MOST_TOLD + 1).unwrap_or(u32::MAX);
        let again = again.min(LONGEST_AGAIN);
        let due = self.held.iter().filter(|(_, held)| held.is_due(again, now));
        let mut order: Vec<_> = due.map(|(id, held)| (held.times, held.told, *id)).collect();
        order.sort_unstable();
        order.truncate(MOST_TOLD);
        let told = order.into_iter().filter_map(|(.., id)| {
            let held = self.held.get_mut(&id)?;
            held.times = held.times.saturating_add(1);
            held.told = Some(now);
            Some(Suspect { work: id, evidence: held.evidence.clone() })
        });
        told.collect()
    }

    /// Returns what a daemon that has just started is told: what most speaks against.
    #[must_use]
    pub fn most_severe(&self, now: Instant) -> Vec<Suspect> {
        let bound = self.held.iter().filter(|(_, held)| held.evidence.standing(now) != Clearance::Free);
        let mut order: Vec<_> = bound.map(|(id, held)| (held.evidence.weight(), *id)).collect();
        order.sort_unstable();
        order.into_iter().rev().take(MOST_TOLD_FIRST).filter_map(|(_, id)| self.suspect(id)).collect()
    }

    /// Returns how many works are held, and how many of them do not run freely.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let bound = self.held.values().filter(|held| held.evidence.standing(now) != Clearance::Free);
        (self.held.len(), bound.count())
    }

    /// Changes what is known of a work; returns it where that was news, which is told next.
    fn change(
        &mut self,
        work: WorkId,
        now: Instant,
        change: impl FnOnce(&mut Evidence) -> bool,
    ) -> Option<Suspect> {
        // What is past counts for nothing, also where no digest has taken it out.
        if self.held.get(&work).is_some_and(|held| held.evidence.is_past(now)) {
            self.held.remove(&work);
        }
        if !self.held.contains_key(&work) {
            self.make_room(now);
        }
        let answered = self.answered.last(work);
        let held = self.held.entry(work).or_default();
        let known = answered.is_some_and(|at| held.evidence.answer(at));
        if !change(&mut held.evidence) && !known {
            return None;
        }
        held.times = 0;
        Some(Suspect { work, evidence: held.evidence.clone() })
    }

    fn make_room(&mut self, now: Instant) {
        if self.held.len() < MOST_WORKS {
            return;
        }
        self.held.retain(|_, held| !held.evidence.is_past(now));
        if self.held.len() >= MOST_WORKS
            && let Some(least) = self.held.iter().min_by_key(|(id, held)| (held.evidence.weight(), **id))
        {
            let least = *least.0;
            self.held.remove(&least);
        }
    }
}
