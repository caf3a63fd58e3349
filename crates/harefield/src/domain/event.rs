//! The events that record every decision. They make up the time line that operators read.

use serde::Deserialize;
use serde::Serialize;

use super::code::Code;
use super::feed::ChangeSize;
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
    /// The first attempt for the shard.
    First,
    /// An earlier attempt failed.
    Retry,
    /// An earlier attempt is slow.
    Hedge,
    /// The replica is being avoided, and the attempt tests whether it has recovered.
    Probe,
}

/// Why a reply was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drop {
    /// The shard had already contributed.
    Duplicate,
    /// The answer had already been cut off.
    Late,
}

/// The score of one replica when one was chosen; the lowest cost wins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// The replica.
    pub upstream: UpstreamId,
    /// Its expected time in milliseconds. `None` if it may not be used.
    pub cost: Option<f64>,
    /// Why it may not be used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub barred: Option<Gap>,
}

/// The most shards that [`Event::LeftOut`] names.
pub const MAX_LEFT_OUT_NAMED: usize = 16;

/// The queueing delay of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardDelay {
    /// The shard.
    pub shard: ShardId,
    /// How long a new request would wait before it is sent, in microseconds.
    pub micros: u64,
}

/// How the run of a suspected work on a single upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TrialEnd {
    /// The upstream answered.
    Answered,
    /// The upstream was sent the work and did not answer.
    Unanswered,
    /// No upstream was sent the work.
    NotSent,
}

