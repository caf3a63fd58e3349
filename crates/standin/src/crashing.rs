//! Upstreams that crash while they run certain requests, and restart after a while.

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

/// The one record that each upstream holds.
const RECORD: [u8; 16] = [7; 16];

/// The settings of a crashing upstream.
#[derive(Clone, Debug)]
pub struct CrashingSpec {
    /// Its name. After a restart a number is appended, unless `keeps_name` is set.
    pub id: String,
    /// The service whose records it holds.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The service time of a request.
    pub work: Duration,
    /// How long after it started to run a fatal request it crashes, also if its caller has left by
    /// then.
    pub crash_after: Duration,
    /// Whether it stays silent on a fatal request instead, and does not crash.
    pub silent: bool,
    /// The percentage of requests that it does not run and answers with its own failure.
    pub failing_percent: usize,
    /// How long it stays down after a crash.
    pub downtime: Duration,
    /// Whether it restarts under the same name.
    pub keeps_name: bool,
}

/// A request that an upstream started to run.
#[derive(Clone, Debug)]
pub struct StartedRequest {
    /// When it was started.
    pub at: Instant,
    /// The attempt id that it came with.
    pub id: String,
    /// The path and query string.
    pub target: String,
    /// The upstream's name at that time.
    pub upstream: String,
}

#[derive(Debug, Default)]
struct Shared {
    started: Vec<StartedRequest>,
    crash_times: Vec<Instant>,
    received: usize,
}

/// A handle to an upstream that can crash.
#[derive(Clone, Debug)]
pub struct CrashingSearcher {
    shared: Arc<Mutex<Shared>>,
    crash: Sender<()>,
}

impl CrashingSearcher {
    /// Starts an upstream on its own thread. At each start it writes its entry to `store`; it
    /// deletes the entry only at the end of the downtime.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be started.
    #[must_use]
    pub fn start(spec: CrashingSpec, store: SiteStore) -> Self {
        let (crash, crashes) = async_channel::unbounded();
        let searcher = Self { shared: Arc::default(), crash };
        let running = searcher.clone();
        let body = move || running.run(&spec, &store, &crashes);
        std::thread::Builder::new().name("mortal".to_owned()).spawn(body).expect("a thread can be started");
        searcher
    }

    /// Crashes it at once, with all requests that it runs.
    pub fn crash(&self) {
        let _ = self.crash.try_send(()).is_ok();
    }

    /// Returns the requests that it started, in order, over all restarts.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        self.lock().started.clone()
    }

    /// Returns when it crashed, in order.
    #[must_use]
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock().crash_times.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves requests until a crash, stays down, and starts again, without end.
    fn run(&self, spec: &CrashingSpec, store: &SiteStore, crashes: &Receiver<()>) {
        for restarts in 0.. {
            let id = if spec.keeps_name || restarts == 0 {
                spec.id.clone()
            } else {
                format!("{}-{restarts}", spec.id)
            };
            let key = format!("servers/{id}");
            let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
            let entry = upstream_entry(net::local(&listener), &spec.zone, &spec.service, "ready");
            let executor: Rc<LocalExecutor<'static>> = Rc::default();
            let (searcher, name, behaviour) = (self.clone(), id.clone(), Rc::new(spec.clone()));
            let handle = Rc::new(move |request: Request<Incoming>| {
                let (searcher, name, behaviour) = (searcher.clone(), name.clone(), Rc::clone(&behaviour));
                async move { searcher.answer(&request, name, &behaviour).await }
            });
            store.put(&key, Some(&entry));
            let serving = async { net::serve(&executor, listener, handle).await };
            let crashing = async { crashes.recv().await.unwrap_or_default() };
            async_io::block_on(executor.run(serving.or(crashing)));
            // Dropping the executor ends its tasks, which closes the connections.
            drop(executor);
            self.lock().crash_times.push(Instant::now());
            std::thread::sleep(spec.downtime);
            while crashes.try_recv().is_ok() {}
            store.put(&key, None);
        }
    }

    async fn answer(&self, request: &Request<Incoming>, name: String, spec: &CrashingSpec) -> Reply {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        if header("expect-instance") != name {
            return reply(StatusCode::MISDIRECTED_REQUEST, "instance-id", &name);
        }
        let (id, target) = (header("attempt-id"), request.uri().to_string());
        let fatal = target.contains(FATAL);
        let seal = format!("{name}.{id}");
        if self.fails_next(spec.failing_percent) {
            return reply(StatusCode::INTERNAL_SERVER_ERROR, "server-seal", &seal);
        }
        self.lock().started.push(StartedRequest { at: Instant::now(), id, target, upstream: name });
        if fatal && !spec.silent {
            self.crash_later(spec.crash_after);
        }
        if fatal {
            return std::future::pending().await;
        }
        Timer::after(spec.work).await;
        reply(StatusCode::OK, "server-seal", &seal)
    }

    /// Returns whether the next request fails; the failures are spread evenly.
    fn fails_next(&self, percent: usize) -> bool {
        let mut shared = self.lock();
        let failures = |received: usize| received * percent / 100;
        shared.received += 1;
        failures(shared.received) > failures(shared.received - 1)
    }

    /// Crashes it after a delay, whatever becomes of the request meanwhile.
    fn crash_later(&self, delay: Duration) {
        let searcher = self.clone();
        let body = move || {
            std::thread::sleep(delay);
            searcher.crash();
        };
        std::thread::Builder::new().name("crash".to_owned()).spawn(body).expect("a thread can be started");
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
