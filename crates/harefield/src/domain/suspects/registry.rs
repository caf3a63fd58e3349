//! The registry of all works during which upstream processes ended.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::answered::Answered;
use super::evidence::Clearance;
use super::evidence::Evidence;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::WorkId;
use crate::domain::work::Work;

/// The most works that are held, at about 300 bytes each. To add one, a caller has to crash an
/// upstream, and the works with the weakest evidence are dropped first.
const MAX_WORKS: usize = 1024;

/// The most works in one message, at about 100 bytes each. One message per second then takes a
/// tenth of the control bandwidth.
const MAX_PER_MESSAGE: usize = 16;

/// A work during which upstream processes ended: a possible "query of death", which crashes every
/// upstream that runs it. It is suspected, and restricted only as far as the evidence goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The identifier of the work.
    pub work: WorkId,
    /// The evidence about it.
    pub evidence: Evidence,
}

/// The result of merging another daemon's evidence about a work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the local evidence changed.
    pub changed: bool,
    /// Whether an answer that is known locally refutes the received evidence.
    pub cleared: bool,
}

/// Each daemon that learns of a change sends it this many times, so that hardly any other daemon
/// misses it.
const TRANSMITS: u32 = 6;

/// Restricted works are sent again after this time, for daemons that were partitioned off. The
/// time is multiplied by the number of messages needed for all works: after a hundred upstreams
/// crash at once, hundreds of unanswered requests may be held.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// The upper bound of that time.
const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(30);

/// The most works that are sent to a daemon that has just started, at about 6 KB in total.
const MAX_INITIAL: usize = 64;

#[derive(Clone, Debug, Default)]
struct SuspectEntry {
    evidence: Evidence,
    /// How often it was sent since it last changed.
    sent_count: u32,
    /// When it was last sent.
    last_sent: Option<Instant>,
}

impl SuspectEntry {
    /// Returns whether it should be sent to other daemons now.
    fn is_due(&self, again: Duration, now: Instant) -> bool {
        let rested = self.last_sent.is_none_or(|sent| now.saturating_duration_since(sent) >= again);
        self.sent_count < TRANSMITS || (rested && self.evidence.clearance(now) != Clearance::Free)
    }
}

/// The works during which upstream processes ended, at most 1024.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: HashMap<WorkId, SuspectEntry>,
    answered: Answered,
}

impl Suspects {
    /// Records that an upstream ended while it ran a work; `alone` tells that it was the only one
    /// in its fan-out. Returns the new evidence for those identifiers of the work where it
    /// changed.
    pub fn record_end(
        &mut self,
        work: &Work,
        upstream: &UpstreamId,
        alone: bool,
        now: Instant,
    ) -> Vec<Suspect> {
        work.ids()
            .filter_map(|id| self.change(id, now, |held| held.record_end(upstream, alone, now)))
            .collect()
    }

    /// Records that an upstream which was sent a suspect work in isolation neither answered it nor
    /// ended. Returns the new evidence for those identifiers of the work where it changed.
    pub fn record_unanswered(&mut self, work: &Work, now: Instant) -> Vec<Suspect> {
        let known: Vec<WorkId> = work.ids().filter(|id| self.entries.contains_key(id)).collect();
        known.into_iter().filter_map(|id| self.change(id, now, |held| held.record_unanswered(now))).collect()
    }

    /// Records that a work was answered. Returns the new evidence for those identifiers of the
    /// work where it changed.
    pub fn record_answer(&mut self, work: &Work, now: Instant) -> Vec<Suspect> {
        for id in work.ids() {
            self.answered.record(id, now);
        }
        if self.entries.is_empty() {
            return Vec::new();
        }
        let known: Vec<WorkId> = work.ids().filter(|id| self.entries.contains_key(id)).collect();
        known.into_iter().filter_map(|id| self.change(id, now, |held| held.record_answer(now))).collect()
    }

    /// Merges another daemon's evidence about a work.
    pub fn merge(&mut self, suspect: &Suspect, now: Instant) -> MergeOutcome {
        let mut cleared = false;
        let changed = self.change(suspect.work, now, |held| {
            let changed = held.merge(&suspect.evidence);
            cleared = held.clears(&suspect.evidence);
            changed
        });
        if cleared && let Some(held) = self.entries.get_mut(&suspect.work) {
            held.sent_count = 0;
        }
        MergeOutcome { changed: changed.is_some(), cleared }
    }

