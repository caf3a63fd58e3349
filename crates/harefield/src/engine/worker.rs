//! The state of one worker and its small duties beside requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use log::debug;

use super::message::PeerView;
use super::message::ToControl;
use super::message::ToWorker;
use crate::domain::admission::Called;
use crate::domain::admission::Gate;
use crate::domain::admission::GateLimits;
use crate::domain::admission::WaiterId;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::hlc::HybridClock;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::domain::ids::RequestId;
use crate::domain::lease::RENEW_EVERY;
use crate::domain::lease::Renewal;
use crate::domain::membership::PeerState;
use crate::domain::once::Ledger;
use crate::domain::recent::Recent;
use crate::domain::resources::Bounds;
use crate::domain::routing::Budget;
use crate::domain::routing::Budgets;
use crate::domain::routing::FleetSlack;
use crate::domain::routing::Places;
use crate::domain::routing::Policy;
use crate::domain::routing::Router;
use crate::domain::view::View;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Board;
use crate::telemetry::Telemetry;
use crate::telemetry::Trace;
use crate::telemetry::UpstreamStatus;
use crate::telemetry::WorkerStatus;

/// How often a worker reports to the board.
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// What a worker is told when it is made.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The daemon.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The worker's number.
    pub number: usize,
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
    pub places: Places,
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
    pub(super) forwards: RefCell<HashMap<HostId, usize>>,
    pub(super) spare: RefCell<Budget>,
    pub(super) ledger: Arc<Mutex<Ledger>>,
    pub(super) control: Sender<ToControl>,
    pub(super) hybrid: Rc<RefCell<HybridClock>>,
    pub(super) telemetry: Telemetry,
    pub(super) running: Cell<usize>,
    pub(super) stopping: Cell<bool>,
    pub(super) counts: Cell<Counts>,
    /// Whose turn it is in each divided lookup.
    pub(super) turns: RefCell<HashMap<Arc<str>, Vec<i64>>>,
    /// The time that requests of each lookup usually come with.
    pub(super) patience: RefCell<HashMap<Arc<str>, Recent>>,
    /// The most daemons that were ever known at once.
    known: Cell<u32>,
    numbered: Cell<u64>,
}

/// Names a request that waits: the index of its gate and its number there.
pub(super) type WaiterKey = (Arc<str>, WaiterId);

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
        ledger: Arc<Mutex<Ledger>>,
        control: Sender<ToControl>,
        telemetry: Telemetry,
    ) -> Rc<Self> {
        let budgets = match settings.slack {
            Some(slack) => Budgets::by_service(FleetSlack { share: settings.extra, slack }, settings.daemons),
            None => Budgets::one(settings.extra),
        };
        let spare = Budget::new(settings.extra);
        let router = Router::new(settings.policy, budgets, settings.seed, ports.clock.now());
        let router = router.at(settings.places.clone());
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
            ledger,
            control,
            hybrid: Rc::default(),
            telemetry,
            running: Cell::new(0),
            stopping: Cell::new(false),
            counts: Cell::default(),
            turns: RefCell::default(),
            patience: RefCell::default(),
            known: Cell::new(known),
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

    /// Takes messages from the control duty until its ring is closed.
    pub async fn listen(self: Rc<Self>, messages: Receiver<ToWorker>) {
        while let Ok(message) = messages.recv().await {
            self.take(message);
        }
    }

    /// Takes one message from the control duty.
    pub fn take(&self, message: ToWorker) {
        match message {
            ToWorker::View(view) => self.take_view(view),
            ToWorker::Words(words) => self.router.borrow_mut().hear_all(&words),
            ToWorker::Peers(peers) => self.take_peers(peers),
            ToWorker::Confirmed(confirmed) => self.confirm(confirmed.asked),
            ToWorker::Stop => self.stopping.set(true),
        }
    }

    fn take_peers(&self, peers: Arc<PeerView>) {
        let known = u32::try_from(peers.rows.len()).unwrap_or(u32::MAX);
        self.known.set(self.known.get().max(known));
        if self.settings.slack.is_some() {
            self.router.borrow_mut().share_with(self.known.get());
        }
        let seen = peers.rows.iter().map(|row| (&row.host, &*row.zone, row.state == PeerState::Live));
        self.router.borrow_mut().see_daemons(seen.filter(|(host, ..)| **host != self.settings.host));
        *self.peers.borrow_mut() = peers;
    }

    fn take_view(&self, view: Arc<View>) {
        self.router.borrow_mut().apply(&view);
        let mut gates = self.gates.borrow_mut();
        gates.retain(|index, gate| view.cells.contains_key(index) || gate.running() > 0);
        self.turns.borrow_mut().retain(|name, _| view.lookups.contains_key(name));
        self.patience.borrow_mut().retain(|name, _| view.lookups.contains_key(name));
        *self.view.borrow_mut() = view;
    }

    /// Renews the lease on a short timer; asks for a confirmation after a pause.
    pub async fn keep_lease(self: Rc<Self>) {
        loop {
            self.renew();
            self.ports.clock.sleep(RENEW_EVERY).await;
        }
    }

    /// Renews the lease once.
    pub fn renew(&self) {
        let now = self.ports.clock.now();
        let renewal = self.router.borrow_mut().lease_mut().renew(now);
        if let Renewal::Lapsed(gap) = renewal {
            let millis = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            self.duty_trace().emit(Event::Paused { millis });
        }
        if !self.router.borrow().lease().held(now) {
            drop(self.control.try_send(ToControl::Woke));
        }
    }

    fn confirm(&self, asked: Instant) {
        let now = self.ports.clock.now();
        let mut router = self.router.borrow_mut();
        let before = router.lease().held(now);
        router.lease_mut().confirm(asked, now);
        let after = router.lease().held(now);
        drop(router);
        if after && !before {
            let took = now.saturating_duration_since(asked);
            let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            self.duty_trace().emit(Event::Confirmed { millis });
        }
    }

    /// Reports to the board from time to time.
    pub async fn report(self: Rc<Self>, board: Arc<Board>, opened: impl Fn() -> u64) {
        loop {
            let status = self.status(opened());
            board.status().workers.insert(self.settings.number, status);
            self.ports.clock.sleep(REPORT_EVERY).await;
        }
    }

    fn status(&self, opened: u64) -> WorkerStatus {
        let router = self.router.borrow();
        let mut upstreams: Vec<_> = router
            .searchers()
            .map(|(name, searcher)| UpstreamStatus {
                upstream: Arc::clone(name),
                leaving: searcher.is_leaving(),
                running: searcher.under_way(),
                window: searcher.window().size(),
                latency: searcher.observed_time(0.0) * 1000.0,
                held: searcher.word().held.clone(),
            })
            .collect();
        upstreams.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let counts = self.counts.get();
        WorkerStatus {
            running: self.running(),
            waiting: self.gates.borrow().values().map(Gate::waiting).sum(),
            answered: counts.answered,
            first: counts.first,
            extra: counts.extra,
            opened,
            upstreams,
        }
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

    /// Returns the bounds on callers' requests, as published.
    pub fn bounds(&self) -> Bounds {
        self.view.borrow().bounds
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
