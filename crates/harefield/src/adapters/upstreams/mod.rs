//! The client for upstreams over HTTP. Each worker has its own connections, in one pool per
//! upstream; a [`Protocol`] defines the messages.

mod pool;
mod protocol;

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Debug;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderMap;

use self::pool::ConnectionSlot;
use self::pool::Pool;
use super::http;
use super::http::Connection;
use super::http::ReplyBody;
use crate::domain::buffers::Purpose;
use crate::domain::fanout::AttemptEnd;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::routing::AttemptOutcome;
use crate::domain::routing::Report;
use crate::memory::Memory;
use crate::ports::Call;
use crate::ports::CallOutcome;
use crate::ports::Endpoint;
use crate::ports::Upstreams;

pub use self::protocol::JsonProtocol;

/// A request that has no reply after this long may be on a silent connection. Replies usually take
/// a tenth of it, and a few tenths from upstreams that are slow or paused.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// The time limit for checking whether an upstream has ended. It is shorter than the time after
/// which opening a connection is abandoned, as an attempt that gets no response proves nothing.
const CONNECT_CHECK_LIMIT: Duration = Duration::from_millis(400);

/// The maximum size of one shard's reply, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// A reply, as the protocol interprets it.
#[derive(Debug)]
pub struct ParsedReply {
    /// How the call ended.
    pub end: CallOutcome,
    /// Whether the connection can carry another request.
    pub keep: bool,
}

/// The protocol of upstreams: creates requests and interprets replies.
pub trait Protocol: Clone + Debug + 'static {
    /// Creates the request for a call.
    fn request(&self, call: &Call) -> Request<Full<Bytes>>;

    /// Interprets a complete reply.
    fn read(&self, call: &Call, reply: Response<Bytes>) -> ParsedReply;

    /// Returns what the head of a reply says about the upstream.
    fn report(&self, headers: &HeaderMap) -> Report;

    /// Creates the request that cancels a call whose reply is no longer wanted; `None` if the
    /// protocol has no such message.
    fn cancel(&self, endpoint: &Endpoint, request: &str) -> Option<Request<Full<Bytes>>>;
}

/// The HTTP client for upstreams.
#[derive(Clone, Debug)]
pub struct HttpUpstreams<W> {
    protocol: W,
    executor: Rc<LocalExecutor<'static>>,
    pools: Rc<RefCell<HashMap<UpstreamId, Pool>>>,
    opened: Rc<std::cell::Cell<u64>>,
    memory: Memory,
}

impl<W: Protocol> HttpUpstreams<W> {
    /// Creates the client of one worker, without connections; `memory` accounts for replies.
    #[must_use]
    pub fn new(protocol: W, executor: Rc<LocalExecutor<'static>>, memory: Memory) -> Self {
        Self { protocol, executor, pools: Rc::default(), opened: Rc::default(), memory }
    }

    /// Returns how many connections have been opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a call, preferably on an idle connection. An idle connection that is found dead before
    /// a byte was written is replaced.
    async fn send_call(&self, call: &Call, permit: impl Fn() -> bool) -> CallOutcome {
        let mut request = self.protocol.request(call);
        loop {
            let idle = self.take_idle(&call.endpoint);
            let reused = idle.is_some();
            let opened = match idle {
                Some(held) => Ok(held),
                None => self.open(&call.endpoint, call.connection_limit).await,
            };
            let (slot, mut connection) = match opened {
                Ok(held) => held,
                Err(why) => return unsent(why),
            };
            if !permit() {
                slot.release(connection);
                return unsent(Gap::Unconfirmed);
            }
            match connection.send(request).await {
                Ok(reply) => return self.finish(call, slot, connection, reply).await,
                Err(Some(unwritten)) if reused => request = unwritten,
                Err(Some(_unwritten)) => return unsent(Gap::Unreachable),
                Err(None) => return lost(Gap::ReplyLost, Report::default()),
            }
        }
    }

