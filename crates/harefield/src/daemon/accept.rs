//! The accept thread: accepts connections and distributes them among the workers in turn.

use std::cell::Cell;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future;
use log::debug;
use log::warn;

use super::context::AcceptedConnection;
use super::context::Context;
use super::context::Side;
use crate::domain::code::Code;
use crate::domain::outcome::Answer;

/// The pause after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How many connections are refused with an answer at the same time.
const MAX_REFUSALS: usize = 256;

/// How long answering a refused connection may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// After how long a caller whose connection was refused may retry, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Accepts connections until the linger time of a planned stop is over.
///
/// Callers' connections are accepted once the daemon has joined, peers' connections from the
/// start, so that daemons that are joining at the same time reach each other.
pub(super) fn run(
    context: &Context,
    callers: TcpListener,
    peers: TcpListener,
    workers: &[Sender<AcceptedConnection>],
    joined: &Receiver<()>,
) {
    let executor = LocalExecutor::new();
    let dispatcher = Dispatcher { context, executor: &executor, workers, refusals: Rc::default() };
    let stopping = async {
        let _ = context.stop.recv().await;
        Timer::after(context.linger()).await;
    };
    let callers = async {
        let _ = joined.recv().await;
        dispatcher.accept_from(callers, Side::Callers).await;
    };
    let accepting = future::zip(callers, dispatcher.accept_from(peers, Side::Peers));
    let both = async {
        accepting.await;
    };
    future::block_on(executor.run(both.or(stopping)));
    for worker in workers {
        worker.close();
    }
}

/// Passes connections to the workers, or refuses them.
struct Dispatcher<'a> {
    context: &'a Context,
    executor: &'a LocalExecutor<'static>,
    workers: &'a [Sender<AcceptedConnection>],
    refusals: Rc<Cell<usize>>,
}

impl Dispatcher<'_> {
    async fn accept_from(&self, listener: TcpListener, side: Side) {
        let listener = match Async::new(listener) {
            Ok(listener) => listener,
            Err(error) => {
                warn!("cannot listen for {side:?}: {error}");
                return;
            }
        };
        let mut turn: usize = 0;
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    debug!("{side:?} connection from {from}");
                    turn = turn.wrapping_add(1);
                    self.dispatch(stream, side, turn);
                }
                Err(error) => {
                    warn!("cannot accept a connection: {error}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn dispatch(&self, stream: Async<TcpStream>, side: Side, turn: usize) {
        let Ok(stream) = stream.into_inner() else { return };
        let connections = &self.context.connections;
        let open = connections.load(Ordering::Relaxed);
        if side == Side::Callers && open >= self.context.settings.limits.connections {
            self.refuse(stream);
            return;
        }
        connections.fetch_add(1, Ordering::Relaxed);
        let worker = &self.workers[turn % self.workers.len()];
        if let Err(error) = worker.try_send(AcceptedConnection { stream, side }) {
            connections.fetch_sub(1, Ordering::Relaxed);
            self.refuse(error.into_inner().stream);
        }
    }

    /// Refuses a connection with an answer; while [`MAX_REFUSALS`] are being answered, only closes it.
    fn refuse(&self, stream: TcpStream) {
        if self.refusals.get() >= MAX_REFUSALS {
            return;
        }
        self.refusals.set(self.refusals.get() + 1);
        let refusals = Rc::clone(&self.refusals);
        let refusal = async move {
            if let Err(error) = refuse(stream).or(refusal_timeout()).await {
                debug!("cannot answer a refused connection: {error}");
            }
            refusals.set(refusals.get() - 1);
        };
        self.executor.spawn(refusal).detach();
    }
}

async fn refusal_timeout() -> std::io::Result<()> {
    Timer::after(REFUSAL_TIMEOUT).await;
    Ok(())
}

/// Answers that there are too many connections, without parsing the request.
///
/// Waits for the first bytes of a request, since an answer that is sent before its request
/// belongs to none. Reads the rest, too: closing a socket with unread bytes resets the
/// connection, and the answer may be lost.
async fn refuse(stream: TcpStream) -> std::io::Result<()> {
    let answer = Answer::not_run("", Code::TooManyConnections, Some(RETRY_AFTER));
    let body = serde_json::to_string(&answer).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: 1\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = Async::new(stream)?;
    let mut unread = [0_u8; 4096];
    if stream.read(&mut unread).await? == 0 {
        return Ok(());
    }
    stream.write_all((head + &body).as_bytes()).await?;
    stream.get_ref().shutdown(Shutdown::Write)?;
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}
