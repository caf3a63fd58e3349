//! The port to the other daemons.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use super::formats::MarkFormat;
use super::formats::PullFormat;
use super::platform::Space;
use crate::domain::accounts::Asker;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::feed::News;
use crate::domain::hlc::Stamp;
use crate::domain::ids::AccountId;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::membership::Row;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Gap;
use crate::domain::query::ByteQuery;
use crate::domain::residency::Regions;
use crate::domain::retained::RetainedMark;
use crate::domain::revision::Revision;
use crate::domain::suspects::SuspectReport;

/// A request handed to another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The daemon that hands it on.
    pub from: HostId,
    /// When it left, in hybrid logical time.
    pub stamp: Stamp,
    /// The request's id.
    pub request: String,
    /// The lookup.
    pub lookup: String,
    /// The query, where it is JSON.
    #[serde(with = "serde_bytes")]
    pub query: Vec<u8>,
    /// The query, where it is an opaque request.
    pub opaque: Option<ByteQuery>,
    /// The ticket of a once-only request.
    pub ticket: Option<String>,
    /// The time left, in milliseconds.
    pub remaining: u64,
    /// After this time an answer with enough shards goes out, in microseconds.
    pub gather: Option<u64>,
    /// The edition that the request was let in under, or a newer one that the daemon
    /// that hands it on knows of: one with an older edition must not run it.
    pub edition: Edition,
    /// Whether another daemon was handed the request before.
    pub again: bool,
    /// Whether its objective had passed when it came.
    #[serde(default)]
    pub late: bool,
    /// What the daemon that hands it on knows of its work, where upstreams ended under it.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
    /// Whose request it is.
    #[serde(default, skip_serializing_if = "Asker::is_open")]
    pub asker: Asker,
}

/// A member's answer to a request that was handed on.
#[derive(Clone, Debug)]
pub struct Forwarded {
    /// The answer.
    pub answer: Answer,
    /// When it left, in hybrid logical time.
    pub stamp: Stamp,
    /// The edition that it was given under.
    pub edition: Edition,
}

/// A group of shards handed to a daemon beside their replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    /// The daemon that hands it on.
    pub from: HostId,
    /// When it left, in hybrid logical time.
    pub stamp: Stamp,
    /// The request's id.
    pub request: String,
    /// The lookup.
    pub lookup: String,
    /// The index that the shards are of, as the daemon that hands it on sees it.
    pub index: String,
    /// The shards.
    pub shards: Vec<ShardId>,
    /// Of some shards, by their places in the group, the only replicas that may be asked. An
    /// empty name stands for one that the daemon chooses; former versions know none, and
    /// keep to the others.
    pub only: Vec<(usize, Vec<UpstreamId>)>,
    /// The query.
    pub query: ByteQuery,
    /// How many records are kept of all shards together.
    pub most: usize,
    /// How many shards must be in before the answer goes out short of some.
    pub needed: usize,
    /// The time left, in microseconds.
    pub remaining: u64,
    /// After this time an answer with enough shards goes out, in microseconds.
    pub gather: Option<u64>,
    /// Whether another daemon was handed the request before.
    pub again: bool,
    /// How many shards must still be possible; once fewer are, what is in goes out at
    /// once. None from daemons that do not say so: as many as are needed.
    #[serde(default)]
    pub possible: Option<usize>,
    /// What the daemon that hands it on knows of its work, where upstreams ended under it.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
    /// The only regions in which it may be served, as that daemon knows them; everywhere
    /// where empty. The daemon that takes it keeps to these, and to those that it knows.
    #[serde(default)]
    pub regions: Regions,
    /// Whose request it is.
    #[serde(default, skip_serializing_if = "Asker::is_open")]
    pub asker: Asker,
}

/// Asks the holder of a part of an account's limit for permits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The account.
    pub account: AccountId,
    /// The part, by its number.
    pub part: u32,
    /// How many permits are wanted.
    pub wanted: u32,
}

/// What a holder answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// So many permits, one at least.
    Granted(u32),
    /// None; one is free after so many milliseconds.
    Empty(u64),
    /// The daemon does not hold that part.
    NotHeld,
}

