//! The accept thread: takes connections and deals them to the workers in turn.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Async;
use async_io::Timer;
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
    let stopping = async {
        let _ = context.stop.recv().await;
        Timer::after(context.linger()).await;
    };
    let callers = async {
        let _ = joined.recv().await;
        take(context, callers, Side::Callers, workers).await;
    };
    let taking = future::zip(callers, take(context, peers, Side::Peers, workers));
    let both = async {
        taking.await;
    };
    future::block_on(both.or(stopping));
    for worker in workers {
        worker.close();
    }
}

async fn take(context: &Context, listener: TcpListener, side: Side, workers: &[Sender<Arrived>]) {
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
                deal(context, stream, side, &workers[turn % workers.len()]);
            }
            Err(error) => {
                warn!("cannot take a connection: {error}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

fn deal(context: &Context, stream: Async<TcpStream>, side: Side, worker: &Sender<Arrived>) {
    let Ok(stream) = stream.into_inner() else {
        return;
    };
    let open = context.connections.load(Ordering::Relaxed);
    if side == Side::Callers && open >= context.settings.limits.connections {
        refuse(stream);
        return;
    }
    context.connections.fetch_add(1, Ordering::Relaxed);
    if let Err(error) = worker.try_send(Arrived { stream, side }) {
        context.connections.fetch_sub(1, Ordering::Relaxed);
        refuse(error.into_inner().stream);
    }
}

/// Answers without reading: one write that a fresh socket takes whole.
fn refuse(mut stream: TcpStream) {
    let answer = Answer::not_run("", Code::TooManyConnections, Some(COME_BACK));
    let body = serde_json::to_string(&answer).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: 1\r\nconnection: close\r\n\r\n",
        body.len()
    );
    if let Err(error) = stream.write_all((head + &body).as_bytes()) {
        debug!("a refused connection was gone: {error}");
    }
}
