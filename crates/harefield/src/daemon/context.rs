//! What the threads of a daemon share.

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

/// The addresses that a daemon listens on, with the ports it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Who a connection is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Callers,
    Peers,
}

/// A connection on its way to a worker.
#[derive(Debug)]
pub(super) struct Arrived {
    pub stream: TcpStream,
    pub side: Side,
}

/// What every thread may need; cheap to clone.
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
    pub traffic: Traffic,
    pub stop: Stop,
    pub connections: Arc<AtomicUsize>,
    pub token: Option<String>,
}

impl Context {
    pub fn server_limits(&self) -> ServerLimits {
        /// Heads between the configured limit and this get a numbered answer.
        const LEAST_BUFFER: usize = 65_536;
        ServerLimits {
            head_bytes: self.settings.limits.head_bytes.saturating_mul(2).max(LEAST_BUFFER),
            head_time: Duration::from_millis(self.settings.limits.head_ms),
        }
    }

    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.settings.stop.linger_ms)
    }
}
