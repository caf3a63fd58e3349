//! An HTTP client for single connections, which sends each request only once.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use log::debug;

use super::body;
use super::body::BodyError;
use super::progress::Progress;
use super::reply_meter::MeteredStream;
use super::reply_meter::READ_BUFFER;
use super::reply_meter::ReplyBody;
use super::reply_meter::ReplyMeter;
use super::stall_guard::StallGuardedStream;
use crate::domain::reply::is_final;

/// How long an upstream, the platform or another daemon may accept none of the data sent to it. A
/// peer that reads accepts it within a few round trips.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// The reason why a request got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No byte of the request was written.
    #[error("nothing was sent")]
    NotSent,
    /// The request was written, but no complete reply was received.
    #[error("the reply was lost")]
    Lost,
    /// The reply exceeds the limit on its size.
    #[error("the reply is too large")]
    TooLarge,
}

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<ReplyMeter>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.meter.report_incomplete();
    }
}

impl Connection {
    /// Returns whether the connection can carry a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection can carry no more requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its reply. After an error the connection must not
    /// be used again.
    ///
    /// # Errors
    ///
    /// Returns the request if no byte of it was written, or `None` if it may have been sent. A
    /// status that doesn't end a reply counts as a lost reply.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReplyBody>, Option<Request<Full<Bytes>>>> {
        self.meter.begin();
        let sent = self.sender.try_send_request(request).await;
        let reply = sent.map_err(|mut error| error.take_message())?;
        let status = reply.status().as_u16();
        if !is_final(status) {
            debug!("{} replied with the status {status}", self.meter.address());
            return Err(None);
        }
        Ok(reply.map(|incoming| ReplyBody::new(incoming, Rc::clone(&self.meter))))
    }
}

/// Opens a connection within `limit`.
///
/// # Errors
///
/// Returns `NotSent` if it could not be opened.
pub async fn connect(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
    limit: Duration,
) -> Result<Connection, ClientError> {
    let opened = async { Async::<TcpStream>::connect(address).await.map_err(|_error| ClientError::NotSent) };
    let stream = opened.or(expire(limit, ClientError::NotSent)).await?;
    stream.get_ref().set_nodelay(true).map_err(|_error| ClientError::NotSent)?;
    let meter = Rc::new(ReplyMeter::new(address));
    let stream = StallGuardedStream::new(MeteredStream::new(stream, Rc::clone(&meter)), STALL_LIMIT);
    let handshake = Builder::new().max_buf_size(READ_BUFFER).handshake(stream).await;
    let (sender, driver) = handshake.map_err(|_error| ClientError::NotSent)?;
    executor.spawn(async move { drop(driver.await) }).detach();
    Ok(Connection { sender, meter })
}

/// Opens a connection, sends one request and reads its complete reply. `limit` applies to opening
/// the connection and again to the exchange.
///
/// # Errors
///
/// Returns whether the request had been written when it failed.
pub async fn exchange(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    limit: Duration,
) -> Result<Response<Bytes>, ClientError> {
    let mut connection = connect(executor, address, limit).await?;
    let exchange = async {
        let (head, incoming) = send(&mut connection, request).await?.into_parts();
        let whole = body::read(incoming, max_bytes).await.map_err(incomplete)?;
        Ok(Response::from_parts(head, whole))
    };
    exchange.or(expire(limit, ClientError::Lost)).await
}

/// Does the same for a reply that may be large: `limit` applies to its head, and `stall_limit` to
/// each interval in which its body makes no progress.
///
/// # Errors
///
/// Returns whether the request had been written when it failed.
pub async fn exchange_large(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    limit: Duration,
    stall_limit: Duration,
) -> Result<Response<Bytes>, ClientError> {
    let mut connection = connect(executor, address, limit).await?;
    let sent = send(&mut connection, request).or(expire(limit, ClientError::Lost));
    let (head, incoming) = sent.await?.into_parts();
    let progress = Progress::default();
    let reading = body::read(progress.observe(incoming), max_bytes);
    let whole = reading.or(progress.stalled(stall_limit)).await.map_err(incomplete)?;
    Ok(Response::from_parts(head, whole))
}

fn incomplete(error: BodyError) -> ClientError {
    match error {
        BodyError::TooLarge => ClientError::TooLarge,
        BodyError::NoRoom | BodyError::CutShort => ClientError::Lost,
    }
}

async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<ReplyBody>, ClientError> {
    connection.send(request).await.map_err(|unsent| match unsent {
        Some(_) => ClientError::NotSent,
        None => ClientError::Lost,
    })
}

/// Waits for a time limit, and fails with an error.
///
/// # Errors
///
/// Always returns `error`.
pub async fn expire<T, E>(limit: Duration, error: E) -> Result<T, E> {
    Timer::after(limit).await;
    Err(error)
}
