//! The connections to each upstream, within this worker's share of the upstream's connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::HttpUpstreams;
use super::Protocol;
use crate::adapters::http;
use crate::adapters::http::Connection;
use crate::domain::backoff::backoff;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::ports::Endpoint;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The first pause after a connection could not be opened ahead of need; it doubles with each
/// further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The maximum pause after such failures.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

type Pools = Rc<RefCell<HashMap<UpstreamId, Pool>>>;

/// The connections to one upstream.
#[derive(Debug)]
pub(super) struct Pool {
    pub address: SocketAddr,
    /// Open connections that carry no request.
    pub idle: Vec<Connection>,
    /// How many connections are open or being opened.
    pub open: u32,
    /// How many connections are being opened ahead of need.
    pub preconnecting: usize,
    /// When to open connections ahead of need again, after a failure to do so.
    pub backoff_until: Option<Instant>,
    /// How many attempts to open a connection ahead of need failed in a row.
    pub failures: u32,
}

impl Pool {
    fn new(address: SocketAddr) -> Self {
        Self { address, idle: Vec::new(), open: 0, preconnecting: 0, backoff_until: None, failures: 0 }
    }

    /// Removes the idle connections that the upstream closed.
    pub(super) fn remove_closed(&mut self) {
        let before = self.idle.len();
        self.idle.retain(|connection| !connection.is_closed());
        let closed = u32::try_from(before - self.idle.len()).unwrap_or(u32::MAX);
        self.open = self.open.saturating_sub(closed);
    }

    /// Records whether a connection could be opened ahead of need.
    pub(super) fn end_preconnect(&mut self, opened: bool) {
        self.preconnecting = self.preconnecting.saturating_sub(1);
        if opened {
            self.failures = 0;
            self.backoff_until = None;
            return;
        }
        self.backoff_until = Some(Instant::now() + backoff(INITIAL_BACKOFF, self.failures, MAX_BACKOFF));
        self.failures = self.failures.saturating_add(1);
    }
}

/// One connection's slot in its upstream's pool. It is freed when dropped, unless the connection
/// was returned to the pool.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    pools: Pools,
    endpoint: Endpoint,
    released: bool,
}

impl ConnectionSlot {
    /// Returns the connection to the pool for the next request.
    pub(super) fn release(mut self, connection: Connection) {
        self.released = update(&self.pools, &self.endpoint, |pool| pool.idle.push(connection));
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if !self.released {
            update(&self.pools, &self.endpoint, |pool| pool.open = pool.open.saturating_sub(1));
        }
    }
}

/// Updates the pool of an upstream unless its address has changed; returns whether it did.
fn update(pools: &Pools, endpoint: &Endpoint, update: impl FnOnce(&mut Pool)) -> bool {
    let mut pools = pools.borrow_mut();
    match pools.get_mut(&endpoint.upstream).filter(|pool| pool.address == endpoint.address) {
        Some(pool) => {
            update(pool);
            true
        }
        None => false,
    }
}

impl<W: Protocol> HttpUpstreams<W> {
    fn slot(&self, endpoint: &Endpoint) -> ConnectionSlot {
        ConnectionSlot { pools: Rc::clone(&self.pools), endpoint: endpoint.clone(), released: false }
    }

    pub(super) fn take_idle(&self, endpoint: &Endpoint) -> Option<(ConnectionSlot, Connection)> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&endpoint.upstream)?;
        if pool.address != endpoint.address {
            pool.idle.clear();
            return None;
        }
        while let Some(connection) = pool.idle.pop() {
            if connection.is_ready() {
                return Some((self.slot(endpoint), connection));
            }
            pool.open = pool.open.saturating_sub(1);
        }
        None
    }

    /// Closes the idle connections to an upstream: they may be as silent as one that has had no
    /// reply for long, and new ones may work.
    pub(super) fn close_idle(&self, endpoint: &Endpoint) {
        update(&self.pools, endpoint, |pool| {
            let idle = u32::try_from(pool.idle.len()).unwrap_or(u32::MAX);
            pool.idle.clear();
            pool.open = pool.open.saturating_sub(idle);
        });
    }

    /// Reserves a slot for one more connection if the connection limit allows it.
    fn reserve(&self, endpoint: &Endpoint, connection_limit: u32) -> Option<ConnectionSlot> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&endpoint.upstream)).or_insert_with(|| Pool::new(endpoint.address));
        if pool.address != endpoint.address {
            *pool = Pool::new(endpoint.address);
        }
        let available = pool.open < connection_limit;
        pool.open += u32::from(available);
        available.then(|| self.slot(endpoint))
    }

    /// Updates the pool of an upstream unless its address has changed.
    pub(super) fn update_pool(&self, endpoint: &Endpoint, with: impl FnOnce(&mut Pool)) {
        update(&self.pools, endpoint, with);
    }

    /// Returns how many connections are idle or being opened ahead of need. Idle connections that
    /// the upstream closed are removed first.
    pub(super) fn ready(&self, endpoint: &Endpoint) -> usize {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&endpoint.upstream) else { return 0 };
        pool.remove_closed();
        pool.idle.len() + pool.preconnecting
    }

    /// Registers a connection that is about to be opened ahead of need. Returns false if the
    /// connection limit is reached, or if the pause after a failure isn't over.
    pub(super) fn begin_preconnect(&self, endpoint: &Endpoint, connection_limit: u32) -> bool {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&endpoint.upstream)).or_insert_with(|| Pool::new(endpoint.address));
        let backing_off = pool.backoff_until.is_some_and(|until| Instant::now() < until);
        let available = pool.open < connection_limit && !backing_off;
        pool.preconnecting += usize::from(available);
        available
    }

    pub(super) async fn open(
        &self,
        endpoint: &Endpoint,
        connection_limit: u32,
    ) -> Result<(ConnectionSlot, Connection), Gap> {
        let slot = self.reserve(endpoint, connection_limit).ok_or(Gap::Overloaded)?;
        let opened = http::connect(&self.executor, endpoint.address, CONNECT_LIMIT).await;
        let connection = opened.map_err(|_unopened| Gap::Unreachable)?;
        self.opened.set(self.opened.get() + 1);
        Ok((slot, connection))
    }
}
