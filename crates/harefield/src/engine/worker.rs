//! The state of one worker.
//!
//! Messages from the control duty are applied in `updates`, the status board is served by `status`,
//! and requests run in `run`.

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

use super::abandoned::UnansweredAttempt;
use super::attempt::CompletedAttempt;
use super::message::PeerView;
use super::message::ToControl;
use super::stop::Stop;
use crate::domain::accounts::Grants;
use crate::domain::accounts::Holders;
use crate::domain::accounts::Overage;
use crate::domain::accounts::Reserve;
use crate::domain::accounts::UnknownKeys;
use crate::domain::admission::Dequeued;
use crate::domain::admission::Gate;
use crate::domain::admission::GateLimits;
use crate::domain::admission::Room;
use crate::domain::admission::WaiterId;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::fanout::Overrun;
use crate::domain::hlc::HybridClock;
use crate::domain::ids::AccountId;
use crate::domain::ids::Edition;
use crate::domain::ids::FanoutId;
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
use crate::domain::routing::LatencyStats;
use crate::domain::routing::LocalDaemon;
use crate::domain::routing::MAX_RERUN_SHARE;
use crate::domain::routing::Policy;
use crate::domain::routing::Router;
use crate::domain::routing::Scheduling;
use crate::domain::routing::rerun_quota;
use crate::domain::suspects::Abandoned;
use crate::domain::suspects::History;
use crate::domain::suspects::Suspects;
use crate::domain::topology::Topology;
use crate::domain::view::View;
use crate::memory::Memory;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Batch;
use crate::telemetry::Telemetry;
use crate::telemetry::Trace;

