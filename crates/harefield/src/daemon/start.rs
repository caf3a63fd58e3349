//! Starts a daemon and runs its planned stop.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::TrySendError;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use futures_lite::future;
use log::info;
use log::warn;
use miette::Diagnostic;

use super::accept;
use super::context::Addresses;
use super::context::Context;
use super::operators;
use super::protocols::NativeProtocols;
use super::protocols::PlatformProtocols;
use super::protocols::Protocols;
use super::threads;
use crate::adapters::clock::SystemClock;
use crate::adapters::http::Traffic;
use crate::adapters::logs;
use crate::adapters::settings::PlatformKind;
use crate::adapters::settings::Settings;
use crate::adapters::settings::read_token;
use crate::domain::accounts::Grants;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::hlc::Stamp;
use crate::domain::ids::HostId;
use crate::domain::ids::Incarnation;
use crate::domain::ids::incarnation_of;
use crate::domain::once::Ledger;
use crate::domain::stop::StopSchedule;
use crate::engine::Shared;
use crate::engine::ToControl;
use crate::engine::ToWorker;
use crate::memory::Memory;
use crate::ports::Clock;
use crate::telemetry;
use crate::telemetry::Batch;
use crate::telemetry::Board;
use crate::telemetry::Telemetry;

/// The capacity of the channel of accepted connections to one worker.
const CONNECTION_CAPACITY: usize = 1024;

/// The capacity of the channel of messages to one worker.
const MESSAGE_CAPACITY: usize = 4096;

/// The capacity of the channel of messages to the control thread.
const CONTROL_CAPACITY: usize = 4096;

/// How often the main thread checks whether the workers have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum DaemonError {
    /// The daemon cannot listen on an address.
    #[error("{}: {}: {address}: {source}", Code::BindFailed, Code::BindFailed.text())]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The system did not provide something else that the start needs.
    #[error("{}: {what}: {source}", Code::SettingsUnreadable)]
    System {
        /// What is missing: a setting's name, or such as "thread control".
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// All requests and connections ended within the stop limit.
    Complete,
    /// The stop limit or a second signal ended requests that may have run, or connections that were
    /// still open.
    Interrupted,
}

/// The threads of a daemon that its start and its stop deal with.
struct Threads {
    /// Each returns how many requests the stop ended that may have run.
    workers: Vec<JoinHandle<usize>>,
    messages: Vec<Sender<ToWorker>>,
    /// Signalled once the daemon has joined.
    joined: Receiver<()>,
    /// Closed to accept callers.
    open: Sender<()>,
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs a daemon until its planned stop has ended; calls `ready` with its addresses once it serves.
///
/// # Errors
///
/// Returns why the daemon could not start.
pub fn run(settings: Settings, ready: impl FnOnce(&Addresses)) -> Result<StopOutcome, DaemonError> {
    let listeners = Listeners {
        callers: bind(settings.listen.callers)?,
        peers: bind(settings.listen.peers)?,
        operators: bind(settings.listen.operators)?,
    };
    let addresses = Addresses {
        callers: local_address(&listeners.callers)?,
        peers: local_address(&listeners.peers)?,
        operators: local_address(&listeners.operators)?,
    };
    let host: HostId = settings.listen.known_as.unwrap_or(addresses.peers).to_string().into();
    logs::start(settings.log.level, Arc::clone(&host))
        .unwrap_or_else(|_started| warn!("logging was started before"));
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = signals.map_err(|source| DaemonError::System { what: "signals".to_owned(), source })?;
    let (stop_sender, stop) = async_channel::bounded(1);
    let (control, inbox) = async_channel::bounded(CONTROL_CAPACITY);
    let (telemetry, batches) = telemetry::ring();
    let context = make_context(settings, addresses, host, stop, control, telemetry)?;
    let threads = match context.settings.platform.kind {
        PlatformKind::Own => start_threads::<NativeProtocols>(&context, listeners, inbox, batches)?,
        PlatformKind::Store => start_threads::<PlatformProtocols>(&context, listeners, inbox, batches)?,
    };
    if future::block_on(await_joined(&context, &threads, &mut signals)) {
        record_event(&context, Event::Started { version: env!("CARGO_PKG_VERSION").to_owned() });
        ready(&addresses);
        info!("ready: callers {}, peers {}", addresses.callers, addresses.peers);
        future::block_on(await_stop(&context, &mut signals));
    }
    Ok(stop_gracefully(&context, &stop_sender, threads, signals))
}

/// Waits until the daemon has joined, and then accepts callers. Returns whether it did so before the
/// signal that begins a planned stop.
async fn await_joined(context: &Context, threads: &Threads, signals: &mut Signals) -> bool {
    let joined = async {
        let _ = threads.joined.recv().await;
        threads.open.close();
        true
    };
    let stopped = async {
        await_stop(context, signals).await;
        info!("stopping before the daemon has joined");
        false
    };
    future::or(joined, stopped).await
}

/// Waits for the signal that begins a planned stop; reloads the settings at each `SIGHUP` before it.
async fn await_stop(context: &Context, signals: &mut Signals) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        reload(context);
    }
}

