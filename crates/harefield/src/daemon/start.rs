//! Starting a daemon and conducting its planned stop.

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
use super::edge::Edge;
use super::edge::OwnEdge;
use super::edge::StoreEdge;
use super::operators;
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
use crate::domain::once::Ledger;
use crate::domain::time::millis;
use crate::engine::Shared;
use crate::engine::ToControl;
use crate::memory::Memory;
use crate::ports::Clock;
use crate::telemetry;
use crate::telemetry::Batch;
use crate::telemetry::Board;
use crate::telemetry::Telemetry;

/// How many connections may be on their way to one worker.
const ARRIVALS: usize = 1024;

/// How many messages may be on their way to one worker.
const MESSAGES: usize = 4096;

/// How many messages may be on their way to the control duty.
const INBOX: usize = 4096;

/// How often the main thread looks whether the workers have ended.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("{}: {}: {address}: {source}", Code::BindFailed, Code::BindFailed.text())]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The system lacks something else that is needed.
    #[error("{}: {what}: {source}", Code::SettingsUnreadable)]
    System {
        /// What is lacking.
        what: String,
        /// Why.
        source: std::io::Error,
    },
}

/// How a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Nothing was cut.
    Complete,
    /// The wait was over, or a second signal came, with requests in progress.
    Interrupted,
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs a daemon until a planned stop has ended; `ready` is told its addresses.
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
        callers: local(&listeners.callers)?,
        peers: local(&listeners.peers)?,
        operators: local(&listeners.operators)?,
    };
    let host: HostId = settings.listen.known_as.unwrap_or(addresses.peers).to_string().into();
    logs::start(settings.log.level, Arc::clone(&host))
        .unwrap_or_else(|_started| warn!("logging was started before"));
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = signals.map_err(|source| DaemonError::System { what: "signals".to_owned(), source })?;
    let (stop_sender, stop) = async_channel::bounded(1);
    let (control, inbox) = async_channel::bounded(INBOX);
    let (telemetry, batches) = telemetry::ring();
    let context = make_context(settings, addresses, host, stop, control, telemetry)?;
    let workers = match context.settings.platform.kind {
        PlatformKind::Own => start_threads::<OwnEdge>(&context, listeners, inbox, batches)?,
        PlatformKind::Store => start_threads::<StoreEdge>(&context, listeners, inbox, batches)?,
    };
    note(&context, Event::Started { version: env!("CARGO_PKG_VERSION").to_owned() });
    ready(&addresses);
    info!("ready: callers {}, peers {}", addresses.callers, addresses.peers);
    future::block_on(await_stop(&context, &mut signals));
    Ok(conduct_stop(&context, &stop_sender, &workers, signals))
}

/// Waits for a planned stop; takes changed settings meanwhile.
async fn await_stop(context: &Context, signals: &mut Signals) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        reload(context);
    }
}

/// Takes what may change while a daemon runs: the daemons to ask.
fn reload(context: &Context) {
    let Some(path) = &context.settings.source else {
        return;
    };
    match Settings::load(path) {
        Ok(settings) => {
            let seeds: Vec<HostId> =
                settings.peers.seeds.iter().map(|seed| seed.to_string().into()).collect();
            note(context, Event::Reloaded { seeds: seeds.len() });
            drop(context.control.try_send(ToControl::Seeds(seeds)));
        }
        Err(error) => warn!("the changed settings are not valid and the old ones stay: {error}"),
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).map_err(|source| DaemonError::Bind { address, source })
}

fn local(listener: &TcpListener) -> Result<SocketAddr, DaemonError> {
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

/// Makes an incarnation that is later than earlier ones of the same host, and
/// unlike any other.
fn new_incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (millis(since) << RANDOM_BITS) | u64::from(rand::random::<u32>() >> (u32::BITS - RANDOM_BITS))
}

/// Starts every duty's thread; returns those that a planned stop waits for.
fn start_threads<E: Edge>(
    context: &Context,
    listeners: Listeners,
    inbox: Receiver<ToControl>,
    batches: Receiver<Batch>,
) -> Result<Vec<JoinHandle<()>>, DaemonError> {
    let token = read_token(context.settings.events.token_file.as_deref())
        .map_err(|source| DaemonError::System { what: "events.token-file".to_owned(), source })?;
    let (board, telemetry) = (Arc::clone(&context.board), context.telemetry.clone());
    spawn("telemetry", move || {
        future::block_on(telemetry::run(batches, telemetry, board));
    })?;
    let own = context.clone();
    let listener = listeners.operators;
    spawn("operators", move || {
        operators::run(&own, listener, token.as_ref());
    })?;
    let mut waited = Vec::new();
    let mut arrivals = Vec::new();
    let mut messages = Vec::new();
    for number in 0..context.settings.limits.workers {
        let (arrived, connections) = async_channel::bounded(ARRIVALS);
        let (message, heard) = async_channel::bounded(MESSAGES);
        arrivals.push(arrived);
        messages.push(message);
        let own = context.clone();
        let name = format!("worker-{number}");
        waited.push(spawn(&name, move || {
            threads::run_worker::<E>(&own, number, &connections, heard);
        })?);
    }
    let (joined, wait) = async_channel::bounded(1);
    let own = context.clone();
    spawn("control", move || {
        threads::run_control::<E>(&own, messages, inbox, joined);
    })?;
    let own = context.clone();
    let (callers, peers) = (listeners.callers, listeners.peers);
    let (open, opened) = async_channel::bounded::<()>(1);
    spawn("accept", move || {
        accept::run(&own, callers, peers, &arrivals, &opened);
    })?;
    let _ = future::block_on(wait.recv());
    open.close();
    Ok(waited)
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, DaemonError> {
    let built = std::thread::Builder::new().name(name.to_owned()).spawn(body);
    built.map_err(|source| DaemonError::System { what: format!("thread {name}"), source })
}

/// Tells everyone that the daemon is leaving, and waits for requests in
/// progress; a second signal ends the wait.
fn conduct_stop(
    context: &Context,
    stop: &Sender<()>,
    workers: &[JoinHandle<()>],
    mut signals: Signals,
) -> StopOutcome {
    let begun = Instant::now();
    let running = || context.connections.load(Ordering::Relaxed);
    info!("a planned stop begins with {} connections", running());
    note(context, Event::StopBegun { running: running() });
    drop(context.control.try_send(ToControl::Stop));
    stop.close();
    let limit = context.settings.stop_limit();
    let ended = |workers: &[JoinHandle<()>]| workers.iter().all(JoinHandle::is_finished);
    while !ended(workers) {
        let signal = future::block_on(future::poll_once(signals.next()));
        let again = signal.is_some_and(|signal| !matches!(signal, Some(Ok(Signal::Hup))));
        if again || begun.elapsed() > limit {
            warn!("the stop ends with {} connections open", running());
            note(context, Event::StopEnded { cut: running() });
            return StopOutcome::Interrupted;
        }
        std::thread::sleep(LOOK_EVERY);
    }
    note(context, Event::StopEnded { cut: 0 });
    info!("the stop ends with nothing cut");
    StopOutcome::Complete
}

fn note(context: &Context, event: Event) {
    let stamp = Stamp { micros: SystemClock.wall(), count: 0 };
    context.telemetry.send(Batch { request: None, events: vec![(stamp, event)] });
}