/// The settings of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The daemon.
    pub host: HostId,
    /// The daemon's availability zone.
    pub zone: Arc<str>,
    /// The daemon's capacity, in thousandths of a core.
    pub capacity: u32,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// The worker's number.
    pub number: usize,
    /// How many workers the daemon has.
    pub workers: u32,
    /// Whether the fleet is expected to have other daemons.
    pub expects_peers: bool,
    /// The limits of each admission gate.
    pub gate: GateLimits,
    /// The policy by which a replica is chosen.
    pub policy: Policy,
    /// How requests that compete for the upstreams of an index are scheduled.
    pub scheduling: Scheduling,
    /// Extra requests allowed for each needed one.
    pub extra: f64,
    /// What the whole fleet may send to one service beyond that within a window, in requests; none
    /// for no such limit. Where set, budgets are kept for each service.
    pub slack: Option<f64>,
    /// How long a daemon that met none which has run for that long queries one shard of a request
    /// before the others.
    pub caution: Duration,
    /// How many daemons are assumed to share it before any is known.
    pub daemons: u32,
    /// The availability zone of this daemon, and the regions of the zones.
    pub topology: Topology,
    /// What is kept of an objective for the answer's return.
    pub margin: Duration,
    /// The multiple of the slow latency after which a hedge is due; none for no hedges.
    pub hedge: Option<f64>,
    /// A fixed delay before hedges, which replaces the one by `hedge`.
    pub fixed_hedge: Option<Duration>,
    /// How long a reply that is no longer wanted is awaited to keep its connection.
    pub drain: Duration,
    /// One of this many requests is recorded in detail; 0 for none.
    pub detail: u64,
    /// The seed of the router's random choices.
    pub seed: u64,
    /// How far the fleet may exceed accounts' limits.
    pub overage: Overage,
    /// The oldest proof of the configuration with which keys are accepted; none where keys are
    /// accepted by the configuration held, however old.
    pub max_proof_age: Option<Duration>,
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
    /// The tickets of once-only requests.
    pub ledger: Arc<Mutex<Ledger>>,
    /// The parts of accounts' limits that the daemon holds.
    pub grants: Arc<Mutex<Grants>>,
    /// The account of the memory used for callers, upstreams and other daemons.
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
    /// The room that the shards of scheduled indexes have.
    pub(super) shard_room: RefCell<Room>,
    pub(super) waiters: RefCell<HashMap<WaiterKey, Sender<Dequeued>>>,
    /// The running fan-outs that may wait for shards.
    pub(super) turns: RefCell<HashMap<FanoutId, Sender<CompletedAttempt>>>,
    /// When the requests in flight at each daemon were forwarded to it.
    pub(super) forwards: RefCell<HashMap<HostId, Vec<Instant>>>,
    pub(super) rerun_budget: RefCell<Budget>,
    pub(super) ledger: Arc<Mutex<Ledger>>,
    /// Works suspected of crashing upstreams, as the fleet knows them.
    pub(super) suspects: RefCell<Suspects>,
    /// Those of which the control duty was not told yet.
    pub(super) unsent: RefCell<HashSet<WorkId>>,
    /// What this daemon can know of such works.
    pub(super) history: Cell<History>,
    /// Works that run alone here now.
    pub(super) trials: Rc<RefCell<HashSet<WorkId>>>,
    /// Attempts whose ends nobody awaits.
    pub(super) abandoned: RefCell<Abandoned<UnansweredAttempt>>,
    /// Whether the upstreams of these are being looked at.
    pub(super) watching: Cell<bool>,
    pub(super) control: Sender<ToControl>,
    pub(super) hybrid: Rc<RefCell<HybridClock>>,
    pub(super) telemetry: Telemetry,
    pub(super) running: Cell<usize>,
    pub(super) stop: Stop,
    /// How long answers to the requests for each lookup take, wherever they run.
    pub(super) answer_times: RefCell<HashMap<Arc<str>, LatencyStats>>,
    pub(super) counts: Cell<Counts>,
    /// The weighted round-robin credits of the parts of each divided lookup.
    pub(super) part_credits: RefCell<HashMap<Arc<str>, Vec<i64>>>,
    /// Recent time limits of the requests for each lookup.
    pub(super) time_limits: RefCell<HashMap<Arc<str>, RecentTimes>>,
    /// The newest edition that other daemons ran requests of this one under, and when that was last
    /// seen.
    pub(super) seen_edition: Cell<Option<(Edition, Instant)>>,
    /// How long after their cutoff answers are given.
    pub(super) overruns: Overruns,
    /// The most daemons that were ever known at once.
    pub(super) known_daemons: Cell<u32>,
    /// Keys that were found to be unknown.
    pub(super) unknown_keys: RefCell<UnknownKeys>,
    /// The time up to which no confirmed change is missing here.
    pub(super) proven: Cell<Option<Instant>>,
    /// The daemons that hold the parts of accounts' limits.
    pub(super) holders: RefCell<Holders>,
    /// The parts that this daemon holds.
    pub(super) grants: Arc<Mutex<Grants>>,
    /// Permits that were granted to this worker, by account.
    pub(super) reserves: RefCell<HashMap<AccountId, Reserve>>,
    /// Until when holders that did not answer are passed over.
    pub(super) unresponsive: RefCell<HashMap<HostId, Instant>>,
    /// The account of the memory used for callers, upstreams and other daemons.
    pub(super) memory: Memory,
    /// The expected size of the replies to a request, in bytes, by lookup.
    pub(super) reply_sizes: RefCell<HashMap<Arc<str>, usize>>,
    /// Whether another daemon was ever known.
    pub(super) peer_seen: Cell<bool>,
    request_count: Cell<u64>,
}

/// Identifies a waiting request: the index of its gate and its number there.
pub(super) type WaiterKey = (Arc<str>, WaiterId);

/// Learned delays between the cutoff of answers and when they are given.
#[derive(Debug, Default)]
pub(super) struct Overruns {
    /// Of requests that run here.
    pub own: Cell<Overrun>,
    /// Of groups delegated by other daemons.
    pub groups: Cell<Overrun>,
}

