//! The announcements of upstreams, as they are gossiped through the fleet.

use std::collections::HashMap;
use std::sync::Arc;

use crate::domain::announcement::Announcement;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::ids::UpstreamId;

/// How many messages carry an announcement after it changed.
const TRANSMITS: u32 = 8;

/// The most announcements in one message.
const MAX_ANNOUNCEMENTS: usize = 32;

#[derive(Debug)]
struct GossipEntry {
    announcement: Announcement,
    transmits: u32,
}

/// The newest known announcement of each upstream.
#[derive(Debug, Default)]
pub struct Announcements {
    entries: HashMap<UpstreamId, GossipEntry>,
}

impl Announcements {
    /// Merges announcements; returns those that were newer than the held ones.
    pub fn merge(&mut self, announcements: &[NamedAnnouncement]) -> Vec<NamedAnnouncement> {
        announcements.iter().filter(|named| self.merge_one(named)).cloned().collect()
    }

    fn merge_one(&mut self, named: &NamedAnnouncement) -> bool {
        let entry = self
            .entries
            .entry(Arc::clone(&named.upstream))
            .or_insert_with(|| GossipEntry { announcement: Announcement::default(), transmits: 0 });
        let newer = entry.announcement.merge(&named.announcement);
        if newer {
            entry.transmits = TRANSMITS;
        }
        newer
    }

    /// Returns the announcements for the next message and counts them as sent.
    pub fn digest(&mut self) -> Vec<NamedAnnouncement> {
        let mut announcements = Vec::new();
        for (upstream, entry) in self.entries.iter_mut().filter(|(_, entry)| entry.transmits > 0) {
            if announcements.len() == MAX_ANNOUNCEMENTS {
                break;
            }
            entry.transmits -= 1;
            announcements.push(NamedAnnouncement {
                upstream: Arc::clone(upstream),
                announcement: entry.announcement.clone(),
            });
        }
        announcements
    }

    /// Returns all held announcements, for a daemon that has just started.
    #[must_use]
    pub fn all(&self) -> Vec<NamedAnnouncement> {
        let announcements = self.entries.iter();
        announcements
            .map(|(upstream, entry)| NamedAnnouncement {
                upstream: Arc::clone(upstream),
                announcement: entry.announcement.clone(),
            })
            .collect()
    }

    /// Removes the announcements of upstreams that no longer exist.
    pub fn prune(&mut self, exists: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|upstream, _| exists(upstream));
    }
}
