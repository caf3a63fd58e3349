//! Keeps idle connections for reuse, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::LocalExecutor;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use log::debug;

use super::client::ClientError;
use super::client::Connection;
use super::client::connect;
use super::reply_meter::ReplyBody;

/// The maximum number of idle connections to keep per address.
const MAX_IDLE: usize = 64;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    /// Addresses to which a spare connection is being opened.
    opening: RefCell<HashSet<SocketAddr>>,
}

impl Pool {
    /// Sends a request on an idle connection or a new one.
    ///
    /// An idle connection that is found dead before a byte was written is replaced; a request that
    /// was written is never sent again.
    ///
    /// # Errors
    ///
    /// Returns whether the request had been written when it failed.
    pub async fn send(
        &self,
        executor: &LocalExecutor<'_>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(Response<ReplyBody>, Connection), ClientError> {
        let mut request = request;
        loop {
            let idle = self.take_idle(address);
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(executor, address, limit).await?,
            };
            match connection.send(request).await {
                Ok(reply) => return Ok((reply, connection)),
                Err(Some(unwritten)) if reused => request = unwritten,
                Err(Some(_unwritten)) => return Err(ClientError::NotSent),
                Err(None) => return Err(ClientError::Lost),
            }
        }
    }

    /// Opens a spare connection if none is idle or being opened.
    pub async fn keep_spare(&self, executor: &LocalExecutor<'_>, address: SocketAddr, limit: Duration) {
        let has_idle = self.idle.borrow().get(&address).is_some_and(|idle| !idle.is_empty());
        if has_idle || !self.opening.borrow_mut().insert(address) {
            return;
        }
        let opened = connect(executor, address, limit).await;
        self.opening.borrow_mut().remove(&address);
        match opened {
            Ok(connection) => self.release(address, connection),
            Err(error) => debug!("cannot open a spare connection to {address}: {error:?}"),
        }
    }

    /// Returns a connection to the pool after its reply has been read completely.
    pub fn release(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(idle) = self.idle.borrow_mut().remove(&address) {
            debug!("closed {} idle connections to {address}", idle.len());
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }
}
