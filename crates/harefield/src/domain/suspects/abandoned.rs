//! Attempts that were given up while their upstreams may still run them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::UpstreamId;

/// How long the upstream of an attempt is watched after the attempt was given up. Upstreams end work
/// that nobody awaits within some tenths of a second.
const WATCH_TIME: Duration = Duration::from_secs(1);

/// The most attempts that are held, at about 150 bytes each. Beyond that, further ones are not
/// watched.
const MAX_ATTEMPTS: usize = 1024;

#[derive(Clone, Debug)]
struct Entry<T> {
    attempt: T,
    until: Instant,
}

/// The attempts that were given up a moment ago, by upstream. `T` is what is kept of an attempt.
#[derive(Clone, Debug)]
pub struct Abandoned<T> {
    entries: HashMap<UpstreamId, Vec<Entry<T>>>,
    count: usize,
}

impl<T> Default for Abandoned<T> {
    fn default() -> Self {
        Self { entries: HashMap::new(), count: 0 }
    }
}

impl<T> Abandoned<T> {
    /// Adds an attempt that is given up now, unless too many are held.
    pub fn add(&mut self, upstream: &UpstreamId, attempt: T, now: Instant) {
        if self.count < MAX_ATTEMPTS {
            let entry = Entry { attempt, until: now + WATCH_TIME };
            self.entries.entry(Arc::clone(upstream)).or_default().push(entry);
            self.count += 1;
        }
    }

    /// Removes and returns the attempts whose upstreams did not end in time, or that are no longer
    /// needed.
    pub fn remove_expired(&mut self, now: Instant, needed: impl Fn(&T) -> bool) -> Vec<T> {
        let mut expired = Vec::new();
        for held in self.entries.values_mut() {
            let is_over = |entry: &mut Entry<T>| entry.until <= now || !needed(&entry.attempt);
            expired.extend(held.extract_if(.., is_over).map(|entry| entry.attempt));
        }
        self.entries.retain(|_, held| !held.is_empty());
        self.count -= expired.len();
        expired
    }

    /// Removes and returns the attempts at an upstream, as when it has ended.
    pub fn remove(&mut self, upstream: &UpstreamId) -> Vec<T> {
        let held = self.entries.remove(upstream).unwrap_or_default();
        self.count -= held.len();
        held.into_iter().map(|entry| entry.attempt).collect()
    }

    /// Returns the upstreams of the attempts held.
    #[must_use]
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        self.entries.keys().map(Arc::clone).collect()
    }

    /// Returns whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
