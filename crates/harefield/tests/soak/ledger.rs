//! Records what callers observed and which disturbances were under way.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::client::Outcome;
use crate::locked::lock;

/// The route that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Fans out to all shards and merges their answers.
    All,
    /// Goes to one upstream; may be repeated.
    One,
    /// Goes to one upstream; must not run twice.
    Once,
    /// Goes to the upstream that belongs to the active version of the configuration.
    Version,
}

/// A caller's request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub id: String,
    pub route: Route,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// The incarnation of that daemon: the count of its process starts when the request was sent.
    pub incarnation: u64,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

/// What a disturbance affects, for the checks that make allowance for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// A daemon that is paused or killed.
    Daemon(usize),
    /// A daemon that is shut down gracefully.
    Stop(usize),
    /// The connections among daemons.
    Peers,
    /// The store, for all daemons.
    Store,
    /// The connections of one daemon to the store.
    StoreLink(usize),
    /// Upstreams, or the connections to them.
    Upstreams,
}

/// A period in which something was disturbed.
#[derive(Clone, Debug)]
pub(crate) struct Disturbance {
    pub scope: Scope,
    pub from: Instant,
    /// `None` while it lasts.
    pub until: Option<Instant>,
}

/// A version of the configuration that was written to the store.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub version: u64,
    pub at: Instant,
    /// The services of the merged route, one per shard.
    pub shards: Vec<String>,
}

/// An upstream whose entry was set to draining, or removed.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    pub id: String,
    pub at: Instant,
}

/// A fatal request: it crashes each upstream that runs it.
#[derive(Clone, Debug)]
pub(crate) struct FatalRequest {
    pub id: String,
    pub path: &'static str,
    pub daemon: usize,
}

/// A request with the API key that a version introduced.
#[derive(Clone, Debug)]
pub(crate) struct KeyUse {
    pub version: u64,
    pub daemon: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

/// Everything recorded during a soak.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub requests: Vec<Request>,
    pub disturbances: Vec<Disturbance>,
    pub published: Vec<Published>,
    pub leaving: Vec<Leaving>,
    pub fatal: Vec<FatalRequest>,
    pub keys: Vec<KeyUse>,
}

impl Observations {
    /// Returns whether anything in the scopes selected by `of` was disturbed between `from`
    /// and `until`, or had been until at most `after` before `from`.
    pub fn disturbed(
        &self,
        from: Instant,
        until: Instant,
        after: Duration,
        of: impl Fn(Scope) -> bool,
    ) -> bool {
        let touches = |d: &Disturbance| d.from <= until && d.until.is_none_or(|end| end + after >= from);
        self.disturbances.iter().any(|d| of(d.scope) && touches(d))
    }
}

/// The record that all threads write to.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    observations: Mutex<Observations>,
}

impl Ledger {
    /// Locks and returns everything recorded so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.observations)
    }

    /// Records the start of a disturbance; returns its number for [`Self::end`].
    pub fn begin(&self, scope: Scope) -> usize {
        let mut observations = self.observations();
        observations.disturbances.push(Disturbance { scope, from: Instant::now(), until: None });
        observations.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end(&self, number: usize) {
        self.observations().disturbances[number].until = Some(Instant::now());
    }
}