/// A decision, with the facts that it was based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[expect(missing_docs, reason = "the variants' fields are explained by their types")]
pub enum Event {
    /// A request was admitted. `waited` and `due` are microseconds from its start, to now and to
    /// when its answer should be sent; `due` is `None` if nothing is due before the deadline.
    /// `objective` is that of the lookup, in milliseconds. `work` is equal for repetitions of the
    /// same request.
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
    /// A request of an account was refused because the account exceeds its limit, or because nobody
    /// that holds a part of the limit responds.
    LimitRefused { account: AccountId, code: Code, retry_after: u64 },
    /// A request was refused before it ran.
    Refused { lookup: String, code: Code, retry_after: Option<u64> },
    /// `count` shards are not queried, since they cannot answer in time; `shards` names the first
    /// [`MAX_LEFT_OUT_NAMED`].
    LeftOut { lookup: String, count: usize, shards: Vec<ShardId> },
    /// A request is refused, since `count` shards cannot answer in time, which is more than its
    /// answer may lack; `shards` names those with the longest queueing delays.
    NoShardRoom { lookup: String, count: usize, shards: Vec<ShardDelay> },
    /// The snapshot for the answer was chosen.
    SnapshotChosen { index: String, version: Version, shards: usize },
    /// A replica was chosen from several.
    ReplicaChosen { shard: ShardId, upstream: UpstreamId, scores: Vec<Score> },
    /// A shard waits because no replica may be used now.
    Waiting { shard: ShardId, why: Gap },
    /// This shard is queried before the others, which wait until it is answered: the daemon may lack
    /// what others know of the request.
    CanarySent { shard: ShardId },
    /// A request was sent to an upstream.
    Sent { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, cause: Cause },
    /// A group of shards was delegated to a daemon near their replicas.
    GroupSent { to: HostId, shards: usize, attempt: AttemptId },
    /// That daemon responded, or failed to. `micros` is the total time, and `way` is the part of it
    /// that the message and the response spent in transit, both in microseconds.
    GroupEnded { to: HostId, attempt: AttemptId, contributed: usize, missing: usize, micros: u64, way: u64 },
    /// A delegated group was revoked because its daemon did not respond.
    GroupRevoked { from: HostId, attempt: AttemptId },
    /// A group of shards was received from another daemon, which wants an answer after `gather`
    /// microseconds; `None` if it can wait until the deadline.
    GroupTaken { from: HostId, work: WorkId, shards: usize, gather: Option<u64> },
    /// A hedge was due, but the budget for extra load is used up.
    HedgeDenied { shard: ShardId },
    /// A retry was due, but the budget for extra load is used up; the shard is given up.
    RetryDenied { shard: ShardId },
    /// A reply was included in the answer.
    ReplyTaken { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, micros: u64 },
    /// A reply was discarded.
    ReplyDropped { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, why: Drop },
    /// An attempt failed.
    AttemptFailed { shard: ShardId, upstream: UpstreamId, attempt: AttemptId, why: Gap, ran: bool },
    /// An upstream ended while it ran the request; `alone` says that no other upstream of the
    /// fan-out did. `kept` says that this is held as evidence; it isn't where the work was answered
    /// a moment ago.
    UpstreamEnded {
        work: WorkId,
        upstream: UpstreamId,
        alone: bool,
        #[serde(default)]
        kept: bool,
    },
    /// An upstream's answer ended the evidence about a piece of work.
    EvidenceCleared { work: WorkId, upstream: UpstreamId },
    /// The evidence about a piece of work is passed on later, as the channel to the control duty was
    /// full.
    EvidenceUnsent { work: WorkId },
    /// A piece of work is run on one upstream at a time, or withheld for `withheld` milliseconds,
    /// because `ends` upstreams ended while they ran it; `alone` were sent it as the only one, and
    /// didn't answer.
    WorkSuspected { work: WorkId, ends: usize, alone: u32, withheld: u64 },
    /// An answer showed that a piece of work does not crash the upstreams that run it.
    WorkCleared { work: WorkId },
    /// A piece of suspected work is run on a single upstream.
    TrialBegun { work: WorkId, shard: ShardId },
    /// That run ended.
    TrialEnded { work: WorkId, end: TrialEnd },
    /// The upstream of such a run neither answered nor ended, so that it showed nothing.
    TrialInconclusive { work: WorkId },
    /// An attempt was cancelled; the upstream is notified if possible.
    Cancelled { shard: ShardId, upstream: UpstreamId, attempt: AttemptId },
    /// A shard was given up.
    ShardMissing { shard: ShardId, why: Gap, ran: bool },
    /// The answer was cut off while replies were still awaited.
    AnswerCut { contributed: usize, awaited: usize },
    /// The fan-out is repeated at another snapshot.
    SnapshotAbandoned { version: Version, missing: usize },
    /// The caller was sent an answer.
    Answered { lookup: String, outcome: Outcome, code: Code, contributed: usize, missing: usize, micros: u64 },
    /// The request was forwarded to a member of the cell.
    Forwarded { to: HostId },
    /// The member answered, or failed to.
    ForwardEnded { to: HostId, outcome: Outcome, code: Code },
    /// A forwarded request was received from another daemon.
    ForwardTaken { from: HostId },
    /// A ticket was issued.
    TicketIssued { ticket: String },
    /// A ticket was submitted again and its first outcome returned.
    TicketReplayed { ticket: String },
    /// The caller disconnected before its answer.
    CallerGone { lookup: String },
    /// A revision came into force.
    ConfigAccepted {
        revision: Revision,
        from: String,
        /// How many values it changed, and the bytes of the new ones.
        #[serde(default)]
        size: ChangeSize,
        /// How long the transfer from another daemon took, in milliseconds; 0 for the platform.
        #[serde(default)]
        transfer: u64,
        /// The time from its receipt until the workers were informed, in microseconds.
        #[serde(default)]
        micros: u64,
    },
    /// A revision was rejected.
    ConfigRefused { revision: Revision, faults: usize, first: String },
    /// What the platform returned is older than what is held and was ignored. Emitted once for each
    /// pair of revisions.
    NewsRefused { revision: Revision, held: Revision },
    /// The platform is in a later era than what is held, so the held values are no longer proven
    /// fresh.
    EraHeard { era: Era, held: Option<Revision>, from: String },
    /// A new era was entered: `kept` values are retained that the platform lacks or has in an older
    /// state, and `doubted` upstreams are ignored that it contains although they had left.
    CarriedOn { era: Era, kept: usize, doubted: usize },
    /// A newer list of hosts is in use.
    HostsListed { revision: Revision, leaving: usize },
    /// The announcement of an upstream changed.
    UpstreamWord { upstream: UpstreamId, draining: bool, held: Vec<Version> },
    /// The state of another daemon changed, as seen by this one.
    PeerSeen { host: HostId, state: String },
    /// The process was paused for this many milliseconds.
    Paused { millis: u64 },
    /// What was known before a pause has been confirmed.
    Confirmed { millis: u64 },
    /// The concurrency limit for an upstream changed.
    LimitChanged { upstream: UpstreamId, window: f64 },
    /// The platform stopped responding to this daemon for a space; a call was given up after
    /// `waited` milliseconds.
    PlatformLost { space: String, why: String, waited: u64 },
    /// The platform responds to this daemon again for a space, after this many milliseconds.
    PlatformRegained { space: String, millis: u64 },
    /// A newer configuration or list of hosts may have been confirmed this many milliseconds ago,
    /// which is longer than it may take to come into force.
    ConfigBehind { revision: Option<Revision>, millis: u64 },
    /// What is held is proven to be the newest again, as of this many milliseconds ago.
    ConfigCurrent { revision: Option<Revision>, millis: u64 },
    /// The settings were reloaded.
    Reloaded { seeds: usize },
    /// The daemon began to serve requests.
    Started { version: String },
    /// A planned shutdown began.
    StopBegun { running: usize },
    /// A planned shutdown ended.
    StopEnded { cut: usize },
    /// Events were dropped because the ring buffer was full.
    RingOverflow { dropped: u64 },
}

impl Event {
    /// Returns whether the event is a detail that sampling may omit.
    #[must_use]
    pub fn is_detail(&self) -> bool {
        matches!(
            self,
            Self::ReplicaChosen { .. } | Self::Sent { cause: Cause::First, .. } | Self::ReplyTaken { .. }
        )
    }
}

/// An event with its time and origin.
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

/// Receives the events of one request or task.
pub trait Sink {
    /// Records one event. Never blocks.
    fn emit(&mut self, event: Event);
}

impl Sink for Vec<Event> {
    fn emit(&mut self, event: Event) {
        self.push(event);
    }
}