/// Reloads the settings that may change while a daemon runs: the seeds, the daemons to contact first.
fn reload(context: &Context) {
    let Some(path) = &context.settings.source else {
        return;
    };
    match Settings::load(path) {
        Ok(settings) => {
            let seeds: Vec<HostId> =
                settings.peers.seeds.iter().map(|seed| seed.to_string().into()).collect();
            record_event(context, Event::Reloaded { seeds: seeds.len() });
            drop(context.control.try_send(ToControl::Seeds(seeds)));
        }
        Err(error) => warn!("the changed settings are not valid, the old ones stay active: {error}"),
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).map_err(|source| DaemonError::Bind { address, source })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, DaemonError> {
    listener.local_addr().map_err(|source| DaemonError::System { what: "address".to_owned(), source })
}

fn make_context(
    settings: Settings,
    addresses: Addresses,
    host: HostId,
    stop: Receiver<()>,
    control: Sender<ToControl>,
    telemetry: Telemetry,
) -> Result<Context, DaemonError> {
    let token = read_token(settings.peers.token_file.as_deref())
        .map_err(|source| DaemonError::System { what: "peers.token-file".to_owned(), source })?;
    let incarnation = new_incarnation();
    let board = Board::new(Arc::clone(&host), incarnation, settings.events.keep);
    let ledger = Ledger::new(Arc::clone(&host), incarnation);
    let stall = Duration::from_millis(settings.limits.stall_ms);
    let memory = Memory::new(settings.held_limit(), stall, board.metrics().meters());
    Ok(Context {
        settings: Arc::new(settings),
        addresses,
        host,
        incarnation,
        shared: Shared {
            ledger: Arc::new(Mutex::new(ledger)),
            grants: Arc::new(Mutex::new(Grants::new(SystemClock.now()))),
            memory,
        },
        control,
        telemetry,
        board: Arc::new(board),
        traffic: Traffic::default(),
        stop,
        connections: Arc::default(),
        token,
    })
}

fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    incarnation_of(since, rand::random())
}