/// Counts since the worker started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub answered: u64,
    pub first: u64,
    pub extra: u64,
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Creates a worker that knows no configuration and no other daemon yet.
    #[must_use]
    pub fn new(
        settings: WorkerSettings,
        executor: Rc<LocalExecutor<'static>>,
        ports: Ports<U, P, C>,
        shared: Shared,
        control: Sender<ToControl>,
        telemetry: Telemetry,
    ) -> Rc<Self> {
        let holders = Holders::new(settings.topology.regions.keys(), &settings.zone);
        let budgets = match settings.slack {
            Some(slack) => {
                Budgets::per_service(FleetSlack { share: settings.extra, slack }, settings.daemons)
            }
            None => Budgets::single(settings.extra),
        };
        let rerun_budget = match settings.slack {
            Some(slack) => Budget::strict(MAX_RERUN_SHARE, rerun_quota(slack, settings.daemons, 0)),
            None => Budget::new(settings.extra),
        };
        let router = Router::new(settings.policy, budgets, settings.seed, ports.clock.now());
        let local = LocalDaemon {
            host: Arc::clone(&settings.host),
            capacity: settings.capacity,
            workers: settings.workers,
            worker: u32::try_from(settings.number).unwrap_or(u32::MAX),
            expects_peers: settings.expects_peers,
        };
        let router =
            router.with_topology(settings.topology.clone()).with_sharers(settings.daemons).with_local(local);
        let router = router.with_scheduling(settings.scheduling.clone());
        let history = History::new(settings.caution, ports.clock.now());
        let known = settings.daemons;
        Rc::new(Self {
            settings,
            executor,
            ports,
            router: RefCell::new(router),
            view: RefCell::default(),
            peers: RefCell::default(),
            gates: RefCell::default(),
            shard_room: RefCell::default(),
            waiters: RefCell::default(),
            turns: RefCell::default(),
            forwards: RefCell::default(),
            rerun_budget: RefCell::new(rerun_budget),
            ledger: shared.ledger,
            control,
            hybrid: Rc::default(),
            telemetry,
            running: Cell::new(0),
            stop: Stop::default(),
            answer_times: RefCell::default(),
            counts: Cell::default(),
            suspects: RefCell::default(),
            unsent: RefCell::default(),
            history: Cell::new(history),
            trials: Rc::default(),
            abandoned: RefCell::default(),
            watching: Cell::default(),
            part_credits: RefCell::default(),
            time_limits: RefCell::default(),
            seen_edition: Cell::new(None),
            overruns: Overruns::default(),
            known_daemons: Cell::new(known),
            unknown_keys: RefCell::default(),
            proven: Cell::new(None),
            holders: RefCell::new(holders),
            grants: shared.grants,
            memory: shared.memory,
            reply_sizes: RefCell::default(),
            reserves: RefCell::default(),
            unresponsive: RefCell::default(),
            peer_seen: Cell::new(false),
            request_count: Cell::new(0),
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
        self.stop.schedule().is_some()
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

    /// Returns the edition that is active here.
    #[must_use]
    pub fn edition(&self) -> Edition {
        self.view.borrow().edition
    }

    /// Returns the published limits on callers' requests.
    pub fn bounds(&self) -> Bounds {
        self.view.borrow().bounds
    }

    /// Returns the account of the memory used for callers, upstreams and other daemons.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Returns a trace for events that belong to no request.
    pub(super) fn duty_trace(&self) -> Trace<C> {
        Trace::new(None, true, &self.hybrid, self.ports.clock, &self.telemetry)
    }

    /// Returns the trace of a request, under a new id where it has none.
    pub(super) fn request_trace(&self, given: Option<&str>) -> Trace<C> {
        let number = self.request_count.get() + 1;
        self.request_count.set(number);
        let request: RequestId = match given {
            Some(id) => id.into(),
            None => format!("{:x}-{}-{number}", self.settings.incarnation, self.settings.number).into(),
        };
        let every = self.settings.detail;
        let detail = every > 0 && number.is_multiple_of(every);
        debug!("request {request}: recorded in detail: {detail}");
        Trace::new(Some(request), detail, &self.hybrid, self.ports.clock, &self.telemetry)
    }

    /// Records an event of a request beside those of its trace.
    pub(super) fn record_event(&self, request: &RequestId, event: Event) {
        let request = Some(Arc::clone(request));
        self.telemetry.send(Batch { request, events: vec![(self.stamp(), event)] });
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
