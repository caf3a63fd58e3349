//! The evidence about one work during which upstream processes ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::UpstreamId;

/// Once this many upstreams have ended during a work, it runs in isolation; the users allow three.
const MIN_ENDS: usize = 3;

/// Once this many upstreams were sent it in isolation and didn't answer, it is withheld. One may be a
/// coincidence, such as another harmful request on the same upstream.
const MIN_ALONE: u32 = 2;

/// Where a daemon saw this many upstreams end under it, twice as many as make it suspect, one run in
/// isolation without an answer is enough.
const MASS_ENDS: usize = 2 * MIN_ENDS;

/// The delay between the last end and a run in isolation. A common cause that makes many upstreams
/// crash, such as the loss of a rack, does so within some tenths of a second.
const ISOLATION_DELAY: Duration = Duration::from_millis(250);

/// How long a work is withheld before each further trial in isolation, as long as the trials end
/// upstreams. The first trial clears a work that was suspected wrongly; three trials are what the
/// users allow a request that they know to be harmful.
const TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_secs(30), Duration::from_secs(2 * 60), Duration::from_secs(8 * 60)];

/// Evidence expires this long after the last upstream ended: operators repair an upstream within
/// an hour.
const EXPIRE_AFTER: Duration = Duration::from_secs(60 * 60);

/// Evidence without an end in isolation expires after this time: callers retry a failed request
/// for some minutes at most.
const EXPIRE_UNTRIED: Duration = Duration::from_secs(10 * 60);

/// Evidence with too few ends to restrict the work expires after this time: callers whose request
/// one upstream lost retry within seconds.
const EXPIRE_FREE: Duration = Duration::from_secs(60);

/// An answer refutes all earlier ends, and those up to this time after it: of a request that is
/// sent many times a second, some are answered while others reach upstreams that crash for other
/// reasons.
const ANSWER_VALID: Duration = Duration::from_secs(5);

/// An answer is kept and sent for this time, so that it also reaches daemons that were partitioned
/// off for some seconds and hold ends from before it.
const KEEP_ANSWER: Duration = Duration::from_secs(60);

/// Two ends of one upstream within this time count as one, observed by two requests or two
/// daemons; an upstream takes seconds to come back.
const DEDUP_WINDOW: Duration = Duration::from_secs(1);

/// The most ends that are kept of one work, the newest: as many as decide, and one more.
const MAX_ENDS: usize = MIN_ENDS + 1;

/// Whether a work may run, from the least to the most restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clearance {
    /// It runs like any other.
    Free,
    /// It runs in isolation, on one upstream at a time, until one has answered; not before this
    /// time has passed.
    Alone(Duration),
    /// It doesn't run before this time has passed.
    Withheld(Duration),
}

/// The end of an upstream process while it ran the work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the end was observed.
    pub at: Instant,
}

/// The evidence about one work, which merges with the evidence of other daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    ends: Vec<End>,
    /// How many upstreams ended that this daemon saw itself; 0 in what others report.
    seen: usize,
    alone: u32,
    last: Option<Instant>,
    answered: Option<Instant>,
}

impl Evidence {
    /// Creates the evidence that another daemon reported.
    #[must_use]
    pub fn new(ends: Vec<End>, alone: u32, last: Option<Instant>, answered: Option<Instant>) -> Self {
        let mut evidence = Self { ends: Vec::new(), seen: 0, alone, last, answered };
        for end in ends {
            evidence.add(end);
        }
        evidence.drop_answered();
        evidence
    }

    /// Returns the ends that no answer refutes, at most the newest four.
    #[must_use]
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Returns how many upstreams were sent the work in isolation and didn't answer.
    #[must_use]
    pub fn alone(&self) -> u32 {
        self.alone
    }

    /// Returns when the last upstream ended, or left a trial unanswered; none without an end that
    /// counts.
    #[must_use]
    pub fn last(&self) -> Option<Instant> {
        self.last
    }

    /// Returns when an upstream last answered the work.
    #[must_use]
    pub fn answered(&self) -> Option<Instant> {
        self.answered
    }

    /// Records that an upstream ended while it ran the work; `alone` tells that it was the only
    /// one in its fan-out. Returns whether the evidence changed.
    pub fn record_end(&mut self, upstream: &UpstreamId, alone: bool, at: Instant) -> bool {
        if !self.counts(at) {
            return false;
        }
        let before = self.rank();
        // An end close to others, or before several are known, doesn't count as one in isolation.
        let apart = self.last.is_some_and(|last| at >= last + ISOLATION_DELAY);
        let suspect = self.ends.len() >= MIN_ENDS;
        let added = self.add(End { upstream: Arc::clone(upstream), at });
        self.alone += u32::from(added && alone && apart && suspect);
        self.seen += usize::from(added);
        self.last = self.last.max(Some(at));
        self.weigh_mass();
        before != self.rank()
    }

