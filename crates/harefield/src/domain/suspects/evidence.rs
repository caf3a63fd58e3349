//! What is known of one work under which upstreams ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::UpstreamId;

/// Once this many upstreams have ended under a work it runs alone; the users allow three.
const ENOUGH_ENDS: usize = 3;

/// Once it has ended this many upstreams alone it is withheld. One may be a coincidence, such
/// as another such request on the same upstream.
const ENOUGH_ALONE: u32 = 2;

/// A work is run alone this long after the last upstream ended under it: what makes many
/// upstreams crash, such as the loss of a rack, does so within some tenths of a second.
const APART: Duration = Duration::from_millis(250);

/// How long a work is withheld before it is tried alone once more, after each time that this
/// ended an upstream. A wrong suspicion ends with the first trial; three trials are what the
/// users allow a request that they know to be harmful.
const PAUSES: [Duration; 3] =
    [Duration::from_secs(30), Duration::from_secs(2 * 60), Duration::from_secs(8 * 60)];

/// A work is forgotten this long after the last upstream ended under it: operators mend an
/// upstream within an hour.
const FORGET_AFTER: Duration = Duration::from_secs(60 * 60);

/// One that was never run alone is forgotten after this time: callers send a failed request
/// again for some minutes at most.
const FORGET_UNTRIED: Duration = Duration::from_secs(10 * 60);

/// One that still runs freely is forgotten after this time: callers of one upstream's answers
/// send again within seconds.
const FORGET_FREE: Duration = Duration::from_secs(60);

/// An answer clears a work of what ends around it: of a request that is asked many times a
/// second, some are answered while others meet upstreams that crash for other reasons.
const PROOF_HOLDS: Duration = Duration::from_secs(5);

/// An answer is remembered, and told, this long: daemons that were cut off for some seconds
/// and hold ends from before it hear of it too.
const ANSWER_KEPT: Duration = Duration::from_secs(60);

/// Two ends of one upstream within this time are one, seen by two requests or two daemons;
/// an upstream is back after seconds.
const SAME_END: Duration = Duration::from_secs(1);

/// How many ends are kept of one work, the newest: as many as decide, and one to spare.
const MOST_ENDS: usize = ENOUGH_ENDS + 1;

/// Whether a work may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clearance {
    /// As any other.
    Free,
    /// On one upstream at a time, until one has answered; not before this time is over.
    Alone(Duration),
    /// Not before this time is over.
    Withheld(Duration),
}

/// An upstream that ended while it had the work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it was seen.
    pub at: Instant,
}

/// What is known of one work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    ends: Vec<End>,
    alone: u32,
    last: Option<Instant>,
    answered: Option<Instant>,
}

impl Evidence {
    /// Creates what another daemon knows.
    #[must_use]
    pub fn new(ends: Vec<End>, alone: u32, last: Option<Instant>, answered: Option<Instant>) -> Self {
        let mut evidence = Self { ends: Vec::new(), alone, last, answered };
        for end in ends {
            evidence.add(end);
        }
        evidence.drop_answered();
        evidence
    }

    /// Returns the ends that count.
    #[must_use]
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Returns how many upstreams ended while they ran it alone.
    #[must_use]
    pub fn alone(&self) -> u32 {
        self.alone
    }

    /// Returns when the last upstream ended under it.
    #[must_use]
    pub fn last(&self) -> Option<Instant> {
        self.last
    }

    /// Returns when an upstream last answered it.
    #[must_use]
    pub fn answered(&self) -> Option<Instant> {
        self.answered
    }

    /// Takes the end of an upstream that had the work, and nobody else in its fan-out where
    /// `alone`; returns whether that was news.
    pub fn end(&mut self, upstream: &UpstreamId, alone: bool, at: Instant) -> bool {
        if !self.counts(at) {
            return false;
        }
        let before = self.rank();
        // What ended beside others, or before it is known to end several, tells nothing more.
        let apart = self.last.is_some_and(|last| at >= last + APART);
        self.alone += u32::from(alone && apart && self.ends.len() >= ENOUGH_ENDS);
        self.add(End { upstream: Arc::clone(upstream), at });
        self.last = self.last.max(Some(at));
        before != self.rank()
    }

