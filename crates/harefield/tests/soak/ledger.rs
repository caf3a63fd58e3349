//! What callers saw, and what was done to the world meanwhile.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::client::RequestOutcome;
use crate::locked::lock;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// All shards, merged.
    All,
    /// One upstream; may be repeated.
    One,
    /// One upstream; must not run twice.
    Once,
    /// The upstream that belongs to the version in force.
    Version,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub id: String,
    pub route: Route,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// Which of that daemon's processes.
    pub incarnation: u64,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: RequestOutcome,
}

/// What a disturbance strikes, for the checks that make allowance for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// A daemon was paused or killed.
    Daemon(usize),
    /// A daemon is stopped as planned.
    Stop(usize),
    /// What daemons say to each other.
    Peers,
    /// The store, for all daemons.
    Store,
    /// A daemon's way to the store.
    StoreLink(usize),
    /// Upstreams, or the way to them.
    Upstreams,
}

/// A time in which something was disturbed.
#[derive(Clone, Debug)]
pub(crate) struct Disturbance {
    pub scope: Scope,
    pub from: Instant,
    /// Open until it is over.
    pub until: Option<Instant>,
}

/// A configuration as it was accepted.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub version: u64,
    pub at: Instant,
    /// The services of the merged route.
    pub shards: Vec<String>,
}

/// An upstream that was declared to be leaving.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    pub id: String,
    pub at: Instant,
}

/// A request that ends the upstreams that run it.
#[derive(Clone, Debug)]
pub(crate) struct FatalRequest {
    pub id: String,
    pub path: &'static str,
    pub daemon: usize,
}

/// A request that showed the key that came with a version.
#[derive(Clone, Debug)]
pub(crate) struct KeyUse {
    pub version: u64,
    pub daemon: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: RequestOutcome,
}

/// Everything that was written down.
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
    /// Says whether anything of the kinds chosen was disturbed between two
    /// moments, or within `after` before.
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

/// What all threads write to.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    observations: Mutex<Observations>,
}

impl Ledger {
    /// Returns everything that was written down until now.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.observations)
    }

    /// Notes that a disturbance begins; returns its number.
    pub fn begin(&self, scope: Scope) -> usize {
        let mut observations = self.observations();
        observations.disturbances.push(Disturbance { scope, from: Instant::now(), until: None });
        observations.disturbances.len() - 1
    }

    /// Notes that a disturbance is over.
    pub fn end(&self, number: usize) {
        self.observations().disturbances[number].until = Some(Instant::now());
    }
}
