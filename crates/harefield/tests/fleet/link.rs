//! A network and a platform that connect control duties. Links can be cut, and the platform can
//! stop answering.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;

use harefield::domain::feed::Change;
use harefield::domain::feed::Delta;
use harefield::domain::feed::DeltaKind;
use harefield::domain::feed::Items;
use harefield::domain::feed::News;
use harefield::domain::ids::Era;
use harefield::domain::ids::HostId;
use harefield::domain::revision::Revision;
use harefield::engine::ToControl;
use harefield::ports::Exchange;
use harefield::ports::Forward;
use harefield::ports::ForwardAnswer;
use harefield::ports::Group;
use harefield::ports::GroupReply;
use harefield::ports::Listing;
use harefield::ports::PeerError;
use harefield::ports::Peers;
use harefield::ports::PermitReply;
use harefield::ports::PermitRequest;
use harefield::ports::Platform;
use harefield::ports::PlatformError;
use harefield::ports::Pull;
use harefield::ports::Space;
use harefield::ports::WatchResult;

/// How often a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of the network and the platform, shared by all daemons of a test.
#[derive(Debug, Default)]
pub struct Shared {
    pub inboxes: BTreeMap<HostId, Sender<ToControl>>,
    pub cut: BTreeSet<(usize, usize)>,
    pub blind: BTreeSet<usize>,
    /// The spaces whose watches are never answered if they wait.
    pub mute: BTreeSet<Space>,
    /// The number of calls to the platform, by daemon.
    pub calls: BTreeMap<usize, usize>,
    /// The number of exchanges begun, by daemon.
    pub exchanges: BTreeMap<usize, usize>,
    pub log: Vec<(Space, u64, Change)>,
    pub revisions: BTreeMap<Space, u64>,
    /// How often the platform was restored from a backup.
    pub era: Era,
    /// How often the resources were listed.
    pub listings: usize,
    /// The bytes of updates that daemons have pulled from each other.
    pub pulled_bytes: usize,
    /// The region of each daemon.
    pub regions: Vec<usize>,
    /// How often updates were pulled from another region.
    pub cross_region_pulls: usize,
    /// The most changes that one watch returns. `None` if there is no limit.
    pub max_changes: Option<usize>,
}

/// The network and the platform, as one daemon reaches them.
#[derive(Clone, Debug)]
pub struct Link {
    pub own: usize,
    pub shared: Rc<RefCell<Shared>>,
}

pub fn host(number: usize) -> HostId {
    format!("127.0.0.1:{}", 7200 + number).into()
}

fn number(host: &HostId) -> usize {
    let port = host.rsplit(':').next().and_then(|text| text.parse::<usize>().ok());
    port.expect("hosts are numbered by port") - 7200
}

impl Link {
    fn inbox_of(&self, to: &HostId) -> Result<Sender<ToControl>, PeerError> {
        let shared = self.shared.borrow();
        let cut = shared.cut.contains(&(self.own, number(to)));
        let inbox = shared.inboxes.get(to).filter(|_| !cut);
        inbox.cloned().ok_or(PeerError::Unreachable)
    }

    fn is_far(&self, to: &HostId) -> bool {
        let shared = self.shared.borrow();
        shared.regions.get(self.own) != shared.regions.get(number(to))
    }

    async fn call<R>(&self, to: &HostId, wrap: impl FnOnce(Sender<R>) -> ToControl) -> Result<R, PeerError> {
        let (sender, receiver) = async_channel::bounded(1);
        let inbox = self.inbox_of(to)?;
        inbox.try_send(wrap(sender)).map_err(|_full| PeerError::Silent)?;
        receiver.recv().await.map_err(|_gone| PeerError::Silent)
    }
}

impl Shared {
    pub fn revision(&self, space: Space) -> Revision {
        Revision::new(self.era, self.revisions.get(&space).copied().unwrap_or(0))
    }