/// Starts all threads.
fn start_threads<P: Protocols>(
    context: &Context,
    listeners: Listeners,
    inbox: Receiver<ToControl>,
    batches: Receiver<Batch>,
) -> Result<Threads, DaemonError> {
    let token = read_token(context.settings.events.token_file.as_deref())
        .map_err(|source| DaemonError::System { what: "events.token-file".to_owned(), source })?;
    let (board, telemetry) = (Arc::clone(&context.board), context.telemetry.clone());
    spawn("telemetry", move || {
        future::block_on(telemetry::run(batches, telemetry, board));
    })?;
    let thread_context = context.clone();
    let listener = listeners.operators;
    spawn("operators", move || {
        operators::run(&thread_context, listener, token.as_ref());
    })?;
    let mut worker_threads = Vec::new();
    let mut arrivals = Vec::new();
    let mut messages = Vec::new();
    for number in 0..context.settings.limits.workers {
        let (connection_sender, connections) = async_channel::bounded(CONNECTION_CAPACITY);
        let (sender, received) = async_channel::bounded(MESSAGE_CAPACITY);
        arrivals.push(connection_sender);
        messages.push(sender);
        let thread_context = context.clone();
        let name = format!("worker-{number}");
        worker_threads.push(spawn(&name, move || {
            threads::run_worker::<P>(&thread_context, number, &connections, received)
        })?);
    }
    let (joined, wait) = async_channel::bounded(1);
    let thread_context = context.clone();
    let to_workers = messages.clone();
    spawn("control", move || {
        threads::run_control::<P>(&thread_context, to_workers, inbox, joined);
    })?;
    let thread_context = context.clone();
    let (callers, peers) = (listeners.callers, listeners.peers);
    let (open, opened) = async_channel::bounded::<()>(1);
    spawn("accept", move || {
        accept::run(&thread_context, callers, peers, &arrivals, &opened);
    })?;
    Ok(Threads { workers: worker_threads, messages, joined: wait, open })
}

fn spawn<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, DaemonError> {
    let built = std::thread::Builder::new().name(name.to_owned()).spawn(body);
    built.map_err(|source| DaemonError::System { what: format!("thread {name}"), source })
}

/// Messages of a planned stop that are not delivered yet, since a channel was full.
struct StopMessages {
    schedule: StopSchedule,
    control: Option<Sender<ToControl>>,
    workers: Vec<Sender<ToWorker>>,
}

impl StopMessages {
    fn deliver(&mut self) {
        self.control.take_if(|control| !is_full(&control.try_send(ToControl::Stop)));
        let message = || ToWorker::Stop(self.schedule);
        self.workers.retain(|worker| is_full(&worker.try_send(message())));
    }
}

fn is_full<T>(sent: &Result<(), TrySendError<T>>) -> bool {
    matches!(sent, Err(TrySendError::Full(_)))
}

/// Announces to the other daemons that this one is leaving, and waits for requests in progress.
///
/// The wait ends early at the stop limit, and soon after a second signal other than `SIGHUP`.
fn stop_gracefully(
    context: &Context,
    stop: &Sender<()>,
    threads: Threads,
    mut signals: Signals,
) -> StopOutcome {
    let Threads { workers, messages, .. } = threads;
    let schedule = StopSchedule::new(Instant::now(), context.settings.stop_limit());
    let running = || context.connections.load(Ordering::Relaxed);
    info!("planned stop begun with {} open connections", running());
    record_event(context, Event::StopBegun { running: running() });
    let control = Some(context.control.clone());
    let mut unsent = StopMessages { schedule, control, workers: messages.clone() };
    unsent.deliver();
    stop.close();
    let mut is_forced = false;
    while !workers.iter().all(JoinHandle::is_finished) {
        let signal = future::block_on(future::poll_once(signals.next()));
        if !is_forced && signal.is_some_and(|signal| !matches!(signal, Some(Ok(Signal::Hup)))) {
            is_forced = true;
            unsent.schedule = StopSchedule::forced(Instant::now());
            unsent.workers.clone_from(&messages);
        }
        unsent.deliver();
        if Instant::now() > unsent.schedule.ends_at() {
            warn!("planned stop ended with {} connections still open", running());
            record_event(context, Event::StopEnded { cut: running() });
            return StopOutcome::Interrupted;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let cut = workers.into_iter().map(|worker| worker.join().unwrap_or_default()).sum();
    record_event(context, Event::StopEnded { cut });
    info!("planned stop ended with all connections closed, {cut} requests cut");
    if cut == 0 { StopOutcome::Complete } else { StopOutcome::Interrupted }
}

fn record_event(context: &Context, event: Event) {
    let stamp = Stamp { micros: SystemClock.wall(), count: 0 };
    context.telemetry.send(Batch { request: None, events: vec![(stamp, event)] });
}
