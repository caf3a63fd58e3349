//! Whose turn it is among those that wait: start-time fair queuing over accounts and teams.
//!
//! The load pattern: one account sends many times its usual while there is no room for all.
//! In the order of arrival it gets as many times the others' share as it sends; by turns it
//! gets what the others leave.

use std::collections::HashMap;
use std::sync::Arc;

/// Tags that lag behind the turn are dropped when there are this many.
const MOST_KEPT: usize = 256;

/// The turns of one gate, in virtual time: one for each request that is let in.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    turn: f64,
    /// From when on each may have its next turn; those that lag behind may now.
    next: HashMap<Arc<str>, f64>,
}

impl Turns {
    /// Returns when the next turn of an account or team is; the lowest goes first.
    pub fn next_of(&self, name: &str) -> f64 {
        self.next.get(name).copied().unwrap_or(0.0).max(self.turn)
    }

    /// Takes that one of its requests was let in.
    pub fn take(&mut self, name: &Arc<str>) {
        self.turn = self.next_of(name);
        self.next.insert(Arc::clone(name), self.turn + 1.0);
        if self.next.len() >= MOST_KEPT {
            let turn = self.turn;
            self.next.retain(|_, next| *next > turn);
        }
    }
}
