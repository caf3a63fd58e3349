//! The upstreams by HTTP: one pool of connections a searcher, owned by one worker.

mod pool;
mod protocol;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use self::pool::Pool;
use self::protocol::answered;
use self::protocol::lost;
use self::protocol::make_request;
use self::protocol::read_echo;
use self::protocol::read_report;
use self::protocol::refused;
use self::protocol::unsent;
use super::http;
use super::http::Connection;
use crate::domain::fanout::verify;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::routing::Report;
use crate::ports::Call;
use crate::ports::CallEnd;
use crate::ports::Place;
use crate::ports::Upstreams;

/// The most bytes of one shard's reply.
const MOST_REPLY: usize = 4 << 20;

/// Asks upstreams by HTTP.
#[derive(Clone, Debug)]
pub struct HttpUpstreams {
    executor: Rc<LocalExecutor<'static>>,
    pools: Rc<RefCell<HashMap<UpstreamId, Pool>>>,
    opened: Rc<std::cell::Cell<u64>>,
}

impl HttpUpstreams {
    /// Creates the adapter of one worker, without connections.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { executor, pools: Rc::default(), opened: Rc::default() }
    }

    /// Returns how many connections were opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends on an idle connection first; one found dead before a byte was
    /// written is replaced by a new one.
    async fn converse(&self, call: &Call, permit: impl Fn() -> bool) -> CallEnd {
        let mut request = make_request(call);
        loop {
            let idle = self.take_idle(call);
            let reused = idle.is_some();
            let opened = match idle {
                Some(connection) => Ok(connection),
                None => self.open(&call.place, call.share).await,
            };
            let mut connection = match opened {
                Ok(connection) => connection,
                Err(why) => return unsent(why),
            };
            if !permit() {
                self.give_back(&call.place, connection);
                return unsent(Gap::Unconfirmed);
            }
            match connection.send(request).await {
                Ok(reply) => return self.finish(call, connection, reply).await,
                Err(Some(unwritten)) if reused => {
                    self.release(&call.place);
                    request = unwritten;
                }
                Err(Some(_unwritten)) => {
                    self.release(&call.place);
                    return unsent(Gap::Unreachable);
                }
                Err(None) => {
                    self.release(&call.place);
                    return lost(Gap::ReplyLost, Report::default());
                }
            }
        }
    }

    async fn finish(&self, call: &Call, connection: Connection, reply: Response<Incoming>) -> CallEnd {
        let (head, body) = reply.into_parts();
        let report = read_report(&head.headers);
        let whole = http::read(body, MOST_REPLY).await;
        let Ok(whole) = whole else {
            self.release(&call.place);
            return lost(Gap::ReplyLost, report);
        };
        let echoed = read_echo(&head.headers);
        if let Err(gap) = verify(&call.echo, echoed.as_ref()) {
            self.release(&call.place);
            return lost(gap, report);
        }
        self.give_back(&call.place, connection);
        if head.status == StatusCode::OK {
            return answered(&whole, report);
        }
        refused(&head.headers, report)
    }
}

impl Upstreams for HttpUpstreams {
    async fn ask(&self, call: Call, permit: impl Fn() -> bool) -> CallEnd {
        let limit = call.remaining + call.drain;
        let expired = async {
            Timer::after(limit).await;
            None
        };
        let ended = async { Some(self.converse(&call, permit).await) }.or(expired).await;
        ended.unwrap_or_else(|| {
            self.release(&call.place);
            lost(Gap::ReplyLost, Report::default())
        })
    }

    fn cancel(&self, upstream: &UpstreamId, request: &str) {
        let taken = {
            let mut pools = self.pools.borrow_mut();
            let Some(pool) = pools.get_mut(upstream) else {
                return;
            };
            pool.idle.pop().map(|connection| (connection, pool.address))
        };
        let Some((mut connection, address)) = taken else {
            return;
        };
        let place = Place { upstream: Arc::clone(upstream), address };
        let path = format!("/v1/requests/{request}");
        let this = self.clone();
        let send = async move {
            let request = Request::delete(path).header("host", address.to_string());
            let Ok(request) = request.body(Full::default()) else {
                return;
            };
            let kept = match connection.send(request).await {
                Ok(reply) => http::read(reply.into_body(), MOST_REPLY).await.is_ok(),
                Err(_) => false,
            };
            if kept {
                this.give_back(&place, connection);
            } else {
                this.release(&place);
            }
        };
        self.executor.spawn(send).detach();
    }

    fn warm(&self, place: &Place, share: u32, want: usize) -> bool {
        if self.ready(place) >= want || !self.has_room(place, share) {
            return false;
        }
        let (this, place) = (self.clone(), place.clone());
        let open = async move {
            let opened = this.open(&place, share).await;
            this.with_pool(&place, |pool| pool.warmed(opened.is_ok()));
            if let Ok(connection) = opened {
                this.give_back(&place, connection);
            }
        };
        self.executor.spawn(open).detach();
        true
    }

    fn idle(&self, upstream: &UpstreamId) -> usize {
        self.pools.borrow().get(upstream).map_or(0, |pool| pool.idle.len())
    }
}
