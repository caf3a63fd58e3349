//! The message in which daemons send each other the evidence about a work.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::evidence::End;
use super::evidence::Evidence;
use super::registry::Suspect;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::WorkId;
use crate::domain::time::millis;

/// The evidence that a daemon has about a work. Times are ages in milliseconds, since clocks
/// differ between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The identifier of the work.
    pub work: WorkId,
    /// The upstreams that ended while they ran it, and how long ago.
    pub ends: Vec<(UpstreamId, u64)>,
    /// How many upstreams were sent it in isolation and didn't answer.
    pub alone: u32,
    /// How long ago the last upstream ended, or left a trial unanswered.
    pub last: Option<u64>,
    /// How long ago an upstream last answered it.
    pub answered: Option<u64>,
}

impl SuspectReport {
    /// Creates the report of a suspect as of `now`.
    #[must_use]
    pub fn new(suspect: &Suspect, now: Instant) -> Self {
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let evidence = &suspect.evidence;
        let ends = evidence.ends().iter().map(|end| (UpstreamId::clone(&end.upstream), age(end.at)));
        Self {
            work: suspect.work,
            ends: ends.collect(),
            alone: evidence.alone(),
            last: evidence.last().map(age),
            answered: evidence.answered().map(age),
        }
    }

    /// Converts a report that was received at `now`. Times before the start of this daemon's
    /// monotonic clock are left out.
    #[must_use]
    pub fn to_suspect(&self, now: Instant) -> Suspect {
        let at = |age: u64| now.checked_sub(Duration::from_millis(age));
        let ends = self
            .ends
            .iter()
            .filter_map(|(upstream, age)| Some(End { upstream: UpstreamId::clone(upstream), at: at(*age)? }));
        let (last, answered) = (self.last.and_then(at), self.answered.and_then(at));
        let evidence = Evidence::new(ends.collect(), self.alone, last, answered);
        Suspect { work: self.work, evidence }
    }
}
