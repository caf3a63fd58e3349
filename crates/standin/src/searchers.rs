//! Runs hundreds of stand-in searchers in one process, each on its own port.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::future;
use hyper::service::service_fn;
use serde::Serialize;
use smol_hyper::rt::FuturesIo;

use super::behaviour::Behaviour;
use super::net;
use super::searcher::Searcher;

/// Threads that serve the searchers; each searcher stays on one of them.
const THREADS: usize = 4;

/// Counts of one searcher, or sums over all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Shard requests received, also those that were refused.
    pub taken: u64,
    /// Shard requests that were executed.
    pub ran: u64,
    /// Connections accepted.
    pub opened: u64,
    /// Connections accepted above the limit; their requests are refused.
    pub refused_connections: u64,
    /// Connections open now.
    pub open: usize,
}

/// A handle to running searchers, by name.
#[derive(Clone, Debug)]
pub struct Searchers {
    all: Arc<BTreeMap<String, RunningSearcher>>,
}

#[derive(Debug)]
struct RunningSearcher {
    address: SocketAddr,
    searcher: Arc<Searcher>,
}

impl Searchers {
    /// Starts searchers from their names, addresses and behaviour.
    ///
    /// # Panics
    ///
    /// Panics if an address cannot be bound or a thread cannot be started.
    #[must_use]
    pub fn start(specs: Vec<(String, SocketAddr, Behaviour)>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = u64::try_from(since.as_millis()).unwrap_or(0);
        let mut groups: Vec<Vec<(TcpListener, Arc<Searcher>)>> = (0..THREADS).map(|_| Vec::new()).collect();
        let mut all = BTreeMap::new();
        for (number, (name, address, behaviour)) in specs.into_iter().enumerate() {
            let listener = net::bind(address);
            let address = net::local(&listener);
            let searcher = Searcher::new(behaviour, start, u64::try_from(number).unwrap_or(0));
            groups[number % THREADS].push((listener, Arc::clone(&searcher)));
            all.insert(name, RunningSearcher { address, searcher });
        }
        for group in groups {
            let body = move || serve_searchers(group);
            let built = std::thread::Builder::new().name("searchers".to_owned()).spawn(body);
            built.expect("a thread can be started");
        }
        Self { all: Arc::new(all) }
    }

    /// Returns the searchers' names, sorted.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.all.keys().cloned().collect()
    }

    /// Returns the address that a searcher listens on.
    ///
    /// # Panics
    ///
    /// Panics if no searcher has this name.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.all[name].address
    }

    /// Changes a searcher's behaviour; returns whether a searcher has this name.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Behaviour)) -> bool {
        let found = self.all.get(name);
        if let Some(running) = found {
            running.searcher.change(change);
        }
        found.is_some()
    }

    /// Changes the behaviour of every searcher.
    pub fn change_all(&self, change: impl Fn(&mut Behaviour)) {
        for running in self.all.values() {
            running.searcher.change(&change);
        }
    }

    /// Returns the sums of all searchers' counts.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for name in self.all.keys() {
            let counts = self.tally_of(name);
            tally.taken += counts.taken;
            tally.ran += counts.ran;
            tally.opened += counts.opened;
            tally.refused_connections += counts.refused_connections;
            tally.open += counts.open;
        }
        tally
    }

    /// Returns one searcher's counts.
    ///
    /// # Panics
    ///
    /// Panics if no searcher has this name.
    #[must_use]
    pub fn tally_of(&self, name: &str) -> Tally {
        let state = self.all[name].searcher.lock();
        Tally {
            taken: state.counts.taken,
            ran: state.counts.ran,
            opened: state.counts.opened,
            refused_connections: state.counts.refused_connections,
            open: state.open,
        }
    }

    /// Returns when a searcher last received a shard request, `None` if it never did.
    #[must_use]
    pub fn last_taken(&self, name: &str) -> Option<Instant> {
        self.all.get(name).and_then(|running| running.searcher.lock().counts.last_taken)
    }

    /// Returns how often each request ran on each shard, over all searchers, by
    /// `REQUEST SHARD`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for running in self.all.values() {
            for (name, count) in &running.searcher.lock().counts.runs {
                *runs.entry(name.clone()).or_default() += count;
            }
        }
        runs
    }
}

fn serve_searchers(group: Vec<(TcpListener, Arc<Searcher>)>) {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    for (listener, searcher) in group {
        let spawner = Rc::clone(&executor);
        executor.spawn(serve(spawner, listener, searcher)).detach();
    }
    async_io::block_on(executor.run(future::pending::<()>()));
}

async fn serve(executor: Rc<LocalExecutor<'static>>, listener: TcpListener, searcher: Arc<Searcher>) {
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(5)).await;
            continue;
        };
        drop(stream.get_ref().set_nodelay(true));
        executor.spawn(serve_connection(FuturesIo::new(stream), Arc::clone(&searcher))).detach();
    }
}

async fn serve_connection(io: FuturesIo<Async<std::net::TcpStream>>, searcher: Arc<Searcher>) {
    let (over_limit, setup_time) = record_connection(&searcher);
    Timer::after(setup_time).await;
    let answer = |request| searcher.answer(request, over_limit);
    let builder = hyper::server::conn::http1::Builder::new();
    drop(builder.serve_connection(io, service_fn(answer)).await);
    searcher.lock().open -= 1;
}

/// Counts a connection; returns whether it is above the limit, and how long it takes to set up.
fn record_connection(searcher: &Searcher) -> (bool, Duration) {
    let mut state = searcher.lock();
    let over_limit = state.open >= state.behaviour.connections;
    state.open += 1;
    state.counts.opened += 1;
    state.counts.refused_connections += u64::from(over_limit);
    (over_limit, Duration::from_secs_f64(state.behaviour.connect_ms / 1000.0))
}
