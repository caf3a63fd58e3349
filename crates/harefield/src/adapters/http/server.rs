//! Serving the connections of one listener on one thread's executor.

use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use log::debug;
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol_hyper::rt::SmolTimer;

use super::stall_guard::StallGuardedStream;
use crate::memory::Memory;

/// Bounds on what one connection may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// How long a head may take, idle time between requests included.
    pub head_time: Duration,
}

/// Tells connections that a planned stop has begun; closed when it has.
pub type Stop = async_channel::Receiver<()>;

/// Bytes that the system holds of what is written to one connection: some round trips' worth
/// between regions. Without a bound it takes megabytes for a peer that does not read.
const SEND_BUFFER: usize = 128 << 10;

/// Sets a connection's options; one that refuses them is served all the same.
fn prepare(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a connection sends small messages late: {error}");
    }
    if let Err(error) = set_socket_send_buffer_size(stream, SEND_BUFFER) {
        debug!("what the system holds of a connection is not bound: {error}");
    }
}

/// Serves one connection until its caller, a limit or a planned stop ends it.
///
/// A planned stop lets the request in progress end, then closes the
/// connection; an idle one is closed after `linger`.
///
/// A connection whose peer takes nothing for too long, or that the account of `memory` ends,
/// is closed with what it holds.
pub async fn serve<F, R>(
    stream: Async<TcpStream>,
    limits: ServerLimits,
    (stop, linger): (Stop, Duration),
    memory: &Memory,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Full<Bytes>>>,
{
    prepare(stream.get_ref());
    let writer = Rc::new(memory.writer());
    let stream = StallGuardedStream::new(stream, memory.stall()).with_writer(Rc::clone(&writer));
    let answer = |request| async {
        let reply = handle(request).await;
        let size = reply.body().size_hint().exact().unwrap_or(0);
        writer.begin(usize::try_from(size).unwrap_or(usize::MAX));
        Ok::<_, std::convert::Infallible>(reply)
    };
    let mut builder = Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(limits.head_time).max_buf_size(limits.head_bytes);
    let mut connection = pin!(builder.serve_connection(stream, service_fn(answer)));
    let stopping = async {
        let _ = stop.recv().await;
        Timer::after(linger).await;
    };
    let ended = future::or(
        async {
            drop(connection.as_mut().await);
            true
        },
        async {
            stopping.await;
            false
        },
    );
    if !ended.boxed_local().await {
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}