/// A shard of a group that contributed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupPart {
    /// Its place in the group.
    pub at: usize,
    /// The upstream's signature over its reply.
    pub signature: Arc<str>,
}

/// A shard of a group that did not contribute.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct GroupGap {
    /// Its place in the group.
    pub at: usize,
    /// Why.
    pub why: Gap,
    /// Whether the request may have run there.
    pub ran: bool,
    /// How many upstreams it was sent to.
    pub sent: u32,
}

/// What a group's shards brought.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupReply {
    /// When it left, in hybrid logical time.
    pub stamp: Stamp,
    /// Whether the daemon did not take the group; nothing was sent then.
    pub declined: bool,
    /// How long the daemon took, in microseconds.
    pub took: u64,
    /// The shards that contributed.
    pub parts: Vec<GroupPart>,
    /// The shards that did not.
    pub missing: Vec<GroupGap>,
    /// The greatest records of all that contributed.
    pub records: ByteBuf,
}

/// How far a daemon is in one space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MarkFormat", into = "MarkFormat")]
pub struct Mark {
    /// The space.
    pub space: Space,
    /// The revision in use; none before the first.
    pub revision: Option<Revision>,
    /// For how many milliseconds a newer one may have been confirmed; none where
    /// nothing vouches for the revision.
    pub age: Option<u64>,
    /// What goes before what the platform has at that revision; none from daemons that
    /// know no eras.
    pub retained: Option<RetainedMark>,
}

/// What two daemons tell each other, in both directions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// The daemon that speaks.
    pub from: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When, in hybrid logical time.
    pub stamp: Stamp,
    /// How far it is.
    pub marks: Vec<Mark>,
    /// Daemons as it knows them.
    pub rows: Vec<Row>,
    /// Upstreams' words that it heard.
    #[serde(rename = "words")]
    pub announcements: Vec<NamedAnnouncement>,
    /// What it knows of works under which upstreams ended; none from daemons that do not
    /// say so.
    #[serde(default)]
    pub suspects: Vec<SuspectReport>,
}

/// Asks a daemon for what is newer than the asker has.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "PullFormat", into = "PullFormat")]
pub struct Pull {
    /// The space.
    pub space: Space,
    /// The asker's revision.
    pub have: Option<Revision>,
    /// How far the asker is in what is carried on; none from one that does not take it.
    pub retained: Option<RetainedMark>,
}

/// Why a daemon gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// Nothing was sent.
    #[error("the daemon could not be connected to")]
    Unreachable,
    /// The message was sent, and no valid answer came.
    #[error("the daemon was sent the message and did not answer")]
    Silent,
}

/// Speaks to other daemons.
pub trait Peers: Clone + 'static {
    /// Hands a request to another daemon and awaits the answer.
    ///
    /// # Errors
    ///
    /// Returns whether the request had been sent when it failed.
    fn forward(
        &self,
        host: &HostId,
        message: &Forward,
        limit: Duration,
    ) -> impl Future<Output = Result<Forwarded, PeerError>>;

    /// Hands a group of shards to another daemon and awaits what they bring.
    ///
    /// # Errors
    ///
    /// Returns whether the group had been sent when it failed.
    fn group(
        &self,
        host: &HostId,
        message: &Group,
        limit: Duration,
    ) -> impl Future<Output = Result<GroupReply, PeerError>>;

    /// Asks the holder of a part of an account's limit for permits.
    ///
    /// # Errors
    ///
    /// Returns whether the message had been sent when it failed.
    fn permits(
        &self,
        host: &HostId,
        message: &PermitAsk,
        limit: Duration,
    ) -> impl Future<Output = Result<PermitReply, PeerError>>;

    /// Tells a daemon what is known here and hears what is known there.
    ///
    /// # Errors
    ///
    /// Returns whether the message had been sent when it failed.
    fn exchange(
        &self,
        host: &HostId,
        message: &Exchange,
        limit: Duration,
    ) -> impl Future<Output = Result<Exchange, PeerError>>;

    /// Fetches what a daemon has that is newer.
    ///
    /// # Errors
    ///
    /// Returns whether the message had been sent when it failed.
    fn pull(
        &self,
        host: &HostId,
        message: Pull,
        limit: Duration,
    ) -> impl Future<Output = Result<News, PeerError>>;
}
