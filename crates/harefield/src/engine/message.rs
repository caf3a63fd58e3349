//! The messages between a worker and the control duty, and a request as the
//! worker takes it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::accounts::Asker;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::feed::News;
use crate::domain::hlc::Stamp;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::domain::key::Credential;
use crate::domain::membership::MemberRow;
use crate::domain::query::Query;
use crate::domain::suspects::Suspect;
use crate::domain::view::View;
use crate::ports::Exchange;
use crate::ports::Pull;

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which counts on this one to run it.
    Peer {
        /// The daemon.
        host: HostId,
        /// When it handed the request on, in hybrid logical time.
        stamp: Stamp,
        /// What it asks for besides.
        terms: Terms,
    },
}

/// What a daemon that hands a request on asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// After this time an answer with enough shards goes out.
    pub gather: Option<Duration>,
    /// The least edition that the request may run under.
    pub edition: Edition,
    /// Whether another daemon was handed the request before: all that is sent
    /// for it is extra load.
    pub again: bool,
    /// Whether the request's objective had passed when it came.
    pub late: bool,
}

impl Origin {
    /// Returns what the daemon that handed the request on asks for; nothing
    /// where it came from a caller.
    #[must_use]
    pub fn terms(&self) -> Terms {
        match self {
            Self::Caller => Terms::default(),
            Self::Peer { terms, .. } => *terms,
        }
    }
}

/// A request as a worker takes it.
#[derive(Clone, Debug)]
pub struct LookupRequest {
    /// The id given by the daemon that it came through; none from callers.
    pub request: Option<String>,
    /// The lookup.
    pub lookup: String,
    /// The query.
    pub query: Query,
    /// The ticket of a once-only request.
    pub ticket: Option<String>,
    /// A bound on the time it may take, besides the lookup's.
    pub limit: Option<Duration>,
    /// Where it came from.
    pub origin: Origin,
    /// What it shows of who sends it, where it came from a caller.
    pub credential: Credential,
    /// Whose request it is, where it came from another daemon.
    pub asker: Asker,
}

/// The daemons as the control duty sees them.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Every known daemon, in the order of their names.
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

/// A confirmation of what is known, by a round that began at `asked`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// When the round began.
    pub asked: Instant,
}

/// From the control duty to a worker.
#[derive(Clone, Debug)]
pub enum ToWorker {
    /// A new view to act on.
    View(Arc<View>),
    /// Upstreams' words that peers passed on.
    Words(Arc<[NamedAnnouncement]>),
    /// What is known of works under which upstreams ended.
    Suspects(Arc<[Suspect]>),
    /// The daemons as seen now.
    Peers(Arc<PeerView>),
    /// What is known was confirmed after a pause.
    Confirmed(Confirmed),
    /// Nothing that was confirmed up to then is missing here.
    Proven(Instant),
    /// A planned stop has begun.
    Stop,
}

/// From a worker to the control duty.
#[derive(Debug)]
pub enum ToControl {
    /// A peer speaks; the reply is awaited.
    Exchange(Box<Exchange>, async_channel::Sender<Exchange>),
    /// A peer asks for news; the reply is awaited.
    Pull(Pull, async_channel::Sender<News>),
    /// An upstream's word changed.
    Word(NamedAnnouncement),
    /// What is known of a work under which upstreams ended has changed.
    Suspect(Suspect),
    /// A worker woke from a pause and wants its knowledge confirmed.
    Woke,
    /// A worker wants whatever is newer than what is held; told whether nothing that was
    /// confirmed by now is missing then.
    Refresh(async_channel::Sender<bool>),
    /// The settings name other daemons to ask.
    Seeds(Vec<HostId>),
    /// A daemon did not answer a request handed to it.
    Silent(HostId),
    /// A planned stop has begun.
    Stop,
}
