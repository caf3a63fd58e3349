//! The network and the platform between control duties, which can be cut and go silent.

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

/// How often a waiting watch looks for changes.
const STEP: Duration = Duration::from_millis(20);

/// What daemons and the platform share in the test.
#[derive(Debug, Default)]
pub struct Shared {
    pub inboxes: BTreeMap<HostId, Sender<ToControl>>,
    pub cut: BTreeSet<(usize, usize)>,
    pub blind: BTreeSet<usize>,
    /// The spaces whose watches are never answered where they wait.
    pub mute: BTreeSet<Space>,
    /// Calls of the platform by each daemon.
    pub calls: BTreeMap<usize, usize>,
    /// Exchanges that each daemon began.
    pub exchanges: BTreeMap<usize, usize>,
    pub log: Vec<(Space, u64, Change)>,
    pub revisions: BTreeMap<Space, u64>,
    /// How often it came back from a copy.
    pub era: Era,
    /// How often the resources were listed.
    pub listings: usize,
    /// The bytes of news that daemons were sent.
    pub pulled: usize,
    /// The region of each daemon.
    pub regions: Vec<usize>,
    /// How often news were pulled from another region.
    pub crossed: usize,
    /// The most changes that one watch tells; none for all.
    pub most: Option<usize>,
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
    fn reach(&self, to: &HostId) -> Result<Sender<ToControl>, PeerError> {
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
        let inbox = self.reach(to)?;
        inbox.try_send(wrap(sender)).map_err(|_full| PeerError::Silent)?;
        receiver.recv().await.map_err(|_gone| PeerError::Silent)
    }
}

impl Shared {
    pub fn revision(&self, space: Space) -> Revision {
        Revision::new(self.era, self.revisions.get(&space).copied().unwrap_or(0))
    }

    /// Comes back from a copy of its resources as they were at a revision.
    pub fn restore(&mut self, copy: Revision) {
        self.log.retain(|(space, number, _)| *space != Space::Config || *number <= copy.number);
        self.revisions.insert(Space::Config, copy.number);
        self.era += 1;
    }

    fn of(&self, space: Space) -> impl Iterator<Item = (Revision, &Change)> {
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
        let said = Box::new(message.clone());
        self.call(host, |reply| ToControl::Exchange(said, reply)).await
    }

    async fn pull(&self, host: &HostId, message: Pull, _: Duration) -> Result<News, PeerError> {
        let news = self.call(host, |reply| ToControl::Pull(message, reply)).await?;
        let size = rmp_serde::to_vec_named(&news).map_or(0, |bytes| bytes.len());
        let far = usize::from(self.is_far(host));
        let mut shared = self.shared.borrow_mut();
        shared.pulled += size;
        shared.crossed += far;
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
        for (_, change) in shared.of(space) {
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
        let until = Instant::now() + wait.max(STEP);
        while Instant::now() < until && !self.is_newer(space, after) {
            Timer::after(STEP).await;
        }
        let shared = self.shared.borrow();
        if shared.blind.contains(&self.own) {
            return Err(PlatformError::Unreachable);
        }
        if shared.era > after.era {
            return Ok(WatchResult::Restored(shared.era));
        }
        let newer = shared.of(space).filter(|(revision, _)| *revision > after);
        let deltas = newer.map(|(revision, change)| Delta {
            base: Revision::new(revision.era, revision.number - 1),
            revision,
            changes: vec![change.clone()],
            kind: DeltaKind::Single,
        });
        let deltas: Vec<Delta> = deltas.take(shared.most.unwrap_or(usize::MAX)).collect();
        let cut = shared.most.is_some_and(|most| deltas.len() == most);
        let at = deltas.last().filter(|_| cut).map_or(shared.revision(space), |delta| delta.revision);
        Ok(WatchResult::Changes { deltas, at })
    }
}