    /// Restores the resources from a backup at a revision, which begins a new era.
    pub fn restore(&mut self, backup: Revision) {
        self.log.retain(|(space, number, _)| *space != Space::Config || *number <= backup.number);
        self.revisions.insert(Space::Config, backup.number);
        self.era += 1;
    }

    fn changes_in(&self, space: Space) -> impl Iterator<Item = (Revision, &Change)> {
        let own = self.log.iter().filter(move |(held, ..)| *held == space);
        own.map(|(_, number, change)| (Revision::new(self.era, *number), change))
    }
}

impl Link {
    fn count(&self) {
        *self.shared.borrow_mut().calls.entry(self.own).or_default() += 1;
    }

    fn is_newer(&self, space: Space, after: Revision) -> bool {
        self.shared.borrow().revision(space) > after
    }
}

impl Peers for Link {
    async fn forward(&self, _: &HostId, _: &Forward, _: Duration) -> Result<ForwardAnswer, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn delegate(&self, _: &HostId, _: &Group, _: Duration) -> Result<GroupReply, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn permits(&self, _: &HostId, _: &PermitRequest, _: Duration) -> Result<PermitReply, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn exchange(&self, host: &HostId, message: &Exchange, _: Duration) -> Result<Exchange, PeerError> {
        *self.shared.borrow_mut().exchanges.entry(self.own).or_default() += 1;
        let boxed = Box::new(message.clone());
        self.call(host, |reply| ToControl::Exchange(boxed, reply)).await
    }

    async fn pull(&self, host: &HostId, message: Pull, _: Duration) -> Result<News, PeerError> {
        let news = self.call(host, |reply| ToControl::Pull(message, reply)).await?;
        let size = rmp_serde::to_vec_named(&news).map_or(0, |bytes| bytes.len());
        let far = usize::from(self.is_far(host));
        let mut shared = self.shared.borrow_mut();
        shared.pulled_bytes += size;
        shared.cross_region_pulls += far;
        Ok(news)
    }
}

impl Platform for Link {
    async fn list(&self, _: SocketAddr, space: Space) -> Result<Listing, PlatformError> {
        self.count();
        self.shared.borrow_mut().listings += usize::from(space == Space::Config);
        let shared = self.shared.borrow();
        if shared.blind.contains(&self.own) {
            return Err(PlatformError::Unreachable);
        }
        let mut items = Items::new();
        for (_, change) in shared.changes_in(space) {
            match &change.value {
                Some(value) => items.insert(Arc::clone(&change.key), Arc::clone(value)),
                None => items.remove(&change.key),
            };
        }
        Ok(Listing { first: shared.revision(space), last: shared.revision(space), items })
    }

    async fn watch(
        &self,
        _: SocketAddr,
        space: Space,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        self.count();
        if self.shared.borrow().mute.contains(&space) && !wait.is_zero() {
            return std::future::pending().await;
        }
        let until = Instant::now() + wait.max(POLL_INTERVAL);
        while Instant::now() < until && !self.is_newer(space, after) {
            Timer::after(POLL_INTERVAL).await;
        }
        let shared = self.shared.borrow();
        if shared.blind.contains(&self.own) {
            return Err(PlatformError::Unreachable);
        }
        if shared.era > after.era {
            return Ok(WatchResult::Restored(shared.era));
        }
        let newer = shared.changes_in(space).filter(|(revision, _)| *revision > after);
        let deltas = newer.map(|(revision, change)| Delta {
            base: Revision::new(revision.era, revision.number - 1),
            revision,
            changes: vec![change.clone()],
            kind: DeltaKind::Single,
        });
        let deltas: Vec<Delta> = deltas.take(shared.max_changes.unwrap_or(usize::MAX)).collect();
        let cut = shared.max_changes.is_some_and(|limit| deltas.len() == limit);
        let at = deltas.last().filter(|_| cut).map_or(shared.revision(space), |delta| delta.revision);
        Ok(WatchResult::Changes { deltas, at })
    }
}
