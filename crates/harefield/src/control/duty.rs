//! The state of the control duty, and how updates are applied to it. The `publish` module sends the
//! results to the workers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use log::warn;

use super::announcements::Announcements;
use super::publish::Origin;
use super::publish::ViewCause;
use crate::domain::cell::Candidate;
use crate::domain::cell::CellSize;
use crate::domain::cold::ColdBounds;
use crate::domain::configuration::Configuration;
use crate::domain::configuration::OfferOutcome;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::feed::Delta;
use crate::domain::feed::Feed;
use crate::domain::feed::Items;
use crate::domain::feed::News;
use crate::domain::freshness::Freshness;
use crate::domain::freshness::FreshnessSchedule;
use crate::domain::hlc::HybridClock;
use crate::domain::hosts::HostList;
use crate::domain::ids::Era;
use crate::domain::ids::HostId;
use crate::domain::membership::MemberRow;
use crate::domain::membership::Membership;
use crate::domain::outages::OutageTimes;
use crate::domain::outages::Outages;
use crate::domain::reach::Reachability;
use crate::domain::recently_removed::RecentlyRemoved;
use crate::domain::retained::RetainedReport;
use crate::domain::retained::RetentionTimes;
use crate::domain::revision::Revision;
use crate::domain::suspects::Suspects;
use crate::domain::time::millis;
use crate::domain::topology::Topology;
use crate::domain::view::View;
use crate::engine::ToControl;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Mark;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Pull;
use crate::ports::Space;
use crate::telemetry::Board;
use crate::telemetry::Telemetry;
use crate::telemetry::Trace;

/// The settings of the control duty.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The row of this daemon.
    pub own: MemberRow,
    /// The addresses of the platform's replicas.
    pub replicas: Vec<std::net::SocketAddr>,
    /// Daemons to query at the start.
    pub seeds: Vec<HostId>,
    /// The mean interval at which this daemon gossips with peers.
    pub gossip_interval: Duration,
    /// How long joining the fleet may take.
    pub join_timeout: Duration,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// How long one watch waits at most.
    pub max_watch: Duration,
    /// When this daemon renews its proof of freshness.
    pub freshness: FreshnessSchedule,
    /// How many daemons of an availability zone watch the platform.
    pub readers: usize,
    /// For how long values stay in force that a restored platform lacks.
    pub retention: RetentionTimes,
    /// How often upstreams write their entries.
    pub heartbeat: Duration,
    /// The availability zone of this daemon, and the region of each zone.
    pub topology: Topology,
    /// How large cells may be.
    pub cell_size: CellSize,
    /// How far the fleet may exceed the load that cold upstreams can take.
    pub cold_bounds: ColdBounds,
    /// Whether lookups need a key even if no account is published.
    pub require_keys: bool,
    /// Whether the platform lists the daemons. If not, cells are assigned among the daemons that
    /// know each other.
    pub lists_daemons: bool,
}

/// The ports of the control duty.
#[derive(Clone, Debug)]
pub struct ControlPorts<F, P, C> {
    /// The configuration and membership service.
    pub platform: F,
    /// The other daemons.
    pub peers: P,
    /// The source of time and timers.
    pub clock: C,
}

