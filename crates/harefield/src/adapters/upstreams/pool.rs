//! The connections to each upstream, within its share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::HttpUpstreams;
use crate::adapters::http;
use crate::adapters::http::Connection;
use crate::domain::outcome::Gap;
use crate::ports::Call;
use crate::ports::Place;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The first pause after a connection could not be opened ahead of need; it
/// doubles with each further failure.
const COOLING: Duration = Duration::from_millis(250);

/// The longest such pause.
const LONGEST_COOLING: Duration = Duration::from_secs(8);

/// The connections to one upstream.
#[derive(Debug)]
pub(super) struct Pool {
    pub address: SocketAddr,
    pub idle: Vec<Connection>,
    pub open: u32,
    pub warming: usize,
    /// Until when no connection is opened ahead of need, after that failed.
    pub cooling: Option<Instant>,
    pub strikes: u32,
}

impl Pool {
    fn new(address: SocketAddr) -> Self {
        Self { address, idle: Vec::new(), open: 0, warming: 0, cooling: None, strikes: 0 }
    }
}

impl Pool {
    /// Takes how opening a connection ahead of need went.
    pub(super) fn warmed(&mut self, opened: bool) {
        self.warming = self.warming.saturating_sub(1);
        if opened {
            self.strikes = 0;
            self.cooling = None;
            return;
        }
        let doubled = COOLING.saturating_mul(1 << self.strikes.min(10));
        self.cooling = Some(Instant::now() + doubled.min(LONGEST_COOLING));
        self.strikes = self.strikes.saturating_add(1);
    }
}

impl HttpUpstreams {
    pub(super) fn take_idle(&self, call: &Call) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&call.place.upstream)?;
        if pool.address != call.place.address {
            pool.idle.clear();
            return None;
        }
        while let Some(connection) = pool.idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
            pool.open = pool.open.saturating_sub(1);
        }
        None
    }

    /// Reserves a place for one more connection within the share.
    pub(super) fn reserve(&self, place: &Place, share: u32) -> bool {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&place.upstream)).or_insert_with(|| Pool::new(place.address));
        if pool.address != place.address {
            *pool = Pool::new(place.address);
        }
        let room = pool.open < share;
        pool.open += u32::from(room);
        room
    }

    /// Changes the pool of a place, unless it has moved to another address.
    pub(super) fn with_pool(&self, place: &Place, change: impl FnOnce(&mut Pool)) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&place.upstream)
            && pool.address == place.address
        {
            change(pool);
        }
    }

    pub(super) fn release(&self, place: &Place) {
        self.with_pool(place, |pool| pool.open = pool.open.saturating_sub(1));
    }

    pub(super) fn give_back(&self, place: &Place, connection: Connection) {
        self.with_pool(place, |pool| pool.idle.push(connection));
    }

    /// Returns how many connections are idle or being opened ahead of need.
    pub(super) fn ready(&self, place: &Place) -> usize {
        let pools = self.pools.borrow();
        pools.get(&place.upstream).map_or(0, |pool| pool.idle.len() + pool.warming)
    }

    /// Notes that a connection is opened ahead of need, where the share has room.
    pub(super) fn has_room(&self, place: &Place, share: u32) -> bool {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&place.upstream)).or_insert_with(|| Pool::new(place.address));
        let cooling = pool.cooling.is_some_and(|until| Instant::now() < until);
        let room = pool.open < share && !cooling;
        pool.warming += usize::from(room);
        room
    }

    pub(super) async fn open(&self, place: &Place, share: u32) -> Result<Connection, Gap> {
        if !self.reserve(place, share) {
            return Err(Gap::Overloaded);
        }
        match http::connect(&self.executor, place.address, CONNECT_LIMIT).await {
            Ok(connection) => {
                self.opened.set(self.opened.get() + 1);
                Ok(connection)
            }
            Err(_unopened) => {
                self.release(place);
                Err(Gap::Unreachable)
            }
        }
    }
}
