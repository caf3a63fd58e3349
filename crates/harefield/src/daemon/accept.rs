//! The accept thread: takes connections and deals them to the workers in turn.

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

use super::context::Arrived;
use super::context::Context;
use super::context::Side;
use crate::domain::code::Code;
use crate::domain::outcome::Answer;

/// The pause after the system had no room for a connection.
const PAUSE: Duration = Duration::from_millis(20);

/// How many connections are refused with an answer at a time.
const MOST_REFUSING: usize = 256;

/// How long a refusal may take.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// When a caller that found no room may come back, in milliseconds.
const COME_BACK: u64 = 1000;

/// Takes connections until a planned stop has lingered; callers' only once the
/// daemon has joined, peers' from the start, so that joining daemons can meet.
pub(super) fn run(
    context: &Context,
    callers: TcpListener,
    peers: TcpListener,
    workers: &[Sender<Arrived>],
    joined: &Receiver<()>,
) {
    let executor = LocalExecutor::new();
    let dealer = Dealer { context, executor: &executor, workers, refusing: Rc::default() };
    let stopping = async {
        let _ = context.stop.recv().await;
        Timer::after(context.linger()).await;
    };
    let callers = async {
        let _ = joined.recv().await;
        dealer.take(callers, Side::Callers).await;
    };
    let taking = future::zip(callers, dealer.take(peers, Side::Peers));
    let both = async {
        taking.await;
    };
    future::block_on(executor.run(both.or(stopping)));
    for worker in workers {
        worker.close();
    }
}

/// Deals connections to the workers, or refuses them.
struct Dealer<'a> {
    context: &'a Context,
    executor: &'a LocalExecutor<'static>,
    workers: &'a [Sender<Arrived>],
    refusing: Rc<Cell<usize>>,
}

impl Dealer<'_> {
    async fn take(&self, listener: TcpListener, side: Side) {
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
                    self.deal(stream, side, turn);
                }
                Err(error) => {
                    warn!("cannot take a connection: {error}");
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    fn deal(&self, stream: Async<TcpStream>, side: Side, turn: usize) {
        let Ok(stream) = stream.into_inner() else { return };
        let connections = &self.context.connections;
        let open = connections.load(Ordering::Relaxed);
        if side == Side::Callers && open >= self.context.settings.limits.connections {
            self.refuse(stream);
            return;
        }
        connections.fetch_add(1, Ordering::Relaxed);
        let worker = &self.workers[turn % self.workers.len()];
        if let Err(error) = worker.try_send(Arrived { stream, side }) {
            connections.fetch_sub(1, Ordering::Relaxed);
            self.refuse(error.into_inner().stream);
        }
    }

    /// Refuses a connection; beyond a number of them it is just closed.
    fn refuse(&self, stream: TcpStream) {
        if self.refusing.get() >= MOST_REFUSING {
            return;
        }
        self.refusing.set(self.refusing.get() + 1);
        let refusing = Rc::clone(&self.refusing);
        let refusal = async move {
            if let Err(error) = refuse(stream).or(give_up()).await {
                debug!("a refused connection was gone: {error}");
            }
            refusing.set(refusing.get() - 1);
        };
        self.executor.spawn(refusal).detach();
    }
}

async fn give_up() -> std::io::Result<()> {
    Timer::after(REFUSAL_LIMIT).await;
    Ok(())
}

/// Answers without understanding what was sent, once something was: an answer
/// before its request belongs to none. The rest is read, too: closing a socket
/// with unread bytes would take the answer back.
async fn refuse(stream: TcpStream) -> std::io::Result<()> {
    let answer = Answer::not_run("", Code::TooManyConnections, Some(COME_BACK));
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
