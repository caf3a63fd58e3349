//! The events that make every decision visible.

use serde::Deserialize;
use serde::Serialize;

use super::code::Code;
use super::hlc::Stamp;
use super::ids::AccountId;
use super::ids::AttemptId;
use super::ids::Era;
use super::ids::HostId;
use super::ids::Incarnation;
use super::ids::RequestId;
use super::ids::ShardId;
use super::ids::UpstreamId;
use super::ids::Version;
use super::ids::WorkId;
use super::outcome::Gap;
use super::outcome::Outcome;
use super::resources::Urgency;
use super::revision::Revision;

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It is the shard's first.
    First,
    /// An earlier one failed.
    Retry,
    /// An earlier one is slow.
    Hedge,
    /// The replica is passed over, and it is time to look how it does.
    Probe,
}

/// Why a reply was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drop {
    /// The shard had contributed already.
    Duplicate,
    /// The answer had been cut already.
    Late,
}

/// One replica's score at a choice; the lowest wins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// The replica.
    pub upstream: UpstreamId,
    /// Its expected time in milliseconds; none where it may not be asked.
    pub cost: Option<f64>,
    /// Why it may not be asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub barred: Option<Gap>,
}

/// One decision, with what it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[expect(missing_docs, reason = "the variants' fields are explained by their types")]
pub enum Event {
    /// A request was let in. `waited` and `due` are microseconds from its start to now
    /// and to when its answer should leave; none where nothing is due before the
    /// deadline. `objective` is the lookup's, in milliseconds. `work` is the same whenever
    /// the same is asked again.
    Admitted {
        lookup: String,
        work: WorkId,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        account: Option<AccountId>,
        urgency: Urgency,
        waited: u64,
        objective: Option<u64>,
        due: Option<u64>,
    },
    /// A request of an account was refused, since the account asks more than it may or nobody
    /// that holds a part of its limit answers.
    LimitRefused { account: AccountId, code: Code, retry_after: u64 },
    /// A request was refused before it ran.
    Refused { lookup: String, code: Code, retry_after: Option<u64> },
    /// The snapshot of the answer was chosen.
    SnapshotChosen { index: String, version: Version, shards: usize },
    /// A replica was chosen among others.
    ReplicaChosen { shard: ShardId, upstream: UpstreamId, scores: Vec<Score> },
    /// A shard waits, since no replica may be asked now.
    Waiting { shard: ShardId, why: Gap },
    /// A request to an upstream left.
    Sent { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, cause: Cause },
    /// A group of shards was handed to a daemon beside their replicas.
    GroupSent { to: HostId, shards: usize, attempt: AttemptId },
    /// That daemon answered, or did not; `micros` is the whole time and `way` the part
    /// of it that the message and the answer travelled, both in microseconds.
    GroupEnded { to: HostId, attempt: AttemptId, contributed: usize, missing: usize, micros: u64, way: u64 },
    /// A group was taken back from a daemon that did not answer.
    GroupRevoked { from: HostId, attempt: AttemptId },
    /// A group of shards came from another daemon, which wants an answer after
    /// `gather` microseconds; none before the deadline.
    GroupTaken { from: HostId, work: WorkId, shards: usize, gather: Option<u64> },
    /// A hedge was due but the budget of extra load is used up.
    HedgeDenied { shard: ShardId },
    /// A retry was due but the budget of extra load is used up: the shard is given up.
    RetryDenied { shard: ShardId },
    /// A reply was taken into the answer.
    ReplyTaken { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, micros: u64 },
    /// A reply was not taken into the answer.
    ReplyDropped { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, why: Drop },
    /// An attempt failed.
    AttemptFailed { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, why: Gap, ran: bool },
    /// An upstream ended while it had the request, and nobody else in its fan-out where
    /// `alone`.
    UpstreamEnded { work: WorkId, upstream: UpstreamId, alone: bool },
    /// A work runs alone or is withheld for `withheld` milliseconds, since `ends` upstreams
    /// ended under it, `alone` of them while they ran it alone.
    WorkSuspected { work: WorkId, ends: usize, alone: u32, withheld: u64 },
    /// An answer showed that a work does not end who runs it.
    WorkCleared { work: WorkId },
    /// A work runs on one upstream alone.
    TrialBegun { work: WorkId, shard: ShardId },
    /// An attempt was given up; the upstream is told where it can be.
    Cancelled { shard: ShardId, upstream: UpstreamId, attempt: AttemptId },
    /// A shard was given up.
    ShardMissing { shard: ShardId, why: Gap, ran: bool },
    /// The answer was cut while replies were awaited.
    AnswerCut { contributed: usize, awaited: usize },
    /// The fan-out is tried again at another snapshot.
    SnapshotAbandoned { version: Version, missing: usize },
    /// The caller was answered.
    Answered { lookup: String, outcome: Outcome, code: Code, contributed: usize, missing: usize, micros: u64 },
    /// The request was handed to a member of the cell.
    Forwarded { to: HostId },
    /// A member answered, or did not.
    ForwardEnded { to: HostId, outcome: Outcome, code: Code },
    /// A request came from another daemon.
    ForwardTaken { from: HostId },
    /// A ticket was issued.
    TicketIssued { ticket: String },
    /// A ticket was submitted again and its first outcome given.
    TicketReplayed { ticket: String },
    /// The caller went away before its answer.
    CallerGone { lookup: String },
    /// A revision came into force.
    ConfigAccepted { revision: Revision, from: String },
    /// A revision was refused.
    ConfigRefused { revision: Revision, faults: usize, first: String },
    /// What the platform told is older than what is held, and was not taken; told once for
    /// each pair.
    NewsRefused { revision: Revision, held: Revision },
    /// The platform is in a later era than what is held, which proves nothing any more.
    EraHeard { era: Era, held: Option<Revision>, from: String },
    /// What is in force beside what the platform has in a new era: so many values that it
    /// lacks or has older, and so many upstreams of it that had left.
    CarriedOn { era: Era, kept: usize, doubted: usize },
    /// A newer list of hosts is in use.
    HostsListed { revision: Revision, leaving: usize },
    /// An upstream's word changed.
    UpstreamWord { upstream: UpstreamId, draining: bool, held: Vec<Version> },
    /// Another daemon is seen in another state.
    PeerSeen { host: HostId, state: String },
    /// The process was paused for this many milliseconds.
    Paused { millis: u64 },
    /// What was known before a pause is confirmed.
    Confirmed { millis: u64 },
    /// A limit on an upstream changed.
    LimitChanged { upstream: UpstreamId, window: f64 },
    /// The platform stopped answering this daemon in a space: a call was given up after
    /// `waited` milliseconds.
    PlatformLost { space: String, why: String, waited: u64 },
    /// The platform answers this daemon in a space again, after this many milliseconds.
    PlatformRegained { space: String, millis: u64 },
    /// Something newer, of the configuration or the list of hosts, may have been confirmed
    /// this many milliseconds ago, longer than it may take to be in force.
    ConfigBehind { revision: Option<Revision>, millis: u64 },
    /// What is held is known to be the newest again, as of so long ago.
    ConfigCurrent { revision: Option<Revision>, millis: u64 },
    /// The settings were read again.
    Reloaded { seeds: usize },
    /// The daemon began to serve.
    Started { version: String },
    /// A planned stop began.
    StopBegun { running: usize },
    /// A planned stop ended.
    StopEnded { cut: usize },
    /// Events were dropped since the ring was full.
    RingOverflow { dropped: u64 },
}

impl Event {
    /// Returns whether the event is a detail that sampling may leave out.
    #[must_use]
    pub fn is_detail(&self) -> bool {
        matches!(
            self,
            Self::ReplicaChosen { .. } | Self::Sent { cause: Cause::First, .. } | Self::ReplyTaken { .. }
        )
    }
}

/// An event with where and when it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When, in hybrid logical time.
    pub stamp: Stamp,
    /// The request it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// What happened.
    pub event: Event,
}

/// Takes the events of one request or duty.
pub trait Sink {
    /// Takes one event; never blocks.
    fn emit(&mut self, event: Event);
}

impl Sink for Vec<Event> {
    fn emit(&mut self, event: Event) {
        self.push(event);
    }
}
