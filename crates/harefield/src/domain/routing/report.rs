//! The outcomes of attempts, the load that upstreams report, and why upstreams are excluded.

use std::time::Duration;
use std::time::Instant;

use crate::domain::announcement::Announcement;
use crate::domain::outcome::Gap;

/// The load that an upstream reports with a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub active: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// How long work takes at the moment, in percent of the usual time; `None` from upstreams
    /// that don't report it.
    pub slowness: Option<u32>,
}

/// What the reply to an attempt says about the upstream itself.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The load, if the reply contained one.
    pub load: Option<Load>,
    /// The upstream's announcement, if the reply contained one.
    pub announcement: Option<Announcement>,
}

/// When the exclusion of an upstream ends; the variants are in order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionEnd {
    /// When a request in flight ends or the lease is renewed.
    Soon,
    /// At a point in time.
    At(Instant),
    /// Not while the configuration, the fleet and the state of the upstream stay as they are.
    Never,
}

/// Why an upstream can't be selected, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exclusion {
    /// The reason, as the gap that the shard has in the answer if no other replica serves it.
    pub gap: Gap,
    /// When the reason ends.
    pub until: ExclusionEnd,
}

/// The outcome of one attempt, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Succeeded,
    /// The upstream rejected the attempt because of its load; holds the retry-after if it sent one.
    Rejected(Option<Duration>),
    /// The attempt was refused for a reason that says nothing about the upstream's load.
    Declined,
    /// The attempt was abandoned; the reply would have taken at least the time so far.
    Abandoned,
    /// The attempt was sent, and its reply was lost or unusable.
    Lost,
    /// No connection could be opened, or the upstream failed.
    Failed,
}
