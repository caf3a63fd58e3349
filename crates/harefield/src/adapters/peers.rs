//! The client for other daemons: HTTP with `MessagePack` bodies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::header::ACCEPT_ENCODING;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;

use super::http;
use super::http::ClientError;
use super::http::Connection;
use super::http::Pool;
use super::http::Progress;
use super::http::ReplyBody;
use super::http::Traffic;
use super::opaque::OpaqueAnswer;
use crate::domain::buffers::Purpose;
use crate::domain::feed::News;
use crate::domain::hlc::Stamp;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::memory::Memory;
use crate::ports::Exchange;
use crate::ports::Forward;
use crate::ports::ForwardAnswer;
use crate::ports::Group;
use crate::ports::GroupReply;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::PermitReply;
use crate::ports::PermitRequest;
use crate::ports::Pull;

/// The path of forwarded requests.
pub const FORWARD_PATH: &str = "/v1/forward";

/// The path of delegated groups of shards.
pub const GROUP_PATH: &str = "/v1/group";

/// The path of gossip exchanges.
pub const EXCHANGE_PATH: &str = "/v1/exchange";

/// The path of pulls.
pub const PULL_PATH: &str = "/v1/pull";

/// The path of requests for permits under accounts' limits.
pub const PERMITS_PATH: &str = "/v1/permits";

/// The maximum size of a peer's reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// How long after sending a group to open a spare connection to its daemon if none is idle; the
/// group itself is sent first.
const SPARE_PAUSE: Duration = Duration::from_millis(1);

/// A call that gets no answer for this long may have used a silent connection. Answers take less,
/// except those that wait beyond an objective.
const SUSPECT_AFTER: Duration = Duration::from_millis(250);

/// How long opening a connection to a daemon may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// A cell member's answer to a forwarded request, as it is sent between daemons.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ForwardReply {
    pub stamp: Stamp,
    pub edition: Edition,
    pub answer: WireAnswer,
}

/// An answer as it is sent between daemons: JSON if it contains JSON replies, which are kept as
/// sent, or the parts of an answer to an opaque request.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum WireAnswer {
    Json(ByteBuf),
    Opaque(Box<OpaqueAnswer>),
}

/// The HTTP client for other daemons.
#[derive(Clone, Debug)]
pub struct HttpPeers {
    executor: Rc<LocalExecutor<'static>>,
    pool: Rc<Pool>,
    token: Option<String>,
    traffic: Traffic,
    memory: Memory,
}

/// A call in progress. If it ends unanswered after `SUSPECT_AFTER`, the idle connections to its
/// daemon are closed too: they may be as silent as the one it used, and new ones may work.
struct PendingCall<'a> {
    pool: &'a Pool,
    address: SocketAddr,
    since: Instant,
    resolved: bool,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.resolved && self.since.elapsed() >= SUSPECT_AFTER {
            self.pool.close_idle(self.address);
        }
    }
}