    async fn finish(
        &self,
        call: &Call,
        slot: ConnectionSlot,
        connection: Connection,
        reply: Response<ReplyBody>,
    ) -> CallOutcome {
        let (head, body) = reply.into_parts();
        let Ok(whole) = http::read_counted(body, MAX_REPLY_BYTES, &self.memory, Purpose::Replies).await
        else {
            return lost(Gap::ReplyLost, self.protocol.report(&head.headers));
        };
        let closes = closes(&head.headers);
        let reading = self.protocol.read(call, Response::from_parts(head, whole));
        if reading.keep && !closes {
            slot.release(connection);
        }
        reading.end
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let connection = headers.get(hyper::header::CONNECTION).and_then(|value| value.to_str().ok());
    connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

impl<W: Protocol> Upstreams for HttpUpstreams<W> {
    async fn send(&self, call: Call, permit: impl Fn() -> bool) -> CallOutcome {
        let limit = call.remaining + call.drain;
        let expired = async {
            Timer::after(limit).await;
            None
        };
        let suspect = async {
            Timer::after(SUSPECT_AFTER).await;
            self.close_idle(&call.endpoint);
            std::future::pending().await
        };
        let ended = async { Some(self.send_call(&call, permit).await) }.or(suspect).or(expired).await;
        ended.unwrap_or_else(|| lost(Gap::ReplyLost, Report::default()))
    }

    async fn has_ended(&self, endpoint: &Endpoint, connection_limit: u32) -> bool {
        let checked = async {
            match self.open(endpoint, connection_limit).await {
                Ok((slot, connection)) => {
                    slot.release(connection);
                    false
                }
                // If the connection limit is reached, nothing is known about the upstream.
                Err(why) => why == Gap::Unreachable,
            }
        };
        let expired = async {
            Timer::after(CONNECT_CHECK_LIMIT).await;
            false
        };
        checked.or(expired).await
    }

    fn is_connected(&self, upstream: &UpstreamId) -> bool {
        let mut pools = self.pools.borrow_mut();
        pools.get_mut(upstream).is_some_and(|pool| {
            pool.remove_closed();
            pool.open > 0
        })
    }

    fn cancel(&self, upstream: &UpstreamId, request: &str) {
        let Some(address) = self.pools.borrow().get(upstream).map(|pool| pool.address) else {
            return;
        };
        let endpoint = Endpoint { upstream: Arc::clone(upstream), address };
        let Some(message) = self.protocol.cancel(&endpoint, request) else {
            return;
        };
        let Some((slot, mut connection)) = self.take_idle(&endpoint) else {
            return;
        };
        let send = async move {
            if let Ok(reply) = connection.send(message).await
                && http::read(reply.into_body(), MAX_REPLY_BYTES).await.is_ok()
            {
                slot.release(connection);
            }
        };
        self.executor.spawn(send).detach();
    }

    fn preconnect(&self, endpoint: &Endpoint, connection_limit: u32, want: usize) -> bool {
        if self.ready(endpoint) >= want || !self.begin_preconnect(endpoint, connection_limit) {
            return false;
        }
        let (this, endpoint) = (self.clone(), endpoint.clone());
        let open = async move {
            let opened = this.open(&endpoint, connection_limit).await;
            this.update_pool(&endpoint, |pool| pool.end_preconnect(opened.is_ok()));
            if let Ok((slot, connection)) = opened {
                slot.release(connection);
            }
        };
        self.executor.spawn(open).detach();
        true
    }

    fn keep_only(&self, keep: impl Fn(&UpstreamId) -> bool) {
        // A connection that carries a request is closed afterwards, as its pool is gone.
        self.pools.borrow_mut().retain(|name, _| keep(name));
    }

    fn idle(&self, upstream: &UpstreamId) -> usize {
        self.pools.borrow().get(upstream).map_or(0, |pool| pool.idle.len())
    }
}

/// Creates the outcome of a call of which nothing was written.
#[must_use]
pub fn unsent(why: Gap) -> CallOutcome {
    let outcome = match why {
        // There was no free connection or no permit here, which says nothing about the upstream.
        Gap::Overloaded | Gap::Unconfirmed => AttemptOutcome::Declined,
        _ => AttemptOutcome::Failed,
    };
    CallOutcome { end: AttemptEnd::NotSent { why }, outcome, report: Report::default() }
}

/// Creates the outcome of a call that was written but brought no usable reply.
#[must_use]
pub fn lost(why: Gap, report: Report) -> CallOutcome {
    let outcome = if why == Gap::SnapshotWrong { AttemptOutcome::Declined } else { AttemptOutcome::Lost };
    CallOutcome { end: AttemptEnd::Lost { why }, outcome, report }
}
