//! The state and settings that the threads of a daemon share.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use async_channel::Sender;
use serde::Serialize;

use crate::adapters::http::ServerLimits;
use crate::adapters::http::Stop;
use crate::adapters::http::Traffic;
use crate::adapters::settings::Settings;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::engine::Shared;
use crate::engine::ToControl;
use crate::telemetry::Board;
use crate::telemetry::Telemetry;

/// The addresses that a daemon listens on, with the ports that the system assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

/// Which listener accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Callers,
    Peers,
}

/// A connection that was accepted and waits for its worker.
#[derive(Debug)]
pub(super) struct AcceptedConnection {
    pub stream: TcpStream,
    pub side: Side,
}

/// Settings, addresses and shared state for every thread; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct Context {
    pub settings: Arc<Settings>,
    pub addresses: Addresses,
    pub host: HostId,
    pub incarnation: Incarnation,
    pub shared: Shared,
    pub control: Sender<ToControl>,
    pub telemetry: Telemetry,
    pub board: Arc<Board>,
    /// The bytes of control traffic.
    pub traffic: Traffic,
    /// Closed when a planned stop begins.
    pub stop: Stop,
    /// Open connections of callers and peers.
    pub connections: Arc<AtomicUsize>,
    /// The token that daemons show each other, where one is set.
    pub token: Option<String>,
}

impl Context {
    /// Returns the limits for reading request heads.
    pub fn server_limits(&self) -> ServerLimits {
        /// The smallest limit on the bytes that are read of a head. A head that is over the
        /// configured limit but within the read limit is refused with a result code.
        const MIN_HEAD_BUFFER: usize = 65_536;
        ServerLimits {
            head_bytes: self.settings.limits.head_bytes.saturating_mul(2).max(MIN_HEAD_BUFFER),
            head_time: Duration::from_millis(self.settings.limits.head_ms),
        }
    }

    /// Returns how long idle connections are kept open after a planned stop began.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.settings.stop.linger_ms)
    }
}