impl HttpPeers {
    /// Creates the client on one thread's executor. `token` is sent to peers, `traffic` counts the
    /// bytes of control messages, and `memory` accounts for replies.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        token: Option<String>,
        traffic: Traffic,
        memory: Memory,
    ) -> Self {
        Self { executor, pool: Rc::default(), token, traffic, memory }
    }

    async fn call<R: DeserializeOwned>(
        &self,
        host: &HostId,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<(R, usize), PeerError> {
        let (address, request) = self.prepare(host, path, body)?;
        let replied = async {
            let (reply, connection) = self.send(address, request, limit).await?;
            self.receive(address, reply, connection).await
        };
        self.track(address, replied.or(http::expire(limit, PeerError::Silent))).await
    }

    /// Calls a daemon whose reply may be large: `limit` applies to the head of the reply, and to
    /// each interval in which its body makes no progress.
    async fn call_for_large<R: DeserializeOwned>(
        &self,
        host: &HostId,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<(R, usize), PeerError> {
        let (address, mut request) = self.prepare(host, path, body)?;
        request.headers_mut().insert(ACCEPT_ENCODING, http::LZ4);
        let replied = async {
            let expired = http::expire(limit, PeerError::Silent);
            let (reply, connection) = self.send(address, request, limit).or(expired).await?;
            let progress = Progress::default();
            let reply = reply.map(|body| progress.observe(body));
            let stalled = async { progress.stalled(limit).await.map_err(|_stalled| PeerError::Silent) };
            self.receive(address, reply, connection).or(stalled).await
        };
        self.track(address, replied).await
    }

    fn prepare(
        &self,
        host: &HostId,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(SocketAddr, Request<Full<Bytes>>), PeerError> {
        let address = host.parse().map_err(|_error| PeerError::Unreachable)?;
        Ok((address, self.request(host, path, body)?))
    }

    /// Waits for a call to a daemon as a [`PendingCall`].
    async fn track<T>(
        &self,
        address: SocketAddr,
        replied: impl Future<Output = Result<T, PeerError>>,
    ) -> Result<T, PeerError> {
        let mut pending = PendingCall { pool: &self.pool, address, since: Instant::now(), resolved: false };
        let reply = replied.await;
        pending.resolved = !matches!(reply, Err(PeerError::Silent));
        reply
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(Response<ReplyBody>, Connection), PeerError> {
        let connecting = limit.min(CONNECT_LIMIT);
        let sent = self.pool.send(&self.executor, address, request, connecting).await;
        sent.map_err(|error| match error {
            ClientError::NotSent => PeerError::Unreachable,
            ClientError::Lost | ClientError::TooLarge => PeerError::Silent,
        })
    }

    /// Reads a reply, and keeps its connection for the next call.
    async fn receive<B, R>(
        &self,
        address: SocketAddr,
        reply: Response<B>,
        connection: Connection,
    ) -> Result<(R, usize), PeerError>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
        R: DeserializeOwned,
    {
        let (head, body) = reply.into_parts();
        let whole = http::read_counted(body, MAX_REPLY_BYTES, &self.memory, Purpose::Messages).await;
        let whole = whole.map_err(|_error| PeerError::Silent)?;
        self.pool.release(address, connection);
        match head.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(PeerError::Unreachable),
            _ => return Err(PeerError::Silent),
        }
        let received = whole.len();
        let whole = http::decompress(&head.headers, whole, MAX_REPLY_BYTES);
        let whole = whole.map_err(|_error| PeerError::Silent)?;
        let parsed = rmp_serde::from_slice(&whole).map_err(|_error| PeerError::Silent)?;
        Ok((parsed, received))
    }

    fn request(&self, host: &HostId, path: &str, body: Vec<u8>) -> Result<Request<Full<Bytes>>, PeerError> {
        let mut request = Request::post(path).header("host", &**host);
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        request.body(Full::new(Bytes::from(body))).map_err(|_error| PeerError::Unreachable)
    }

    /// Counts the bytes of a control message and of its reply.
    async fn count<R>(
        &self,
        sent: usize,
        call: impl Future<Output = Result<(R, usize), PeerError>>,
    ) -> Result<R, PeerError> {
        let (reply, received) = call.await?;
        self.traffic.count(sent, received);
        Ok(reply)
    }
}

impl Peers for HttpPeers {
    async fn forward(
        &self,
        host: &HostId,
        message: &Forward,
        limit: Duration,
    ) -> Result<ForwardAnswer, PeerError> {
        let (reply, _size): (ForwardReply, _) = self.call(host, FORWARD_PATH, pack(message)?, limit).await?;
        let answer = match reply.answer {
            WireAnswer::Json(json) => serde_json::from_slice(&json).map_err(|_error| PeerError::Silent)?,
            WireAnswer::Opaque(answer) => answer.into_answer(&message.request),
        };
        Ok(ForwardAnswer { answer, stamp: reply.stamp, edition: reply.edition })
    }

    async fn delegate(
        &self,
        host: &HostId,
        message: &Group,
        limit: Duration,
    ) -> Result<GroupReply, PeerError> {
        // Fields are identified by position to save bytes, as these messages are sent between
        // regions.
        let body = rmp_serde::to_vec(message).map_err(|_error| PeerError::Unreachable)?;
        let this = self.clone();
        let address: SocketAddr = host.parse().map_err(|_error| PeerError::Unreachable)?;
        let spare = async move {
            Timer::after(SPARE_PAUSE).await;
            this.pool.keep_spare(&this.executor, address, CONNECT_LIMIT).await;
        };
        self.executor.spawn(spare).detach();
        let (reply, _size) = self.call(host, GROUP_PATH, body, limit).await?;
        Ok(reply)
    }

    async fn permits(
        &self,
        host: &HostId,
        message: &PermitRequest,
        limit: Duration,
    ) -> Result<PermitReply, PeerError> {
        let body = rmp_serde::to_vec(message).map_err(|_error| PeerError::Unreachable)?;
        let (reply, _size) = self.call(host, PERMITS_PATH, body, limit).await?;
        Ok(reply)
    }

    async fn exchange(
        &self,
        host: &HostId,
        message: &Exchange,
        limit: Duration,
    ) -> Result<Exchange, PeerError> {
        let body = pack(message)?;
        self.count(body.len(), self.call(host, EXCHANGE_PATH, body, limit)).await
    }

    async fn pull(&self, host: &HostId, message: Pull, limit: Duration) -> Result<News, PeerError> {
        let body = pack(&message)?;
        self.count(body.len(), self.call_for_large(host, PULL_PATH, body, limit)).await
    }
}

fn pack<M: Serialize>(message: &M) -> Result<Vec<u8>, PeerError> {
    rmp_serde::to_vec_named(message).map_err(|_error| PeerError::Unreachable)
}