    /// Records that an upstream which was sent the suspect work in isolation neither answered it nor
    /// ended. Returns whether the evidence changed.
    ///
    /// Such a trial shows nothing, but the next one costs as much as one after an end.
    pub fn record_unanswered(&mut self, at: Instant) -> bool {
        if !self.counts(at) || self.ends.len() < MIN_ENDS {
            return false;
        }
        self.alone += 1;
        self.last = self.last.max(Some(at));
        self.weigh_mass();
        true
    }

    /// Records that an upstream answered the work; returns whether the evidence changed.
    pub fn record_answer(&mut self, at: Instant) -> bool {
        let before = self.rank();
        let newer = self.is_newer(Some(at));
        self.answered = self.answered.max(Some(at));
        self.drop_answered();
        newer || before != self.rank()
    }

    /// Merges the evidence of another daemon; returns whether this evidence changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.rank();
        let newer = self.is_newer(other.answered);
        self.answered = self.answered.max(other.answered);
        self.alone = self.alone.max(other.alone);
        self.seen = self.seen.max(other.seen);
        self.last = self.last.max(other.last);
        for end in other.ends.iter().cloned() {
            self.add(end);
        }
        self.drop_answered();
        self.weigh_mass();
        newer || before != self.rank()
    }

    /// Returns whether an answer known here refutes the evidence of another daemon.
    #[must_use]
    pub fn clears(&self, other: &Self) -> bool {
        other.last.is_some_and(|last| !self.counts(last))
    }

    /// Returns whether the work may run.
    #[must_use]
    pub fn clearance(&self, now: Instant) -> Clearance {
        let Some(last) = self.last.filter(|_| self.ends.len() >= MIN_ENDS) else {
            return Clearance::Free;
        };
        let Some(trials) = self.alone.checked_sub(MIN_ALONE) else {
            return Clearance::Alone((last + ISOLATION_DELAY).saturating_duration_since(now));
        };
        let pause = usize::try_from(trials).ok().and_then(|trials| TRIAL_DELAYS.get(trials));
        let left = (last + *pause.unwrap_or(&EXPIRE_AFTER)).saturating_duration_since(now);
        if left.is_zero() { Clearance::Alone(Duration::ZERO) } else { Clearance::Withheld(left) }
    }

    /// Returns whether the evidence has expired.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let kept = match (self.alone, self.ends.len()) {
            (0, 0..MIN_ENDS) => EXPIRE_FREE,
            (0, _) => EXPIRE_UNTRIED,
            _ => EXPIRE_AFTER,
        };
        let ended = self.last.is_some_and(|last| since(last) < kept);
        let answered = self.answered.is_some_and(|at| since(at) < KEEP_ANSWER);
        !ended && !answered
    }

    /// Returns the strength of the evidence: where there are too many works, the weakest is
    /// dropped first.
    #[must_use]
    pub fn severity(&self) -> (u32, usize, Option<Instant>) {
        (self.alone, self.ends.len(), self.last)
    }

    /// Returns the counts that decide on the clearance, to detect a change.
    fn rank(&self) -> (usize, u32, usize) {
        (self.ends.len(), self.alone, self.seen.min(MASS_ENDS))
    }

    fn is_newer(&self, answered: Option<Instant>) -> bool {
        match (self.answered, answered) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(known), Some(at)) => at > known + ANSWER_VALID,
        }
    }

    fn counts(&self, at: Instant) -> bool {
        self.answered.is_none_or(|answered| at > answered + ANSWER_VALID)
    }

    /// Takes one isolated run for enough where this daemon saw many upstreams end. The others learn
    /// the result.
    fn weigh_mass(&mut self) {
        if self.seen >= MASS_ENDS && self.alone > 0 {
            self.alone = self.alone.max(MIN_ALONE);
        }
    }

    /// Adds an end; returns whether it was not known.
    fn add(&mut self, end: End) -> bool {
        let apart = |one: Instant, other: Instant| {
            one.saturating_duration_since(other).max(other.saturating_duration_since(one))
        };
        let same = |held: &End| held.upstream == end.upstream && apart(held.at, end.at) < DEDUP_WINDOW;
        if self.ends.iter().any(same) {
            return false;
        }
        let index = self.ends.partition_point(|held| (held.at, &held.upstream) < (end.at, &end.upstream));
        self.ends.insert(index, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Drops the ends that the last answer refutes.
    fn drop_answered(&mut self) {
        let Some(answered) = self.answered else { return };
        self.ends.retain(|end| end.at > answered + ANSWER_VALID);
        if self.last.is_some_and(|last| last <= answered + ANSWER_VALID) {
            self.last = None;
            self.alone = 0;
            self.seen = 0;
        }
    }
}
