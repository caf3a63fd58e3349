//! The upstreams' words as the fleet passes them on.

use std::collections::HashMap;
use std::sync::Arc;

use crate::domain::announcement::Announcement;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::ids::UpstreamId;

/// How often a changed word is passed on.
const TRANSMITS: u32 = 8;

/// The most words in one message.
const MOST_WORDS: usize = 32;

#[derive(Debug)]
struct Held {
    word: Announcement,
    transmits: u32,
}

/// The newest word of each upstream that was heard of.
#[derive(Debug, Default)]
pub struct Announcements {
    words: HashMap<UpstreamId, Held>,
}

impl Announcements {
    /// Joins words; returns those that were news.
    pub fn join(&mut self, words: &[NamedAnnouncement]) -> Vec<NamedAnnouncement> {
        words.iter().filter(|named| self.join_one(named)).cloned().collect()
    }

    fn join_one(&mut self, named: &NamedAnnouncement) -> bool {
        let held = self
            .words
            .entry(Arc::clone(&named.upstream))
            .or_insert_with(|| Held { word: Announcement::default(), transmits: 0 });
        let news = held.word.merge(&named.announcement);
        if news {
            held.transmits = TRANSMITS;
        }
        news
    }

    /// Returns the words for the next message.
    pub fn digest(&mut self) -> Vec<NamedAnnouncement> {
        let mut words = Vec::new();
        for (upstream, held) in self.words.iter_mut().filter(|(_, held)| held.transmits > 0) {
            if words.len() == MOST_WORDS {
                break;
            }
            held.transmits -= 1;
            words.push(NamedAnnouncement { upstream: Arc::clone(upstream), announcement: held.word.clone() });
        }
        words
    }

    /// Returns the words of draining upstreams and of those that say what they
    /// hold, for a daemon that has just started.
    #[must_use]
    pub fn all(&self) -> Vec<NamedAnnouncement> {
        let words = self.words.iter();
        words
            .map(|(upstream, held)| NamedAnnouncement {
                upstream: Arc::clone(upstream),
                announcement: held.word.clone(),
            })
            .collect()
    }

    /// Drops the words of upstreams that no longer exist.
    pub fn prune(&mut self, exists: impl Fn(&UpstreamId) -> bool) {
        self.words.retain(|upstream, _| exists(upstream));
    }
}
