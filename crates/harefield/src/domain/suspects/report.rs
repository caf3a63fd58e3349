//! What daemons tell each other of works under which upstreams ended.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::book::Suspect;
use super::evidence::End;
use super::evidence::Evidence;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::WorkId;
use crate::domain::time::millis;

/// What a daemon knows of a work; times are ages in milliseconds, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The work.
    pub work: WorkId,
    /// Upstreams that ended under it, and how long ago.
    pub ends: Vec<(UpstreamId, u64)>,
    /// How many ended while they ran it alone.
    pub alone: u32,
    /// How long ago the last one ended.
    pub last: Option<u64>,
    /// How long ago an upstream answered it.
    pub answered: Option<u64>,
}

impl SuspectReport {
    /// Makes a report.
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

    /// Takes a report that was heard at `now`. What is older than this daemon's clock can
    /// tell is left out.
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
