//! The upstreams by HTTP: one pool of connections a searcher, owned by one worker.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde_json::value::RawValue;

use super::http;
use super::http::Connection;
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::Echo;
use crate::domain::fanout::verify;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::routing::Load;
use crate::domain::routing::Report;
use crate::domain::routing::Verdict;
use crate::domain::word::Word;
use crate::domain::word::WordStamp;
use crate::ports::Call;
use crate::ports::CallEnd;
use crate::ports::Place;
use crate::ports::Upstreams;

/// The most bytes of one shard's reply.
const MOST_REPLY: usize = 4 << 20;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The connections to one upstream.
#[derive(Debug)]
struct Pool {
    address: SocketAddr,
    idle: Vec<Connection>,
    open: u32,
    warming: usize,
}

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

    fn take_idle(&self, call: &Call) -> Option<Connection> {
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
    fn reserve(&self, place: &Place, share: u32) -> bool {
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
    fn with_pool(&self, place: &Place, change: impl FnOnce(&mut Pool)) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&place.upstream)
            && pool.address == place.address
        {
            change(pool);
        }
    }

    fn release(&self, place: &Place) {
        self.with_pool(place, |pool| pool.open = pool.open.saturating_sub(1));
    }

    fn give_back(&self, place: &Place, connection: Connection) {
        self.with_pool(place, |pool| pool.idle.push(connection));
    }

    /// Returns how many connections are idle or being opened ahead of need.
    fn ready(&self, place: &Place) -> usize {
        let pools = self.pools.borrow();
        pools.get(&place.upstream).map_or(0, |pool| pool.idle.len() + pool.warming)
    }

    /// Notes that a connection is opened ahead of need, where the share has room.
    fn has_room(&self, place: &Place, share: u32) -> bool {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(Arc::clone(&place.upstream)).or_insert_with(|| Pool::new(place.address));
        let room = pool.open < share;
        pool.warming += usize::from(room);
        room
    }

    async fn open(&self, place: &Place, share: u32) -> Result<Connection, Gap> {
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

impl Pool {
    fn new(address: SocketAddr) -> Self {
        Self { address, idle: Vec::new(), open: 0, warming: 0 }
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
            this.with_pool(&place, |pool| pool.warming = pool.warming.saturating_sub(1));
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

fn make_request(call: &Call) -> Request<Full<Bytes>> {
    let remaining = u64::try_from(call.remaining.as_millis()).unwrap_or(u64::MAX);
    let mut request = Request::new(Full::from(Bytes::copy_from_slice(&call.query)));
    *request.method_mut() = hyper::Method::POST;
    if let Ok(path) = format!("/v1/shards/{}", call.echo.shard).parse() {
        *request.uri_mut() = path;
    }
    let headers = request.headers_mut();
    put(headers, "host", &call.place.address.to_string());
    put(headers, "content-type", "application/json");
    put(headers, "harefield-request", &call.echo.request);
    put(headers, "harefield-shard", &call.echo.shard);
    put(headers, "harefield-snapshot", &call.echo.version.to_string());
    put(headers, "harefield-remaining-ms", &remaining.to_string());
    if call.once {
        put(headers, "harefield-once", "true");
    }
    request
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_echo(headers: &HeaderMap) -> Option<Echo> {
    Some(Echo {
        request: text(headers, "harefield-request")?.to_owned(),
        shard: text(headers, "harefield-shard")?.to_owned(),
        version: text(headers, "harefield-snapshot")?.parse().ok()?,
    })
}

fn read_report(headers: &HeaderMap) -> Report {
    Report { load: read_load(headers), word: read_word(headers) }
}

fn read_load(headers: &HeaderMap) -> Option<Load> {
    let (active, queued) = text(headers, "harefield-load")?.split_once('/')?;
    Some(Load { active: active.parse().ok()?, queued: queued.parse().ok()? })
}

fn read_word(headers: &HeaderMap) -> Option<Word> {
    let (start, change) = text(headers, "harefield-word")?.split_once('.')?;
    let stamp = WordStamp { start: start.parse().ok()?, change: change.parse().ok()? };
    let draining = text(headers, "harefield-draining") == Some("true");
    let held = text(headers, "harefield-held")
        .map(|list| list.split(',').filter_map(|version| version.trim().parse().ok()).collect());
    Some(Word { stamp, draining, held })
}

fn answered(body: &Bytes, report: Report) -> CallEnd {
    match serde_json::from_slice::<Box<RawValue>>(body) {
        Ok(reply) => CallEnd { end: AttemptEnd::Answered(reply), verdict: Verdict::Good, report },
        Err(_malformed) => lost(Gap::Failed, report),
    }
}

/// Reads a refusal; one that does not say that it had not begun may have run.
fn refused(headers: &HeaderMap, report: Report) -> CallEnd {
    let begun = text(headers, "harefield-begun") != Some("false");
    let wait = text(headers, "harefield-retry-ms").and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    let (why, verdict) = match text(headers, "harefield-refused") {
        Some("overloaded" | "connections" | "shedding") => (Gap::Overloaded, Verdict::Full(wait)),
        Some("draining") => (Gap::Leaving, Verdict::Declined),
        Some("snapshot") => (Gap::SnapshotMissing, Verdict::Declined),
        Some("shard") => (Gap::ShardMoved, Verdict::Declined),
        Some("late" | "cancelled") => (Gap::Late, Verdict::Abandoned),
        _ => (Gap::Failed, Verdict::Broken),
    };
    CallEnd { end: AttemptEnd::Refused { why, begun }, verdict, report }
}

fn unsent(why: Gap) -> CallEnd {
    let verdict = match why {
        Gap::Overloaded => Verdict::Full(None),
        Gap::Unconfirmed => Verdict::Declined,
        _ => Verdict::Broken,
    };
    CallEnd { end: AttemptEnd::NotSent { why }, verdict, report: Report::default() }
}

fn lost(why: Gap, report: Report) -> CallEnd {
    let verdict = if why == Gap::SnapshotWrong { Verdict::Declined } else { Verdict::Broken };
    CallEnd { end: AttemptEnd::Lost { why }, verdict, report }
}