    /// Returns whether a work may run: the strictest result over its identifiers.
    #[must_use]
    pub fn clearance(&self, work: &Work, now: Instant) -> Clearance {
        if self.entries.is_empty() {
            return Clearance::Free;
        }
        let known = work.ids().filter_map(|id| self.entries.get(&id));
        let lasting = known.filter(|held| !held.evidence.is_expired(now));
        lasting.map(|held| held.evidence.clearance(now)).max().unwrap_or(Clearance::Free)
    }

    /// Returns whether an upstream is remembered to have answered a work.
    #[must_use]
    pub fn is_answered(&self, work: &Work) -> bool {
        self.answered.last(work.exact).is_some()
    }

    /// Returns whether upstreams ended during a work that nobody has answered since.
    #[must_use]
    pub fn has_ends(&self, work: &Work, now: Instant) -> bool {
        let known = work.ids().filter_map(|id| self.entries.get(&id));
        known.map(|held| &held.evidence).any(|held| !held.ends().is_empty() && !held.is_expired(now))
    }

    /// Returns the evidence about a work, for each of its identifiers that is held.
    #[must_use]
    pub fn suspects_for(&self, work: &Work) -> Vec<Suspect> {
        work.ids().filter_map(|id| self.suspect(id)).collect()
    }

    /// Returns the evidence for one identifier of a work; none where it is not held.
    #[must_use]
    pub fn suspect(&self, work: WorkId) -> Option<Suspect> {
        self.entries.get(&work).map(|held| Suspect { work, evidence: held.evidence.clone() })
    }

    /// Returns the works for the next message, those sent least often first, then those sent
    /// longest ago. It counts them as sent.
    pub fn digest(&mut self, now: Instant) -> Vec<Suspect> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries.retain(|_, held| !held.evidence.is_expired(now));
        let again =
            RESEND_INTERVAL * u32::try_from(self.entries.len() / MAX_PER_MESSAGE + 1).unwrap_or(u32::MAX);
        let again = again.min(MAX_RESEND_INTERVAL);
        let due = self.entries.iter().filter(|(_, held)| held.is_due(again, now));
        let mut order: Vec<_> = due.map(|(id, held)| (held.sent_count, held.last_sent, *id)).collect();
        order.sort_unstable();
        order.truncate(MAX_PER_MESSAGE);
        let sent = order.into_iter().filter_map(|(.., id)| {
            let held = self.entries.get_mut(&id)?;
            held.sent_count = held.sent_count.saturating_add(1);
            held.last_sent = Some(now);
            Some(Suspect { work: id, evidence: held.evidence.clone() })
        });
        sent.collect()
    }

    /// Returns the works to send to a daemon that has just started: the restricted ones with the
    /// strongest evidence first.
    #[must_use]
    pub fn most_severe(&self, now: Instant) -> Vec<Suspect> {
        let restricted =
            self.entries.iter().filter(|(_, held)| held.evidence.clearance(now) != Clearance::Free);
        let mut order: Vec<_> = restricted.map(|(id, held)| (held.evidence.severity(), *id)).collect();
        order.sort_unstable();
        order.into_iter().rev().take(MAX_INITIAL).filter_map(|(_, id)| self.suspect(id)).collect()
    }

    /// Returns how many works are held, and how many of them are restricted.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let restricted = self.entries.values().filter(|held| held.evidence.clearance(now) != Clearance::Free);
        (self.entries.len(), restricted.count())
    }

    /// Changes the evidence about a work. Returns it if that was an actual change, which makes it
    /// due for sending.
    fn change(
        &mut self,
        work: WorkId,
        now: Instant,
        change: impl FnOnce(&mut Evidence) -> bool,
    ) -> Option<Suspect> {
        // Expired evidence doesn't count, also where no digest has removed it yet.
        if self.entries.get(&work).is_some_and(|held| held.evidence.is_expired(now)) {
            self.entries.remove(&work);
        }
        if !self.entries.contains_key(&work) {
            self.make_room(now);
        }
        let answered = self.answered.last(work);
        let held = self.entries.entry(work).or_default();
        let known = answered.is_some_and(|at| held.evidence.record_answer(at));
        if !change(&mut held.evidence) && !known {
            return None;
        }
        held.sent_count = 0;
        Some(Suspect { work, evidence: held.evidence.clone() })
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < MAX_WORKS {
            return;
        }
        self.entries.retain(|_, held| !held.evidence.is_expired(now));
        if self.entries.len() >= MAX_WORKS
            && let Some(least) = self.entries.iter().min_by_key(|(id, held)| (held.evidence.severity(), **id))
        {
            let least = *least.0;
            self.entries.remove(&least);
        }
    }
}
