//! The port to the other daemons.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use super::formats::MarkFormat;
use super::formats::PullFormat;
use super::platform::Space;
use crate::domain::accounts::Requester;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::feed::News;
use crate::domain::hlc::Stamp;
use crate::domain::ids::AccountId;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::membership::MemberRow;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Gap;
use crate::domain::query::OpaqueQuery;
use crate::domain::residency::Regions;
use crate::domain::retained::RetainedMark;
use crate::domain::revision::Revision;
use crate::domain::suspects::SuspectReport;

/// A request that is forwarded to another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The daemon that forwards it.
    pub from: HostId,
    /// When it was sent, in hybrid logical time.
    pub stamp: Stamp,
    /// The id of the request.
    pub request: String,
    /// The lookup.
    pub lookup: String,
    /// The query, if it is JSON.
    #[serde(with = "serde_bytes")]
    pub query: Vec<u8>,
    /// The query, if it is an opaque request.
    pub opaque: Option<OpaqueQuery>,
    /// The ticket of a once-only request.
    pub ticket: Option<String>,
    /// The time left, in milliseconds.
    pub remaining: u64,
    /// The time after which an answer with enough shards is sent, in microseconds.
    pub gather: Option<u64>,
    /// The edition that the request was admitted under, or a newer one that the forwarding daemon
    /// knows of. A daemon with an older edition must not run it.
    pub edition: Edition,
    /// Whether the request was forwarded to another daemon before.
    pub again: bool,
    /// Whether the objective of the request had passed when it was received.
    #[serde(default)]
    pub late: bool,
    /// What the forwarding daemon knows about the work if upstreams ended while they ran it.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
    /// Whose request it is.
    #[serde(default, skip_serializing_if = "Requester::is_open")]
    pub asker: Requester,
}

/// The answer of a cell member to a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardAnswer {
    /// The answer.
    pub answer: Answer,
    /// When it was sent, in hybrid logical time.
    pub stamp: Stamp,
    /// The edition that it was computed under.
    pub edition: Edition,
}

/// A group of shards that is delegated to a daemon near their replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    /// The daemon that delegates it.
    pub from: HostId,
    /// When it was sent, in hybrid logical time.
    pub stamp: Stamp,
    /// The id of the request.
    pub request: String,
    /// The lookup.
    pub lookup: String,
    /// The index that the shards belong to, as seen by the delegating daemon.
    pub index: String,
    /// The shards.
    pub shards: Vec<ShardId>,
    /// For some shards, by position in the group: the only replicas that may be used. An empty
    /// name stands for a replica that the receiving daemon chooses. Earlier versions do not know
    /// the empty name and use the other replicas.
    pub only: Vec<(usize, Vec<UpstreamId>)>,
    /// The query.
    pub query: OpaqueQuery,
    /// How many records to keep of all shards together.
    pub most: usize,
    /// How many shards must have replied before an incomplete answer is sent.
    pub needed: usize,
    /// The time left, in microseconds.
    pub remaining: u64,
    /// The time after which an answer with enough shards is sent, in microseconds.
    pub gather: Option<u64>,
    /// Whether the request was sent to another daemon before.
    pub again: bool,
    /// How many shards must still be able to contribute; once fewer are, the replies received so
    /// far are sent at once. `None` from daemons that do not write the field, which means as many
    /// as are needed.
    #[serde(default)]
    pub possible: Option<usize>,
    /// What the delegating daemon knows about the work if upstreams ended while they ran it.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
    /// The only regions in which the request may be served, as known to the delegating daemon; any
    /// region if empty. The receiving daemon obeys these and those that it knows itself.
    #[serde(default)]
    pub regions: Regions,
    /// Whose request it is; `None` where no client accounts are in force and no field follows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asker: Option<Requester>,
    /// The rank of the lookup if the delegating daemon schedules the index; the reply may then state
    /// `delays`. `None` from daemons that do not write the field, which reject a group with it: they
    /// identify fields by position and read no more of them than they know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
}

/// Requests permits from the holder of a part of an account's limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The account.
    pub account: AccountId,
    /// The number of the part.
    pub part: u32,
    /// How many permits are requested.
    pub wanted: u32,
}

/// The response of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// This many permits, at least one.
    Granted(u32),
    /// No permit; one becomes available after this many milliseconds.
    Empty(u64),
    /// The daemon does not hold that part.
    NotHeld,
}

/// A shard of a group that contributed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupPart {
    /// The position of the shard in the group.
    pub at: usize,
    /// The upstream's signature over its reply.
    pub signature: Arc<str>,
}

