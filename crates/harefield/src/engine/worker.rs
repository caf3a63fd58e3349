//! The state of one worker.
//!
//! What it takes from the control duty stands in `updates`, what it tells the
//! board in `status`, and the life of a request in `run`.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_executor::LocalExecutor;
use log::debug;

use super::message::PeerView;
use super::message::ToControl;
use crate::domain::accounts::Grants;
use crate::domain::accounts::Holders;
use crate::domain::accounts::Overage;
use crate::domain::accounts::Reserve;
use crate::domain::accounts::UnknownKeys;
use crate::domain::admission::Called;
use crate::domain::admission::Gate;
use crate::domain::admission::GateLimits;
use crate::domain::admission::WaiterId;
use crate::domain::code::Code;
use crate::domain::fanout::Overrun;
use crate::domain::hlc::HybridClock;
use crate::domain::ids::AccountId;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::domain::ids::RequestId;
use crate::domain::ids::WorkId;
use crate::domain::once::Ledger;
use crate::domain::recent::RecentTimes;
use crate::domain::resources::Bounds;
use crate::domain::routing::Budget;
use crate::domain::routing::Budgets;
use crate::domain::routing::FleetSlack;
use crate::domain::routing::Own;
use crate::domain::routing::Policy;
use crate::domain::routing::RERUN_SHARE;
use crate::domain::routing::Router;
use crate::domain::routing::rerun_part;
use crate::domain::suspects::Suspects;
use crate::domain::topology::Topology;
use crate::domain::view::View;
use crate::memory::Memory;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Telemetry;
use crate::telemetry::Trace;

/// What a worker is told when it is made.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The worker's number.
    pub number: usize,
    /// How many workers the daemon has.
    pub workers: u32,
    /// Whether there are to be other daemons.
    pub others: bool,
    /// Bounds of each gate.
    pub gate: GateLimits,
    /// How a replica is chosen.
    pub policy: Policy,
    /// Extra requests allowed for each needed one.
    pub extra: f64,
    /// What the whole fleet may send to one service on top within a window,
    /// where that is bound; budgets are then kept for each service.
    pub slack: Option<f64>,
    /// How many daemons are taken to share it before any is known.
    pub daemons: u32,
    /// Where this daemon and the availability zones are.
    pub places: Topology,
    /// What is kept of an objective for the answer's way back.
    pub margin: Duration,
    /// After how many times the slow pace a hedge is due; none for no hedges.
    pub hedge: Option<f64>,
    /// A fixed delay before hedges instead.
    pub fixed: Option<Duration>,
    /// How long an unwanted reply is awaited to keep its connection.
    pub drain: Duration,
    /// Of this many requests, one is recorded in detail; 0 for none.
    pub detail: u64,
    /// Seeds the worker's random choices.
    pub seed: u64,
    /// How far the fleet may go above accounts' limits.
    pub overage: Overage,
    /// How old a proof of the configuration may be for keys to open anything; none where a
    /// daemon that cannot know goes by what it holds.
    pub strict: Option<Duration>,
}

/// The ports of a worker.
#[derive(Clone, Debug)]
pub struct Ports<U, P, C> {
    /// The upstreams.
    pub upstreams: U,
    /// The other daemons.
    pub peers: P,
    /// The clock.
    pub clock: C,
}

/// What the workers of a daemon share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Once-only requests.
    pub ledger: Arc<Mutex<Ledger>>,
    /// The parts of accounts' limits that the daemon holds.
    pub grants: Arc<Mutex<Grants>>,
    /// The account of what is held for others.
    pub memory: Memory,
}

/// One worker.
#[derive(Debug)]
pub struct Worker<U, P, C> {
    pub(super) settings: WorkerSettings,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) ports: Ports<U, P, C>,
    pub(super) router: RefCell<Router>,
    pub(super) view: RefCell<Arc<View>>,
    pub(super) peers: RefCell<Arc<PeerView>>,
    pub(super) gates: RefCell<HashMap<Arc<str>, Gate>>,
    pub(super) waiters: RefCell<HashMap<WaiterKey, Sender<Called>>>,
    /// When the requests left that are handed to each daemon.
    pub(super) forwards: RefCell<HashMap<HostId, Vec<Instant>>>,
    pub(super) spare: RefCell<Budget>,
    pub(super) ledger: Arc<Mutex<Ledger>>,
    /// Works under which upstreams ended, as the fleet knows them.
    pub(super) suspects: RefCell<Suspects>,
    /// Works that run alone here now.
    pub(super) on_trial: RefCell<HashSet<WorkId>>,
    pub(super) control: Sender<ToControl>,
    pub(super) hybrid: Rc<RefCell<HybridClock>>,
    pub(super) telemetry: Telemetry,
    pub(super) running: Cell<usize>,
    pub(super) stopping: Cell<bool>,
    pub(super) counts: Cell<Counts>,
    /// Whose turn it is in each divided lookup.
    pub(super) turns: RefCell<HashMap<Arc<str>, Vec<i64>>>,
    /// The time that requests of each lookup usually come with.
    pub(super) time_limits: RefCell<HashMap<Arc<str>, RecentTimes>>,
    /// The newest edition that other daemons ran requests of this one under, and when
    /// that was last seen.
    pub(super) seen_edition: Cell<Option<(Edition, Instant)>>,
    /// How long after their cut answers go out.
    pub(super) overruns: Overruns,
    /// The most daemons that were ever known at once.
    pub(super) known: Cell<u32>,
    /// Keys that were found unknown.
    pub(super) unknown_keys: RefCell<UnknownKeys>,
    /// Up to when nothing that was confirmed is missing here.
    pub(super) proven: Cell<Option<Instant>>,
    /// Who holds the parts of accounts' limits.
    pub(super) holders: RefCell<Holders>,
    /// The parts that this daemon holds.
    pub(super) grants: Arc<Mutex<Grants>>,
    /// Permits that were granted to this worker, by account.
    pub(super) reserves: RefCell<HashMap<AccountId, Reserve>>,
    /// Until when holders that did not answer are passed over.
    pub(super) quiet: RefCell<HashMap<HostId, Instant>>,
    /// The account of what is held for others.
    pub(super) memory: Memory,
    /// How many bytes the replies of each lookup's requests come to.
    pub(super) sizes: RefCell<HashMap<Arc<str>, usize>>,
    /// Whether another daemon was ever heard of.
    pub(super) met: Cell<bool>,
    numbered: Cell<u64>,
}

