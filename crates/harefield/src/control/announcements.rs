//! The upstreams' words as the fleet passes them on.

use std::collections::HashMap;
use std::sync::Arc;

use crate::domain::announcement::Announcement;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::ids::UpstreamId;

/// How often a changed word is passed on.
const TRANSMITS: u32 = 8;

/// The most words in one message.
const MAX_ANNOUNCEMENTS: usize = 32;

#[derive(Debug)]
struct GossipEntry {
    announcement: Announcement,
    transmits: u32,
}

/// The newest word of each upstream that was heard of.
#[derive(Debug, Default)]
pub struct Announcements {
    entries: HashMap<UpstreamId, GossipEntry>,
}

impl Announcements {
    /// Joins words; returns those that were news.
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

    /// Returns the words for the next message.
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

    /// Returns the words of draining upstreams and of those that say what they
    /// hold, for a daemon that has just started.
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

    /// Drops the words of upstreams that no longer exist.
    pub fn prune(&mut self, exists: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|upstream, _| exists(upstream));
    }
}
