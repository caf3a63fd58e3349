//! Serving the connections of one listener on one thread's executor.

use std::net::TcpStream;
use std::pin::pin;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

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

/// Serves one connection until its caller, a limit or a planned stop ends it.
///
/// A planned stop lets the request in progress end, then closes the
/// connection; an idle one is closed after `linger`.
pub async fn serve<F, R>(
    stream: Async<TcpStream>,
    limits: ServerLimits,
    stop: Stop,
    linger: Duration,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Full<Bytes>>>,
{
    drop(stream.get_ref().set_nodelay(true));
    let answer = |request| async {
        let reply = handle(request).await;
        Ok::<_, std::convert::Infallible>(reply)
    };
    let mut builder = Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(limits.head_time).max_buf_size(limits.head_bytes);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(stream), service_fn(answer)));
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
