//! The messages between a worker and the control duty, and a request as a worker receives it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::accounts::Requester;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::feed::News;
use crate::domain::hlc::Stamp;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::domain::key::Credential;
use crate::domain::membership::MemberRow;
use crate::domain::query::Query;
use crate::domain::stop::StopSchedule;
use crate::domain::suspects::Suspect;
use crate::domain::view::View;
use crate::ports::Exchange;
use crate::ports::Pull;

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which relies on this one to run the request.
    Peer {
        /// The daemon.
        host: HostId,
        /// When it forwarded the request, in hybrid logical time.
        stamp: Stamp,
        /// The terms on which it forwarded the request.
        terms: ForwardTerms,
    },
}

/// The terms on which another daemon forwards a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwardTerms {
    /// The time after which an answer with enough shards is given.
    pub gather: Option<Duration>,
    /// The oldest edition that the request may run under.
    pub edition: Edition,
    /// Whether the request was forwarded to another daemon before, so that all that is sent for it
    /// is extra load.
    pub again: bool,
    /// Whether the request's objective had passed when it arrived.
    pub late: bool,
}

impl Origin {
    /// Returns the terms on which another daemon forwarded the request; the defaults where it came
    /// from a caller.
    #[must_use]
    pub fn terms(&self) -> ForwardTerms {
        match self {
            Self::Caller => ForwardTerms::default(),
            Self::Peer { terms, .. } => *terms,
        }
    }
}

/// A request as a worker receives it.
#[derive(Clone, Debug)]
pub struct LookupRequest {
    /// The id given by the daemon that forwarded it; none from callers.
    pub request: Option<String>,
    /// The name of the lookup.
    pub lookup: String,
    /// The query, as a caller's bytes or as JSON.
    pub query: Query,
    /// The ticket of a once-only request.
    pub ticket: Option<String>,
    /// A limit on the time it may take, besides the lookup's deadline.
    pub limit: Option<Duration>,
    /// Where it came from.
    pub origin: Origin,
    /// The credential that a caller sent with it.
    pub credential: Credential,
    /// On whose behalf it runs, where it came from another daemon.
    pub requester: Requester,
}

/// The daemons as the control duty sees them.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Every known daemon, sorted by name.
    pub rows: Vec<MemberRow>,
}

impl PeerView {
    /// Returns what is known of a daemon.
    #[must_use]
    pub fn row(&self, host: &HostId) -> Option<&MemberRow> {
        let at = self.rows.binary_search_by(|row| row.host.cmp(host)).ok()?;
        self.rows.get(at)
    }
}

/// A confirmation that the worker's knowledge is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// When the round of confirmation began.
    pub started: Instant,
}

/// A message from the control duty to a worker.
#[derive(Clone, Debug)]
pub enum ToWorker {
    /// A new view to act on.
    View(Arc<View>),
    /// Announcements of upstreams that other daemons passed on.
    Announcements(Arc<[NamedAnnouncement]>),
    /// What is known of works that are suspected of crashing upstreams.
    Suspects(Arc<[Suspect]>),
    /// The daemons as seen now.
    Peers(Arc<PeerView>),
    /// The worker's knowledge was confirmed after a pause.
    Confirmed(Confirmed),
    /// No change that was confirmed up to this time is missing here.
    Proven(Instant),
    /// A planned stop has begun, or ends sooner than was said.
    Stop(StopSchedule),
}

/// A message from a worker to the control duty.
#[derive(Debug)]
pub enum ToControl {
    /// Another daemon gossips with this one and awaits the reply.
    Exchange(Box<Exchange>, async_channel::Sender<Exchange>),
    /// Another daemon pulls updates and awaits the reply.
    Pull(Pull, async_channel::Sender<News>),
    /// An upstream's announcement changed.
    Announcement(NamedAnnouncement),
    /// What is known of a work suspected of crashing upstreams has changed.
    Suspect(Suspect),
    /// A worker's lease has lapsed, as after a pause, and it needs its knowledge confirmed.
    Unconfirmed,
    /// A worker needs whatever is newer than what it holds. The reply says whether, after that,
    /// nothing confirmed up to now is missing.
    Refresh(async_channel::Sender<bool>),
    /// The settings were reloaded and name these daemons to gossip with.
    Seeds(Vec<HostId>),
    /// A daemon did not answer a request that was forwarded to it.
    Unresponsive(HostId),
    /// A planned stop has begun.
    Stop,
}
