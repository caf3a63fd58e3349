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

/// An upstream and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One request to one upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whom to ask.
    pub place: Place,
    /// How many connections to it may be open.
    pub share: u32,
    /// What the reply must echo: request and attempt, shard, version.
    pub echo: ReplyIdentity,
    /// The time that the request has left.
    pub remaining: Duration,
    /// How long past that its reply is awaited to keep the connection.
    pub drain: Duration,
    /// Whether the request must not run twice.
    pub once: bool,
    /// The query.
    pub query: Query,
    /// Whose request it is.
    pub asker: Requester,
}

/// How a call ended.
#[derive(Debug)]
pub struct CallEnd {
    /// For the fan-out.
    pub end: AttemptEnd,
    /// For the routing.
    pub verdict: AttemptOutcome,
    /// What the reply said of the upstream.
    pub report: Report,
}

/// Asks upstreams.
pub trait Upstreams: Clone + 'static {
    /// Sends a call once and awaits its reply.
    ///
    /// `permit` is asked right before the first byte is written; where it
    /// says no, nothing is sent.
    fn ask(&self, call: Call, permit: impl Fn() -> bool) -> impl Future<Output = CallEnd>;

    /// Says whether an upstream that lost a reply has ended: nobody takes connections where
    /// it was. One that is slow to take them, or lost its connections alone, has not.
    fn has_ended(&self, place: &Place, share: u32) -> impl Future<Output = bool>;

    /// Tells an upstream that a reply is no longer wanted, where that costs
    /// no new connection.
    fn cancel(&self, upstream: &UpstreamId, request: &str);

    /// Opens a connection ahead of need, where fewer than `want` are idle and
    /// the share has room; returns whether one is being opened.
    fn warm(&self, place: &Place, share: u32, want: usize) -> bool;

    /// Closes idle connections to all upstreams but those named.
    fn keep_only(&self, keep: impl Fn(&UpstreamId) -> bool);

    /// Returns how many idle connections to an upstream are open.
    fn idle(&self, upstream: &UpstreamId) -> usize;
}
