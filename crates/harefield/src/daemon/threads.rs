//! The worker and control threads: their settings, ports and main loops.

use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::future;

use super::context::AcceptedConnection;
use super::context::Context;
use super::context::Side;
use super::protocols::HttpWorker;
use super::protocols::Protocols;
use crate::adapters::callers::RequestLimits;
use crate::adapters::clock::SystemClock;
use crate::adapters::http;
use crate::adapters::peer_server;
use crate::adapters::peer_server::PeerServer;
use crate::adapters::peers::HttpPeers;
use crate::adapters::settings::PlatformKind;
use crate::adapters::upstreams::HttpUpstreams;
use crate::control::Control;
use crate::control::ControlPorts;
use crate::control::ControlSettings;
use crate::domain::admission::GateLimits;
use crate::domain::freshness::FreshnessSchedule;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;
use crate::domain::retained::RetentionTimes;
use crate::domain::topology::Topology;
use crate::engine::Ports;
use crate::engine::ToControl;
use crate::engine::ToWorker;
use crate::engine::Worker;
use crate::engine::WorkerSettings;

/// How often a stopping worker checks whether its requests and connections have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Takes a connection off the count of open ones when dropped.
struct ConnectionGuard<'a> {
    context: &'a Context,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.context.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a worker until its requests and connections have ended in a planned stop. Returns how many
/// requests the stop ended that may have run.
pub(super) fn run_worker<P: Protocols>(
    context: &Context,
    number: usize,
    arrivals: &Receiver<AcceptedConnection>,
    messages: Receiver<ToWorker>,
) -> usize {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let memory = context.shared.memory.clone();
    let upstreams = HttpUpstreams::new(P::upstream_protocol(), Rc::clone(&executor), memory);
    let peers = make_peers(context, &executor);
    let ports = Ports { upstreams: upstreams.clone(), peers, clock: SystemClock };
    let worker = Worker::new(
        worker_settings(context, number),
        Rc::clone(&executor),
        ports,
        context.shared.clone(),
        context.control.clone(),
        context.telemetry.clone(),
    );
    executor.spawn(Rc::clone(&worker).listen(messages)).detach();
    executor.spawn(Rc::clone(&worker).keep_lease()).detach();
    executor.spawn(Rc::clone(&worker).keep_warm()).detach();
    let board = Arc::clone(&context.board);
    executor.spawn(Rc::clone(&worker).report(board, move || upstreams.opened())).detach();
    async_io::block_on(executor.run(serve_connections::<P>(context, &executor, &worker, arrivals)));
    worker.cut()
}

