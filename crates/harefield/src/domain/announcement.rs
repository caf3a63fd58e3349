//! Announcements: what an upstream states about itself, ordered by the upstream's own stamp.

use serde::Deserialize;
use serde::Serialize;

use super::ids::UpstreamId;
use super::ids::Version;

/// Orders the announcements of one upstream by its start time, then by a change counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnouncementStamp {
    /// When the process of the upstream started, in milliseconds since the epoch.
    pub start: u64,
    /// How often the announcement has changed since then.
    pub change: u64,
}

/// The statement of an upstream on whether it is draining and which versions it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Orders this announcement among those of the upstream.
    pub stamp: AnnouncementStamp,
    /// Whether the upstream is leaving and accepts no new work.
    pub draining: bool,
    /// The snapshot versions that it holds. `None` if it did not state them.
    pub held: Option<Vec<Version>>,
}

impl Announcement {
    /// Replaces this announcement by `other` if that is newer; returns whether it was.
    pub fn merge(&mut self, other: &Announcement) -> bool {
        if other.stamp <= self.stamp {
            return false;
        }
        *self = other.clone();
        true
    }

    /// Returns whether the upstream may hold `version`: it states so, or states nothing.
    #[must_use]
    pub fn may_hold(&self, version: Version) -> bool {
        self.held.as_ref().is_none_or(|held| held.contains(&version))
    }
}

/// An announcement with the name of its upstream, as gossiped between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedAnnouncement {
    /// The upstream that made the announcement.
    pub upstream: UpstreamId,
    /// The announcement itself.
    #[serde(rename = "word")]
    pub announcement: Announcement,
}
