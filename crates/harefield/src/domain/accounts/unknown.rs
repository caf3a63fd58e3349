//! Keys that no account lists, even after checking for newer configuration.

use std::collections::VecDeque;

use crate::domain::key::KeyDigest;

/// The most keys that are remembered; the oldest is dropped first.
const MAX_KEYS: usize = 1024;

/// Keys that are known to be invalid under the accounts in force.
///
/// A key may be newer than the configuration that this daemon has read, so the daemon checks for
/// updates before it rejects one. It checks once per key, so that a caller who goes on using a
/// revoked key costs nothing.
#[derive(Debug, Default)]
pub struct UnknownKeys {
    keys: VecDeque<KeyDigest>,
    /// The number of checks in progress.
    pending: usize,
}

/// The most requests that wait for a check at once.
const MAX_PENDING: usize = 64;

/// What to do with a request whose key is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKeyAction {
    /// Reject it: the key was checked and is invalid under the accounts in force.
    Refuse,
    /// Too many checks are in progress.
    Busy,
    /// Check for newer configuration, and call [`UnknownKeys::end`] afterwards.
    Query,
}

impl UnknownKeys {
    /// Decides whether to check for newer configuration because of an unknown key.
    pub fn begin(&mut self, key: &KeyDigest) -> UnknownKeyAction {
        if self.keys.contains(key) {
            return UnknownKeyAction::Refuse;
        }
        if self.pending >= MAX_PENDING {
            return UnknownKeyAction::Busy;
        }
        self.pending += 1;
        UnknownKeyAction::Query
    }

    /// Records that a check has ended.
    pub fn end(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Remembers that a key is certainly invalid.
    pub fn remember(&mut self, key: KeyDigest) {
        if self.keys.contains(&key) {
            return;
        }
        if self.keys.len() >= MAX_KEYS {
            self.keys.pop_front();
        }
        self.keys.push_back(key);
    }

    /// Forgets all keys, as required when other accounts come into force.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}