/// Serves connections until the accept thread ends, then waits for requests
/// and connections in progress.
async fn serve_connections<P: Protocols>(
    context: &Context,
    executor: &Rc<LocalExecutor<'static>>,
    worker: &Rc<HttpWorker<P::UpstreamProtocol>>,
    arrivals: &Receiver<AcceptedConnection>,
) {
    let open = Rc::new(std::cell::Cell::new(0_usize));
    while let Ok(arrived) = arrivals.recv().await {
        let (context, worker, open) = (context.clone(), Rc::clone(worker), Rc::clone(&open));
        open.set(open.get() + 1);
        let serving = async move {
            serve::<P>(&context, worker, arrived).await;
            open.set(open.get() - 1);
        };
        executor.spawn(serving).detach();
    }
    while worker.running() > 0 || open.get() > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn serve<P: Protocols>(
    context: &Context,
    worker: Rc<HttpWorker<P::UpstreamProtocol>>,
    arrived: AcceptedConnection,
) {
    let _guard = ConnectionGuard { context };
    let Ok(stream) = Async::<TcpStream>::new(arrived.stream) else {
        return;
    };
    let memory = &context.shared.memory;
    let (limits, stop, linger) = (context.server_limits(), context.stop.clone(), context.linger());
    match arrived.side {
        Side::Callers => {
            let limited = request_limits(context);
            let handle = |request| P::answer(Rc::clone(&worker), request, limited);
            http::serve(stream, limits, (stop, linger), memory, handle).await;
        }
        Side::Peers => {
            let server = PeerServer {
                control: context.control.clone(),
                token: context.token.clone(),
                traffic: context.traffic.clone(),
                memory: memory.clone(),
            };
            let handle = |request| peer_server::handle(Rc::clone(&worker), server.clone(), request);
            http::serve(stream, limits, (stop, linger), memory, handle).await;
        }
    }
}

fn make_peers(context: &Context, executor: &Rc<LocalExecutor<'static>>) -> HttpPeers {
    let memory = context.shared.memory.clone();
    HttpPeers::new(Rc::clone(executor), context.token.clone(), context.traffic.clone(), memory)
}

fn request_limits(context: &Context) -> RequestLimits {
    let limits = &context.settings.limits;
    RequestLimits {
        head: limits.head_bytes,
        body: limits.body_bytes,
        time: Duration::from_millis(limits.body_ms),
    }
}

fn worker_settings(context: &Context, number: usize) -> WorkerSettings {
    let settings = &context.settings;
    let routing = &settings.routing;
    WorkerSettings {
        host: Arc::clone(&context.host),
        zone: settings.host.zone.as_str().into(),
        capacity: settings.host.capacity(),
        incarnation: context.incarnation,
        number,
        workers: u32::try_from(settings.limits.workers).unwrap_or(u32::MAX),
        expects_peers: settings.peers.seeds.iter().any(|seed| seed.to_string() != *context.host),
        gate: GateLimits { running: settings.limits.running, waiting: settings.limits.waiting },
        policy: routing.policy,
        scheduling: settings.scheduling.scheduling(),
        extra: routing.extra_load,
        slack: routing.extra_slack,
        caution: Duration::from_millis(routing.cautious_ms),
        daemons: settings.peers.daemons,
        topology: topology(context),
        margin: Duration::from_millis(routing.margin_ms),
        hedge: routing.hedge.then_some(routing.hedge_factor),
        fixed_hedge: routing.fixed_ms.map(Duration::from_millis),
        drain: Duration::from_millis(routing.drain_ms),
        detail: settings.events.detail_every,
        seed: rand::random(),
        overage: settings.accounts.overage(),
        max_proof_age: settings.accounts.max_proof_age(),
    }
}

fn topology(context: &Context) -> Topology {
    let host = &context.settings.host;
    Topology { zone: host.zone.as_str().into(), regions: host.regions.clone() }
}

/// Runs the control loop until the daemon ends; `ready` is signalled once the daemon has joined.
pub(super) fn run_control<P: Protocols>(
    context: &Context,
    workers: Vec<Sender<ToWorker>>,
    inbox: Receiver<ToControl>,
    ready: Sender<()>,
) {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let ports = ControlPorts {
        platform: P::platform(
            Rc::clone(&executor),
            context.traffic.clone(),
            context.board.metrics().left_out(),
        ),
        peers: make_peers(context, &executor),
        clock: SystemClock,
    };
    let control = Control::new(
        control_settings(context),
        ports,
        Rc::clone(&executor),
        workers,
        context.telemetry.clone(),
        Arc::clone(&context.board),
    );
    future::block_on(executor.run(control.run(inbox, ready)));
}

fn control_settings(context: &Context) -> ControlSettings {
    let settings = &context.settings;
    ControlSettings {
        own: MemberRow {
            host: Arc::clone(&context.host),
            zone: settings.host.zone.as_str().into(),
            operators: context.addresses.operators.to_string().into(),
            incarnation: context.incarnation,
            version: 0,
            state: PeerState::Live,
            blind: false,
            capacity: settings.host.capacity(),
        },
        replicas: settings.platform.addresses.clone(),
        seeds: settings.peers.seeds.iter().map(|seed| seed.to_string().into()).collect(),
        gossip_interval: Duration::from_millis(settings.peers.exchange_ms),
        join_timeout: Duration::from_millis(settings.peers.join_ms),
        first_start: settings.peers.first_start,
        max_watch: Duration::from_millis(settings.platform.watch_ms),
        freshness: FreshnessSchedule::new(settings.platform.apply_limit()),
        readers: settings.platform.readers,
        retention: RetentionTimes::new(Duration::from_millis(settings.platform.heartbeat_ms)),
        heartbeat: Duration::from_millis(settings.platform.heartbeat_ms),
        topology: topology(context),
        cell_size: settings.cell(),
        cold_bounds: settings.routing.cold(),
        require_keys: settings.accounts.required,
        lists_daemons: settings.platform.kind == PlatformKind::Own,
    }
}