/// A shard of a group that did not contribute.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct GroupGap {
    /// The position of the shard in the group.
    pub at: usize,
    /// The reason.
    pub why: Gap,
    /// Whether the request may have run there.
    pub ran: bool,
    /// How many upstreams the request was sent to.
    pub sent: u32,
}

/// The result of a group of shards.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupReply {
    /// When it was sent, in hybrid logical time.
    pub stamp: Stamp,
    /// Whether the daemon declined the group; nothing was sent to upstreams in that case.
    pub declined: bool,
    /// How long the daemon worked on the group, in microseconds.
    pub took: u64,
    /// The shards that contributed.
    pub parts: Vec<GroupPart>,
    /// The shards that did not.
    pub missing: Vec<GroupGap>,
    /// The greatest records of all shards that contributed.
    pub records: ByteBuf,
    /// How long a new request of the group's rank would wait for some of the shards; not at all for
    /// the others. Empty from daemons that do not write the field, and to those that do not read it:
    /// they state no rank.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub delays: Vec<GroupDelay>,
}

/// The queueing delay of a shard of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDelay {
    /// The position of the shard in the group.
    pub at: usize,
    /// How long a new request would wait before it is sent, in microseconds.
    pub micros: u64,
}

/// How far a daemon is in one space: its high-water mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MarkFormat", into = "MarkFormat")]
pub struct Mark {
    /// The space.
    pub space: Space,
    /// The revision in use; none before the first.
    pub revision: Option<Revision>,
    /// How many milliseconds ago a newer revision may have been confirmed. `None` if there is no
    /// proof of freshness for the revision.
    pub age: Option<u64>,
    /// The mark of the values that take precedence over the platform's at that revision. `None`
    /// from daemons that do not know eras.
    pub retained: Option<RetainedMark>,
}

/// The gossip that two daemons exchange, in both directions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// The sending daemon.
    pub from: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When it was sent, in hybrid logical time.
    pub stamp: Stamp,
    /// How far the daemon is in each space.
    pub marks: Vec<Mark>,
    /// The state of daemons, as known to the sender.
    pub rows: Vec<MemberRow>,
    /// The announcements of upstreams that it received.
    #[serde(rename = "words")]
    pub announcements: Vec<NamedAnnouncement>,
    /// What it knows about work under which upstreams ended. Empty from daemons that do not write
    /// the field.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
}

/// Requests from a daemon what is newer than the sender's revision.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "PullFormat", into = "PullFormat")]
pub struct Pull {
    /// The space.
    pub space: Space,
    /// The sender's revision.
    pub have: Option<Revision>,
    /// The mark of the sender's retained values. `None` from a daemon that does not understand
    /// them.
    pub retained: Option<RetainedMark>,
    /// Whether the sender knows divided catalogs. False from daemons that do not write the field.
    pub divided: bool,
}

/// Why a daemon gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The message was not sent.
    #[error("could not connect to the daemon")]
    Unreachable,
    /// The message was sent, but no valid answer was received.
    #[error("the daemon was sent the message and did not answer")]
    Silent,
}

/// Communicates with other daemons.
pub trait Peers: Clone + 'static {
    /// Forwards a request to another daemon and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request had been sent when it failed.
    fn forward(
        &self,
        host: &HostId,
        message: &Forward,
        limit: Duration,
    ) -> impl Future<Output = Result<ForwardAnswer, PeerError>>;

    /// Delegates a group of shards to another daemon and waits for the result.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the group had been sent when it failed.
    fn delegate(
        &self,
        host: &HostId,
        message: &Group,
        limit: Duration,
    ) -> impl Future<Output = Result<GroupReply, PeerError>>;

    /// Requests permits from the holder of a part of an account's limit.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the message had been sent when it failed.
    fn permits(
        &self,
        host: &HostId,
        message: &PermitRequest,
        limit: Duration,
    ) -> impl Future<Output = Result<PermitReply, PeerError>>;

    /// Gossips with a daemon: sends what is known here and receives what is known there.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the message had been sent when it failed.
    fn exchange(
        &self,
        host: &HostId,
        message: &Exchange,
        limit: Duration,
    ) -> impl Future<Output = Result<Exchange, PeerError>>;

    /// Pulls what a daemon has that is newer. It may be large: `limit` applies to the beginning of
    /// the answer, and to each interval in which it makes no progress.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the message had been sent when it failed.
    fn pull(
        &self,
        host: &HostId,
        message: Pull,
        limit: Duration,
    ) -> impl Future<Output = Result<News, PeerError>>;
}
