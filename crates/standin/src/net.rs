//! HTTP for the stand-ins: a server loop, and a client with a connection pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

/// The sending half of a connection.
type Sender = SendRequest<Full<Bytes>>;

/// A reply whose body is complete from the start.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Reads the head of one request; none if the connection ends before. The peer sends nothing behind
/// it until it is answered.
pub(crate) fn read_head(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    let mut buffer = [0; 4096];
    while !head.windows(4).any(|four| four == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        head.extend_from_slice(&buffer[..count]);
    }
    Some(head)
}

/// Builds a JSON reply.
pub(crate) fn json(status: u16, value: &serde_json::Value) -> Reply {
    json_text(status, value.to_string())
}

/// Builds a reply of JSON text, which isn't checked.
pub(crate) fn json_text(status: u16, text: String) -> Reply {
    let mut reply = Response::new(Full::from(Bytes::from(text)));
    *reply.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    reply
}

/// Serves a listener on its own thread until the process ends. The handler is made on that
/// thread, since it need not be `Send`.
///
/// # Panics
///
/// Panics if the thread cannot be started.
pub(crate) fn serve_on_thread<M, F, R>(listener: TcpListener, make: M)
where
    M: FnOnce() -> F + Send + 'static,
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let body = move || {
        let executor: Rc<LocalExecutor<'static>> = Rc::default();
        let handle = Rc::new(make());
        async_io::block_on(executor.run(serve(&executor, listener, handle)));
    };
    std::thread::Builder::new().name("standin".to_owned()).spawn(body).expect("a thread can be started");
}

/// Accepts and serves connections on an executor, without end.
pub(crate) async fn serve<F, R>(executor: &Rc<LocalExecutor<'static>>, listener: TcpListener, handle: Rc<F>)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(5)).await;
            continue;
        };
        let handle = Rc::clone(&handle);
        let connection = async move {
            let service = |request| {
                let reply = handle(request);
                async { Ok::<_, std::convert::Infallible>(reply.await) }
            };
            let builder = hyper::server::conn::http1::Builder::new();
            drop(builder.serve_connection(FuturesIo::new(stream), service_fn(service)).await);
        };
        executor.spawn(connection).detach();
    }
}

/// An HTTP client that reuses connections; its clones share one pool, on one thread.
#[derive(Clone, Debug, Default)]
pub struct Client {
    executor: Rc<LocalExecutor<'static>>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Client {
    /// Creates a client that runs its connections on `executor`.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { executor, idle: Rc::default() }
    }

    /// Sends a request and returns the status and body, `None` if it failed.
    pub async fn send(&self, to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Bytes)> {
        let idle = self.idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
        let mut sender = match idle.filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => self.open(to).await?,
        };
        let request = Request::builder().method(method).uri(path).header("host", to.to_string());
        let request = request.body(Full::from(Bytes::copy_from_slice(body.as_bytes()))).ok()?;
        let reply = sender.send_request(request).await.ok()?;
        let status = reply.status().as_u16();
        let body = reply.into_body().collect().await.ok()?.to_bytes();
        self.idle.borrow_mut().entry(to).or_default().push(sender);
        Some((status, body))
    }

    async fn open(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let stream = Async::<TcpStream>::connect(to).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let (sender, driver) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await.ok()?;
        self.executor.spawn(async move { drop(driver.await) }).detach();
        Some(sender)
    }

    /// Sends one request and blocks until the reply is in; returns `None` if it failed or took
    /// longer than `limit`.
    #[must_use]
    pub fn once(
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Bytes)> {
        let client = Self::default();
        let executor = Rc::clone(&client.executor);
        let expired = async {
            Timer::after(limit).await;
            None
        };
        async_io::block_on(executor.run(client.send(to, method, path, body).or(expired)))
    }
}

/// Binds a listener; port 0 selects a free port.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub(crate) fn bind(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| panic!("cannot listen on {address}: {error}"))
}

/// Returns the address that a listener is bound to.
///
/// # Panics
///
/// Panics if the system does not report it.
pub(crate) fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}