/// The control duty of one daemon.
#[derive(Debug)]
pub struct Control<F, P, C> {
    pub(super) settings: ControlSettings,
    pub(super) ports: ControlPorts<F, P, C>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) config: RefCell<Configuration>,
    pub(super) hosts: RefCell<Feed>,
    pub(super) host_list: RefCell<HostList>,
    pub(super) view: RefCell<Arc<View>>,
    /// The daemons that cells were last assigned among.
    pub(super) fleet: RefCell<Vec<Candidate>>,
    pub(super) members: RefCell<Membership>,
    pub(super) announcements: RefCell<Announcements>,
    pub(super) suspects: RefCell<Suspects>,
    /// When the suspected works were last sent to other daemons at once, or are to be sent next.
    pub(super) warning_at: Cell<Option<Instant>>,
    pub(super) workers: Vec<Sender<ToWorker>>,
    pub(super) hybrid: Rc<RefCell<HybridClock>>,
    pub(super) telemetry: Telemetry,
    pub(super) board: Arc<Board>,
    pub(super) joined: Cell<bool>,
    /// Until when this daemon, while it starts, leaves it to others of its zone to pull from other
    /// regions.
    pub(super) learning_until: Cell<Option<Instant>>,
    pub(super) confirming: Cell<bool>,
    /// The requests for a refresh that are not answered yet.
    pub(super) refresh_waiters: RefCell<Vec<Sender<bool>>>,
    /// Daemons to query besides the known ones.
    pub(super) seeds: RefCell<Vec<HostId>>,
    /// The outages of the platform for the configuration.
    pub(super) outages: RefCell<Outages>,
    /// Upstreams that may have been removed only because the platform was unreachable.
    pub(super) recently_removed: RefCell<RecentlyRemoved>,
    /// Whether a task is waiting to remove them.
    pub(super) removal_pending: Cell<bool>,
    /// When updates were last pulled from another daemon.
    pub(super) last_pull: Cell<Option<Instant>>,
    /// Whether the platform responds, by space.
    pub(super) reachability: RefCell<BTreeMap<Space, Reachability>>,
    /// The proof that nothing confirmed is missing here, by space.
    pub(super) freshness: RefCell<BTreeMap<Space, Freshness>>,
    /// The proof that was last sent to the children of this daemon.
    pub(super) last_sent: Cell<Option<Instant>>,
    /// When the platform was last queried for the configuration.
    pub(super) last_query: Cell<Option<Instant>>,
    /// The revision of the platform up to which no change of the configuration is missing here.
    pub(super) cursor: Cell<Revision>,
    /// The revision that was last reported as older than what is held, and the revision held then.
    pub(super) last_stale: Cell<Option<(Revision, Revision)>>,
    /// The latest known era, by space.
    pub(super) latest_eras: RefCell<BTreeMap<Space, Era>>,
    /// Daemons that are known to be in an earlier era than this one.
    pub(super) daemons_behind: RefCell<BTreeSet<HostId>>,
    /// Whether a listing of a new era is in progress.
    pub(super) listing: Cell<bool>,
    /// Whether a task is waiting to drop expired retained values.
    pub(super) expiry_pending: Cell<bool>,
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Creates the control duty of a daemon without data.
    #[must_use]
    pub fn new(
        settings: ControlSettings,
        ports: ControlPorts<F, P, C>,
        executor: Rc<LocalExecutor<'static>>,
        workers: Vec<Sender<ToWorker>>,
        telemetry: Telemetry,
        board: Arc<Board>,
    ) -> Rc<Self> {
        let members = Membership::new(settings.own.clone());
        let times = OutageTimes::new(settings.heartbeat, settings.freshness.deadline());
        let seeds = RefCell::new(settings.seeds.clone());
        Rc::new(Self {
            settings,
            ports,
            executor,
            config: RefCell::default(),
            hosts: RefCell::default(),
            host_list: RefCell::default(),
            view: RefCell::default(),
            fleet: RefCell::default(),
            members: RefCell::new(members),
            announcements: RefCell::default(),
            suspects: RefCell::default(),
            warning_at: Cell::new(None),
            workers,
            hybrid: Rc::default(),
            telemetry,
            board,
            joined: Cell::new(false),
            learning_until: Cell::new(None),
            confirming: Cell::new(false),
            refresh_waiters: RefCell::default(),
            seeds,
            outages: RefCell::new(Outages::new(times)),
            recently_removed: RefCell::default(),
            removal_pending: Cell::new(false),
            last_pull: Cell::new(None),
            reachability: RefCell::default(),
            freshness: RefCell::default(),
            last_sent: Cell::new(None),
            last_query: Cell::new(None),
            cursor: Cell::default(),
            last_stale: Cell::new(None),
            latest_eras: RefCell::default(),
            daemons_behind: RefCell::default(),
            listing: Cell::new(false),
            expiry_pending: Cell::new(false),
        })
    }

    /// Joins the fleet, then keeps the state current until the workers' channel is closed.
    pub async fn run(self: Rc<Self>, inbox: Receiver<ToControl>, ready: Sender<()>) {
        let listening = self.executor.spawn(Rc::clone(&self).listen(inbox));
        self.join().await;
        self.joined.set(true);
        self.publish(ViewCause::Update);
        let _ = ready.try_send(());
        for space in self.spaces() {
            self.executor.spawn(Rc::clone(&self).read_space(*space)).detach();
        }
        self.executor.spawn(Rc::clone(&self).gossip()).detach();
        self.executor.spawn(Rc::clone(&self).keep_current()).detach();
        listening.await;
    }

    /// Returns the spaces that the platform provides. A platform that lists no hosts never answers
    /// for them, and only an answer shows that a space is available again.
    pub(super) fn spaces(&self) -> &'static [Space] {
        if self.settings.lists_daemons { &Space::ALL } else { &[Space::Config] }
    }

    /// Returns the revision held of a space.
    pub(super) fn revision(&self, space: Space) -> Option<Revision> {
        match space {
            Space::Config => self.config.borrow().revision(),
            Space::Hosts => self.hosts.borrow().revision(),
        }
    }

    /// Returns the marks of this daemon in all spaces.
    pub(super) fn marks(&self) -> Vec<Mark> {
        let mark = |space| Mark {
            space,
            revision: self.revision(space),
            age: self.age(space).map(millis),
            retained: self.retained_mark(space),
        };
        self.spaces().iter().copied().map(mark).collect()
    }

    /// Returns the updates that a peer lacks.
    pub(super) fn news(&self, pull: &Pull) -> News {
        match pull.space {
            Space::Config => {
                let config = self.config.borrow();
                let news = config.news(pull.have, pull.retained, self.ports.clock.now());
                if pull.divided { news } else { config.joined(news) }
            }
            Space::Hosts => self.hosts.borrow().since(pull.have),
        }
    }

    /// Applies updates from a peer that took `transfer` to arrive; returns whether any were newer.
    pub(super) fn apply_news(
        self: &Rc<Self>,
        space: Space,
        news: News,
        from: &str,
        transfer: Duration,
    ) -> bool {
        let received = self.ports.clock.now();
        let (news, retained) = news.split();
        let changed = match space {
            Space::Config => self.apply_config_news(news, retained),
            Space::Hosts => self.apply_host_news(news),
        };
        if changed {
            self.on_change(space, Origin { from, transfer, received });
        }
        changed
    }

    fn apply_config_news(&self, news: News, retained: Option<RetainedReport>) -> bool {
        let changed = self.config.borrow_mut().merge_news(news);
        let merged = retained.is_some_and(|retained| self.merge_report(retained));
        changed || merged
    }

    fn apply_host_news(&self, news: News) -> bool {
        match news {
            News::Current | News::WithRetained { .. } => false,
            News::Deltas(deltas) => deltas.iter().filter(|delta| self.apply_hosts(delta)).count() > 0,
            News::Full { revision, items } => self.replace_hosts(revision, &items),
        }
    }

    /// Applies a change of the host list if it continues the held revision; returns whether it did.
    pub(super) fn apply_hosts(&self, delta: &Delta) -> bool {
        let fits = self.hosts.borrow_mut().apply(delta);
        if fits {
            self.host_list.borrow_mut().apply(&delta.changes);
        }
        fits
    }

    /// Replaces the host list if the given one is newer; returns whether it was.
    pub(super) fn replace_hosts(&self, revision: Revision, items: &Items) -> bool {
        let newer = self.hosts.borrow_mut().replace(revision, items);
        if newer {
            *self.host_list.borrow_mut() = HostList::parse(self.hosts.borrow().items());
        }
        newer
    }

    /// Handles the outcome of a revision that was read from the platform.
    pub(super) fn handle_offer(self: &Rc<Self>, offer: &OfferOutcome, received: Instant) {
        match offer {
            OfferOutcome::Accepted => self.on_change(Space::Config, Origin::platform(received)),
            OfferOutcome::Stale => {}
            OfferOutcome::Rejected(faults) => {
                let revision = self.config.borrow().seen().unwrap_or_default();
                let first = faults.first().map(|f| format!("{} {}: {}", f.code, f.key, f.detail));
                let first = first.unwrap_or_default();
                warn!("revision {revision} is rejected: {first}");
                self.emit(Event::ConfigRefused { revision, faults: faults.len(), first });
                self.publish_config();
            }
        }
    }

    /// Publishes a newer revision of a space to the workers, and its mark to peers at once.
    pub(super) fn on_change(self: &Rc<Self>, space: Space, origin: Origin<'_>) {
        let revision = self.revision(space).unwrap_or_default();
        self.record_era(space, revision.era, origin.from);
        match space {
            Space::Config => {
                self.report_retained();
                self.expire_retained();
                let set = Arc::clone(self.config.borrow().set());
                self.announcements.borrow_mut().prune(|upstream| set.upstreams.contains_key(upstream));
            }
            Space::Hosts => {
                let (leaving, daemons) = {
                    let list = self.host_list.borrow();
                    (list.leaving().len(), list.daemons())
                };
                self.emit(Event::HostsListed { revision, leaving });
                self.members.borrow_mut().prune(&daemons);
            }
        }
        if self.joined.get() {
            self.publish(ViewCause::Update);
        }
        if space == Space::Config {
            self.report_accepted(revision, origin);
        }
        if self.joined.get() {
            self.relay_marks();
            self.notify_children();
        }
    }

    pub(super) fn emit(&self, event: Event) {
        Trace::new(None, true, &self.hybrid, self.ports.clock, &self.telemetry).emit(event);
    }
}
