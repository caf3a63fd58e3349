//! The port to the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use crate::domain::accounts::Requester;
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::ReplyIdentity;
use crate::domain::ids::UpstreamId;
use crate::domain::query::Query;
use crate::domain::routing::AttemptOutcome;
use crate::domain::routing::Report;

/// An upstream and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One request to one upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to send the request.
    pub endpoint: Endpoint,
    /// How many connections to it may be open.
    pub connection_limit: u32,
    /// What the reply has to echo: request and attempt, shard, version.
    pub echo: ReplyIdentity,
    /// The time left for the request.
    pub remaining: Duration,
    /// How much longer the reply is awaited so that the connection can be reused.
    pub drain: Duration,
    /// Whether the request must not run twice.
    pub once: bool,
    /// The query.
    pub query: Query,
    /// Whose request it is.
    pub requester: Requester,
}

/// How a call ended.
#[derive(Debug)]
pub struct CallOutcome {
    /// For the fan-out.
    pub end: AttemptEnd,
    /// For the routing.
    pub outcome: AttemptOutcome,
    /// What the reply stated about the upstream.
    pub report: Report,
}

/// Sends requests to upstreams.
pub trait Upstreams: Clone + 'static {
    /// Sends a call once and waits for its reply.
    ///
    /// `permit` is called right before the first byte is written. If it returns false, nothing is
    /// sent.
    fn send(&self, call: Call, permit: impl Fn() -> bool) -> impl Future<Output = CallOutcome>;

    /// Returns whether an upstream that lost a reply has ended, which is the case if nobody accepts
    /// connections at its address. An upstream that is slow to accept them, or has only lost its
    /// connections, has not ended.
    fn has_ended(&self, endpoint: &Endpoint, connection_limit: u32) -> impl Future<Output = bool>;

    /// Returns whether a connection to an upstream is open, whether or not it carries a request.
    fn is_connected(&self, upstream: &UpstreamId) -> bool;

    /// Tells an upstream that a reply is no longer wanted, if that needs no new connection.
    fn cancel(&self, upstream: &UpstreamId, request: &str);

    /// Opens a connection in advance if fewer than `want` are idle and `connection_limit` allows
    /// another; returns whether one is being opened.
    fn preconnect(&self, endpoint: &Endpoint, connection_limit: u32, want: usize) -> bool;

    /// Closes idle connections to all upstreams for which `keep` returns false.
    fn keep_only(&self, keep: impl Fn(&UpstreamId) -> bool);

    /// Returns how many idle connections to an upstream are open.
    fn idle(&self, upstream: &UpstreamId) -> usize;
}
