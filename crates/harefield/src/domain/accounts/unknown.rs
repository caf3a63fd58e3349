//! Keys that were found unknown after asking for what is newer.

use std::collections::VecDeque;

use crate::domain::key::KeyDigest;

/// The most keys that are remembered.
const MOST_KEPT: usize = 1024;

/// Keys that were found unknown under the accounts in force.
///
/// A key may be newer than what this daemon has read, so it asks before it refuses one; once
/// for each key, so that a caller who goes on with a key that was taken away costs nothing.
#[derive(Debug, Default)]
pub struct UnknownKeys {
    keys: VecDeque<KeyDigest>,
    /// How many keys are being asked for.
    asking: usize,
}

/// The most requests that wait for that at once.
const MOST_ASKING: usize = 64;

/// What to do about a key that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownKeyAction {
    /// It was asked for and stayed unknown under the accounts in force.
    Refuse,
    /// Too many requests ask already.
    Busy,
    /// Ask, and say how that ended.
    Query,
}

impl UnknownKeys {
    /// Begins to ask for what is newer, since a key is not known.
    pub fn begin(&mut self, key: &KeyDigest) -> UnknownKeyAction {
        if self.keys.contains(key) {
            return UnknownKeyAction::Refuse;
        }
        if self.asking >= MOST_ASKING {
            return UnknownKeyAction::Busy;
        }
        self.asking += 1;
        UnknownKeyAction::Query
    }

    /// Takes that one that began to ask has ended.
    pub fn end(&mut self) {
        self.asking = self.asking.saturating_sub(1);
    }

    /// Remembers that a key is surely unknown.
    pub fn remember(&mut self, key: KeyDigest) {
        if self.keys.contains(&key) {
            return;
        }
        if self.keys.len() >= MOST_KEPT {
            self.keys.pop_front();
        }
        self.keys.push_back(key);
    }

    /// Forgets all keys: other accounts are in force.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}
