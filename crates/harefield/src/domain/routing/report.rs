//! What attempts show of upstreams, and when an upstream may be asked again.

use std::time::Duration;
use std::time::Instant;

use crate::domain::announcement::Announcement;
use crate::domain::outcome::Gap;

/// What an upstream reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests it runs.
    pub active: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// How long work takes there at this moment, in percent of the usual time; none from
    /// upstreams that do not say so.
    pub slowness: Option<u32>,
}

/// What one attempt showed of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The load that the reply carried.
    pub load: Option<Load>,
    /// The upstream's word that the reply carried.
    pub word: Option<Announcement>,
}

/// When an upstream that may not be asked now may be asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Until {
    /// When a request under way ends.
    Soon,
    /// At this time.
    At(Instant),
    /// Not while the facts stay as they are.
    Never,
}

/// Why an upstream may not be asked, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bar {
    /// The reason, as the gap it would leave.
    pub gap: Gap,
    /// Until when it holds.
    pub until: Until,
}

/// How one attempt ended, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was answered.
    Good,
    /// It was refused since the upstream is full, until then if it said.
    Full(Option<Duration>),
    /// It was refused for a reason that says nothing of the upstream's load.
    Declined,
    /// It was given up; the time so far is the least that it would have taken.
    Abandoned,
    /// It was sent, and its reply was lost or no use.
    Lost,
    /// No connection could be had, or the upstream failed.
    Broken,
}