    /// Takes that an upstream answered the work; returns whether that was news.
    pub fn answer(&mut self, at: Instant) -> bool {
        let before = self.rank();
        let news = self.is_newer(Some(at));
        self.answered = self.answered.max(Some(at));
        self.drop_answered();
        news || before != self.rank()
    }

    /// Takes what another daemon knows; returns whether any was news.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = self.rank();
        let news = self.is_newer(other.answered);
        self.answered = self.answered.max(other.answered);
        self.alone = self.alone.max(other.alone);
        self.last = self.last.max(other.last);
        other.ends.iter().cloned().for_each(|end| self.add(end));
        self.drop_answered();
        news || before != self.rank()
    }

    /// Returns whether an answer known here clears the work of what another daemon knows.
    #[must_use]
    pub fn clears(&self, other: &Self) -> bool {
        other.last.is_some_and(|last| !self.counts(last))
    }

    /// Says whether the work may run.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Clearance {
        let Some(last) = self.last.filter(|_| self.ends.len() >= ENOUGH_ENDS) else {
            return Clearance::Free;
        };
        let Some(trials) = self.alone.checked_sub(ENOUGH_ALONE) else {
            return Clearance::Alone((last + APART).saturating_duration_since(now));
        };
        let pause = usize::try_from(trials).ok().and_then(|trials| PAUSES.get(trials));
        let left = (last + *pause.unwrap_or(&FORGET_AFTER)).saturating_duration_since(now);
        if left.is_zero() { Clearance::Alone(Duration::ZERO) } else { Clearance::Withheld(left) }
    }

    /// Says whether nothing known of it matters any more.
    #[must_use]
    pub fn is_past(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let kept = match (self.alone, self.ends.len()) {
            (0, 0..ENOUGH_ENDS) => FORGET_FREE,
            (0, _) => FORGET_UNTRIED,
            _ => FORGET_AFTER,
        };
        let ended = self.last.is_some_and(|last| since(last) < kept);
        let answered = self.answered.is_some_and(|at| since(at) < ANSWER_KEPT);
        !ended && !answered
    }

    /// Returns how much speaks against the work: of many, the least is forgotten first.
    #[must_use]
    pub fn weight(&self) -> (u32, usize, Option<Instant>) {
        (self.alone, self.ends.len(), self.last)
    }

    /// Returns what decides, to see whether it changed.
    fn rank(&self) -> (usize, u32) {
        (self.ends.len(), self.alone)
    }

    fn is_newer(&self, answered: Option<Instant>) -> bool {
        match (self.answered, answered) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(known), Some(at)) => at > known + PROOF_HOLDS,
        }
    }

    fn counts(&self, at: Instant) -> bool {
        self.answered.is_none_or(|answered| at > answered + PROOF_HOLDS)
    }

    fn add(&mut self, end: End) {
        let apart = |one: Instant, other: Instant| {
            one.saturating_duration_since(other).max(other.saturating_duration_since(one))
        };
        let same = |held: &End| held.upstream == end.upstream && apart(held.at, end.at) < SAME_END;
        if self.ends.iter().any(same) {
            return;
        }
        let place = self.ends.partition_point(|held| (held.at, &held.upstream) < (end.at, &end.upstream));
        self.ends.insert(place, end);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
    }

    /// Drops what the last answer clears the work of.
    fn drop_answered(&mut self) {
        let Some(answered) = self.answered else { return };
        self.ends.retain(|end| end.at > answered + PROOF_HOLDS);
        if self.last.is_some_and(|last| last <= answered + PROOF_HOLDS) {
            self.last = None;
            self.alone = 0;
        }
    }
}
