//! The upstreams by HTTP: one pool of connections a searcher, owned by one
//! worker; what is said on them is a [`Protocol`].

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
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use self::pool::Pool;
use self::pool::Seat;
use super::http;
use super::http::Connection;
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

pub use self::protocol::OwnProtocol;

/// A request without a reply for this long may be on a silent connection: replies take a
/// tenth of it, and some tenths from upstreams that are slow or pause.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// How long a look whether an upstream has ended may take; within the time in which a
/// connection is given up, since one that is not answered says nothing.
const LOOK_LIMIT: Duration = Duration::from_millis(400);

/// The most bytes of one shard's reply.
const MOST_REPLY: usize = 4 << 20;

/// What a reply amounts to.
#[derive(Debug)]
pub struct Reading {
    /// How the call ended.
    pub end: CallOutcome,
    /// Whether the connection may carry another request.
    pub keep: bool,
}

/// What is said to upstreams: requests made, replies read.
pub trait Protocol: Clone + Debug + 'static {
    /// Makes the request of a call.
    fn request(&self, call: &Call) -> Request<Full<Bytes>>;

    /// Reads a whole reply.
    fn read(&self, call: &Call, reply: Response<Bytes>) -> Reading;

    /// Reads what the head of a reply says of the upstream.
    fn report(&self, headers: &HeaderMap) -> Report;

    /// Makes the request by which an upstream is told that a reply is no
    /// longer wanted; none where the protocol has no word for it.
    fn cancel(&self, place: &Endpoint, request: &str) -> Option<Request<Full<Bytes>>>;
}

/// Asks upstreams by HTTP.
#[derive(Clone, Debug)]
pub struct HttpUpstreams<W> {
    protocol: W,
    executor: Rc<LocalExecutor<'static>>,
    pools: Rc<RefCell<HashMap<UpstreamId, Pool>>>,
    opened: Rc<std::cell::Cell<u64>>,
    memory: Memory,
}

impl<W: Protocol> HttpUpstreams<W> {
    /// Creates the adapter of one worker, without connections; `memory` counts replies.
    #[must_use]
    pub fn new(protocol: W, executor: Rc<LocalExecutor<'static>>, memory: Memory) -> Self {
        Self { protocol, executor, pools: Rc::default(), opened: Rc::default(), memory }
    }

    /// Returns how many connections were opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends on an idle connection first; one found dead before a byte was
    /// written is replaced by a new one.
    async fn converse(&self, call: &Call, permit: impl Fn() -> bool) -> CallOutcome {
        let mut request = self.protocol.request(call);
        loop {
            let idle = self.take_idle(&call.endpoint);
            let reused = idle.is_some();
            let opened = match idle {
                Some(held) => Ok(held),
                None => self.open(&call.endpoint, call.connection_limit).await,
            };
            let (seat, mut connection) = match opened {
                Ok(held) => held,
                Err(why) => return unsent(why),
            };
            if !permit() {
                seat.give_back(connection);
                return unsent(Gap::Unconfirmed);
            }
            match connection.send(request).await {
                Ok(reply) => return self.finish(call, seat, connection, reply).await,
                Err(Some(unwritten)) if reused => request = unwritten,
                Err(Some(_unwritten)) => return unsent(Gap::Unreachable),
                Err(None) => return lost(Gap::ReplyLost, Report::default()),
            }
        }
    }

    async fn finish(
        &self,
        call: &Call,
        seat: Seat,
        connection: Connection,
        reply: Response<Incoming>,
    ) -> CallOutcome {
        let (head, body) = reply.into_parts();
        let Ok(whole) = http::read_counted(body, MOST_REPLY, &self.memory, Purpose::Replies).await else {
            return lost(Gap::ReplyLost, self.protocol.report(&head.headers));
        };
        let closes = closes(&head.headers);
        let reading = self.protocol.read(call, Response::from_parts(head, whole));
        if reading.keep && !closes {
            seat.give_back(connection);
        }
        reading.end
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let said = headers.get(hyper::header::CONNECTION).and_then(|value| value.to_str().ok());
    said.is_some_and(|value| value.eq_ignore_ascii_case("close"))
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
        let ended = async { Some(self.converse(&call, permit).await) }.or(suspect).or(expired).await;
        ended.unwrap_or_else(|| lost(Gap::ReplyLost, Report::default()))
    }

    async fn has_ended(&self, place: &Endpoint, share: u32) -> bool {
        let looked = async {
            match self.open(place, share).await {
                Ok((seat, connection)) => {
                    seat.give_back(connection);
                    false
                }
                // Where no connection may be opened, that says nothing of the upstream.
                Err(why) => why == Gap::Unreachable,
            }
        };
        let expired = async {
            Timer::after(LOOK_LIMIT).await;
            false
        };
        looked.or(expired).await
    }

    fn cancel(&self, upstream: &UpstreamId, request: &str) {
        let Some(address) = self.pools.borrow().get(upstream).map(|pool| pool.address) else {
            return;
        };
        let place = Endpoint { upstream: Arc::clone(upstream), address };
        let Some(message) = self.protocol.cancel(&place, request) else {
            return;
        };
        let Some((seat, mut connection)) = self.take_idle(&place) else {
            return;
        };
        let send = async move {
            if let Ok(reply) = connection.send(message).await
                && http::read(reply.into_body(), MOST_REPLY).await.is_ok()
            {
                seat.give_back(connection);
            }
        };
        self.executor.spawn(send).detach();
    }

    fn preconnect(&self, place: &Endpoint, share: u32, want: usize) -> bool {
        if self.ready(place) >= want || !self.begin_warming(place, share) {
            return false;
        }
        let (this, place) = (self.clone(), place.clone());
        let open = async move {
            let opened = this.open(&place, share).await;
            this.with_pool(&place, |pool| pool.end_warming(opened.is_ok()));
            if let Ok((seat, connection)) = opened {
                seat.give_back(connection);
            }
        };
        self.executor.spawn(open).detach();
        true
    }

    fn keep_only(&self, keep: impl Fn(&UpstreamId) -> bool) {
        // A connection that carries a request finds no pool, and is closed then.
        self.pools.borrow_mut().retain(|name, _| keep(name));
    }

    fn idle(&self, upstream: &UpstreamId) -> usize {
        self.pools.borrow().get(upstream).map_or(0, |pool| pool.idle.len())
    }
}

/// Makes the end of a call of which nothing was written.
#[must_use]
pub fn unsent(why: Gap) -> CallOutcome {
    let verdict = match why {
        // No connection was free here, which says nothing of the upstream.
        Gap::Overloaded | Gap::Unconfirmed => AttemptOutcome::Declined,
        _ => AttemptOutcome::Failed,
    };
    CallOutcome { end: AttemptEnd::NotSent { why }, verdict, report: Report::default() }
}

/// Makes the end of a call that was written and brought no usable reply.
#[must_use]
pub fn lost(why: Gap, report: Report) -> CallOutcome {
    let verdict = if why == Gap::SnapshotWrong { AttemptOutcome::Declined } else { AttemptOutcome::Lost };
    CallOutcome { end: AttemptEnd::Lost { why }, verdict, report }
}
