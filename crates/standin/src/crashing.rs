//! Upstreams that end while they run certain requests, and are back after a while.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;

use super::net;
use super::net::Reply;
use super::signed::FATAL;
use super::signed::upstream_entry;
use super::site_store::SiteStore;

/// The record that each of them holds: one byte, repeated.
const RECORD: [u8; 16] = [7; 16];

/// What an upstream is started with.
#[derive(Clone, Debug)]
pub struct CrashingSpec {
    /// Its name; the next life's has a number behind it.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// How long it works on a request.
    pub work: Duration,
    /// How long it is gone once it has ended.
    pub downtime: Duration,
    /// Whether it is back under the name that it had.
    pub keeps_name: bool,
}

/// A request that an upstream began.
#[derive(Clone, Debug)]
pub struct StartedRequest {
    /// When.
    pub at: Instant,
    /// The caller's id of it.
    pub id: String,
    /// Its path and query string.
    pub target: String,
    /// The upstream.
    pub upstream: String,
}

#[derive(Debug, Default)]
struct Shared {
    begun: Vec<StartedRequest>,
    ends: Vec<Instant>,
}

/// An upstream that may end.
#[derive(Clone, Debug)]
pub struct CrashingSearcher {
    shared: Arc<Mutex<Shared>>,
    end: Sender<()>,
}

impl CrashingSearcher {
    /// Starts an upstream on a thread of its own, and lists it in a store.
    ///
    /// # Panics
    ///
    /// Panics where the thread cannot be started.
    #[must_use]
    pub fn start(spec: CrashingSpec, store: SiteStore) -> Self {
        let (end, ended) = async_channel::unbounded();
        let own = Self { shared: Arc::default(), end };
        let living = own.clone();
        let body = move || living.live(&spec, &store, &ended);
        std::thread::Builder::new().name("mortal".to_owned()).spawn(body).expect("a thread can be started");
        own
    }

    /// Ends it at once, whatever it runs.
    pub fn crash(&self) {
        let _ = self.end.try_send(()).is_ok();
    }

    /// Returns what it began, in order, over all its lives.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        self.lock().begun.clone()
    }

    /// Returns when it ended.
    #[must_use]
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock().ends.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lives again and again.
    fn live(&self, spec: &CrashingSpec, store: &SiteStore, ended: &Receiver<()>) {
        for life in 0.. {
            let id =
                if spec.keeps_name || life == 0 { spec.id.clone() } else { format!("{}-{life}", spec.id) };
            let key = format!("servers/{id}");
            let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
            let entry = upstream_entry(net::local(&listener), &spec.zone, &spec.service, "ready");
            let executor: Rc<LocalExecutor<'static>> = Rc::default();
            let (searcher, name, work) = (self.clone(), id.clone(), spec.work);
            let handle = Rc::new(move |request: Request<Incoming>| {
                let (searcher, name) = (searcher.clone(), name.clone());
                async move { searcher.answer(&request, name, work).await }
            });
            store.put(&key, Some(&entry));
            let serving = async { net::serve(&executor, listener, handle).await };
            let ending = async { ended.recv().await.unwrap_or_default() };
            async_io::block_on(executor.run(serving.or(ending)));
            // Its connections close with their tasks.
            drop(executor);
            self.lock().ends.push(Instant::now());
            std::thread::sleep(spec.downtime);
            while ended.try_recv().is_ok() {}
            store.put(&key, None);
        }
    }

    async fn answer(&self, request: &Request<Incoming>, name: String, work: Duration) -> Reply {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        if header("expect-instance") != name {
            return reply(StatusCode::MISDIRECTED_REQUEST, "instance-id", &name);
        }
        let (id, target) = (header("attempt-id"), request.uri().to_string());
        let fatal = target.contains(FATAL);
        let seal = format!("{name}.{id}");
        self.lock().begun.push(StartedRequest { at: Instant::now(), id, target, upstream: name });
        Timer::after(work).await;
        if fatal {
            self.crash();
            return std::future::pending().await;
        }
        reply(StatusCode::OK, "server-seal", &seal)
    }
}

fn reply(status: StatusCode, name: &'static str, value: &str) -> Reply {
    let mut reply = Response::new(Full::from(Bytes::from_static(&RECORD)));
    *reply.status_mut() = status;
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
    reply
}