/// Names a request that waits: the index of its gate and its number there.
pub(super) type WaiterKey = (Arc<str>, WaiterId);

/// How long after their cut answers go out, learnt.
#[derive(Debug, Default)]
pub(super) struct Overruns {
    /// Of requests that run here.
    pub own: Cell<Overrun>,
    /// Of groups taken from other daemons.
    pub groups: Cell<Overrun>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub answered: u64,
    pub first: u64,
    pub extra: u64,
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Creates a worker that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: WorkerSettings,
        executor: Rc<LocalExecutor<'static>>,
        ports: Ports<U, P, C>,
        shared: Shared,
        control: Sender<ToControl>,
        telemetry: Telemetry,
    ) -> Rc<Self> {
        let holders = Holders::over(settings.places.regions.keys(), &settings.zone);
        let budgets = match settings.slack {
            Some(slack) => Budgets::by_service(FleetSlack { share: settings.extra, slack }, settings.daemons),
            None => Budgets::one(settings.extra),
        };
        let spare = match settings.slack {
            Some(slack) => Budget::strict(RERUN_SHARE, rerun_part(slack, settings.daemons, 0)),
            None => Budget::new(settings.extra),
        };
        let router = Router::new(settings.policy, budgets, settings.seed, ports.clock.now());
        let own = Own {
            host: Arc::clone(&settings.host),
            capacity: settings.capacity,
            workers: settings.workers,
            number: u32::try_from(settings.number).unwrap_or(u32::MAX),
            others: settings.others,
        };
        let router = router.at(settings.places.clone()).sharing(settings.daemons).of(own);
        let known = settings.daemons;
        Rc::new(Self {
            settings,
            executor,
            ports,
            router: RefCell::new(router),
            view: RefCell::default(),
            peers: RefCell::default(),
            gates: RefCell::default(),
            waiters: RefCell::default(),
            forwards: RefCell::default(),
            spare: RefCell::new(spare),
            ledger: shared.ledger,
            control,
            hybrid: Rc::default(),
            telemetry,
            running: Cell::new(0),
            stopping: Cell::new(false),
            counts: Cell::default(),
            suspects: RefCell::default(),
            on_trial: RefCell::default(),
            turns: RefCell::default(),
            time_limits: RefCell::default(),
            seen_edition: Cell::new(None),
            overruns: Overruns::default(),
            known: Cell::new(known),
            unknown_keys: RefCell::default(),
            proven: Cell::new(None),
            holders: RefCell::new(holders),
            grants: shared.grants,
            memory: shared.memory,
            sizes: RefCell::default(),
            reserves: RefCell::default(),
            quiet: RefCell::default(),
            met: Cell::new(false),
            numbered: Cell::new(0),
        })
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns the lookup that a caller's path leads to.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn lookup_at(&self, host: &str, path: &str) -> Result<Arc<str>, Code> {
        let view = self.view.borrow();
        if view.revision.is_none() {
            return Err(Code::NoConfiguration);
        }
        let plan = view.lookup_at(host, path).ok_or(Code::UnknownLookup)?;
        Ok(Arc::clone(&plan.name))
    }

    /// Returns the edition in force here.
    #[must_use]
    pub fn edition(&self) -> Edition {
        self.view.borrow().edition
    }

    /// Returns the bounds on callers' requests, as published.
    pub fn bounds(&self) -> Bounds {
        self.view.borrow().bounds
    }

    /// Returns the account of what is held for others.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Returns a trace for what concerns no request.
    pub(super) fn duty_trace(&self) -> Trace<C> {
        Trace::new(None, true, &self.hybrid, self.ports.clock, &self.telemetry)
    }

    /// Returns the trace of a request, under a new id where it has none.
    pub(super) fn request_trace(&self, given: Option<&str>) -> Trace<C> {
        let number = self.numbered.get() + 1;
        self.numbered.set(number);
        let request: RequestId = match given {
            Some(id) => id.into(),
            None => format!("{:x}-{}-{number}", self.settings.incarnation, self.settings.number).into(),
        };
        let every = self.settings.detail;
        let detail = every > 0 && number.is_multiple_of(every);
        debug!("request {request} detail {detail}");
        Trace::new(Some(request), detail, &self.hybrid, self.ports.clock, &self.telemetry)
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
