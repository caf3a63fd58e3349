//! Serves the connections of one listener on one thread's executor.

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

/// Limits on one connection.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// How long receiving a head may take, including idle time between requests.
    pub head_time: Duration,
}

/// Signals a planned stop to connections: the channel is closed when it begins.
pub type Stop = async_channel::Receiver<()>;

/// The size of the kernel's send buffer per connection, in bytes: enough for a few round trips
/// between regions. Without this bound the kernel buffers megabytes for a peer that doesn't read.
const SEND_BUFFER: usize = 128 << 10;

/// Sets a connection's socket options. A connection is served even if they can't be set.
fn set_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("cannot disable Nagle's algorithm for a connection: {error}");
    }
    if let Err(error) = set_socket_send_buffer_size(stream, SEND_BUFFER) {
        debug!("cannot limit the send buffer of a connection: {error}");
    }
}

/// Serves one connection until its caller, a limit or a planned stop ends it.
///
/// When a planned stop begins, the connection is still served for `linger`. Then an idle connection
/// is closed, and one with a request in progress is closed after its reply.
///
/// A connection is also closed, with everything it holds, if its peer accepts no data for too long,
/// or if memory accounting evicts it.
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
    set_options(stream.get_ref());
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
