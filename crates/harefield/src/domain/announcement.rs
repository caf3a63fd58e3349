//! What an upstream says of itself, ordered by the upstream's own stamp.

use serde::Deserialize;
use serde::Serialize;

use super::ids::UpstreamId;
use super::ids::Version;

/// Orders the words of one upstream: its start time, then a change counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnouncementStamp {
    /// When the upstream's process started, milliseconds since the epoch.
    pub start: u64,
    /// How often the upstream's word has changed since.
    pub change: u64,
}

/// An upstream's own word on whether it drains and what it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Orders this word among the upstream's own.
    pub stamp: AnnouncementStamp,
    /// Whether the upstream is leaving and takes no new work.
    pub draining: bool,
    /// The snapshot versions it holds; none where it did not say.
    pub held: Option<Vec<Version>>,
}

impl Announcement {
    /// Takes `other` if it is the newer word; returns whether it was.
    pub fn join(&mut self, other: &Announcement) -> bool {
        if other.stamp <= self.stamp {
            return false;
        }
        *self = other.clone();
        true
    }

    /// Returns whether the upstream may hold `version`: it says so, or says nothing.
    #[must_use]
    pub fn may_hold(&self, version: Version) -> bool {
        self.held.as_ref().is_none_or(|held| held.contains(&version))
    }
}

/// A word with the name of its upstream, as daemons pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedAnnouncement {
    /// The upstream that the word is of.
    pub upstream: UpstreamId,
    /// Its word.
    #[serde(rename = "word")]
    pub announcement: Announcement,
}
