//! Hundreds of stand-in searchers in one process, each on its own port.

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

/// How many threads serve the searchers.
const THREADS: usize = 4;

/// What searchers counted, all together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Requests taken.
    pub taken: u64,
    /// Requests run.
    pub ran: u64,
    /// Connections opened.
    pub opened: u64,
    /// Connections that were one too many.
    pub refused_connections: u64,
    /// Connections open now.
    pub open: usize,
}

/// A group of searchers.
#[derive(Clone, Debug)]
pub struct Searchers {
    all: Arc<BTreeMap<String, Placed>>,
}

#[derive(Debug)]
struct Placed {
    address: SocketAddr,
    searcher: Arc<Searcher>,
}

impl Searchers {
    /// Starts searchers, each at its address, on a few threads.
    ///
    /// # Panics
    ///
    /// Panics where an address cannot be listened on or a thread not started.
    #[must_use]
    pub fn start(specs: Vec<(String, SocketAddr, Behaviour)>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = u64::try_from(since.as_millis()).unwrap_or(0);
        let mut shares: Vec<Vec<(TcpListener, Arc<Searcher>)>> = (0..THREADS).map(|_| Vec::new()).collect();
        let mut all = BTreeMap::new();
        for (number, (name, address, behaviour)) in specs.into_iter().enumerate() {
            let listener = net::bind(address);
            let address = net::local(&listener);
            let searcher = Searcher::new(behaviour, start, u64::try_from(number).unwrap_or(0));
            shares[number % THREADS].push((listener, Arc::clone(&searcher)));
            all.insert(name, Placed { address, searcher });
        }
        for share in shares {
            let body = move || serve_share(share);
            let built = std::thread::Builder::new().name("searchers".to_owned()).spawn(body);
            built.expect("a thread can be started");
        }
        Self { all: Arc::new(all) }
    }

    /// Returns the names, in order.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.all.keys().cloned().collect()
    }

    /// Returns where a searcher listens.
    ///
    /// # Panics
    ///
    /// Panics where there is none of this name.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.all[name].address
    }

    /// Changes how a searcher behaves; returns whether there is one of this name.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Behaviour)) -> bool {
        let found = self.all.get(name);
        if let Some(placed) = found {
            placed.searcher.change(change);
        }
        found.is_some()
    }

    /// Changes how every searcher behaves.
    pub fn change_all(&self, change: impl Fn(&mut Behaviour)) {
        for placed in self.all.values() {
            placed.searcher.change(&change);
        }
    }

    /// Returns what all searchers counted.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for name in self.all.keys() {
            let own = self.tally_of(name);
            tally.taken += own.taken;
            tally.ran += own.ran;
            tally.opened += own.opened;
            tally.refused_connections += own.refused_connections;
            tally.open += own.open;
        }
        tally
    }

    /// Returns what one searcher counted.
    ///
    /// # Panics
    ///
    /// Panics where there is none of this name.
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

    /// Returns when a searcher last took a request.
    #[must_use]
    pub fn last_taken(&self, name: &str) -> Option<Instant> {
        self.all.get(name).and_then(|placed| placed.searcher.lock().counts.last_taken)
    }

    /// Returns how often each request ran on each shard, over all searchers.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for placed in self.all.values() {
            for (name, count) in &placed.searcher.lock().counts.runs {
                *runs.entry(name.clone()).or_default() += count;
            }
        }
        runs
    }
}

fn serve_share(share: Vec<(TcpListener, Arc<Searcher>)>) {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    for (listener, searcher) in share {
        let inner = Rc::clone(&executor);
        executor.spawn(serve(inner, listener, searcher)).detach();
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
    let (over, cost) = open(&searcher);
    Timer::after(cost).await;
    let answer = |request| searcher.answer(request, over);
    let builder = hyper::server::conn::http1::Builder::new();
    drop(builder.serve_connection(io, service_fn(answer)).await);
    searcher.lock().open -= 1;
}

/// Counts a connection; returns whether it is one too many, and its cost.
fn open(searcher: &Searcher) -> (bool, Duration) {
    let mut state = searcher.lock();
    let over = state.open >= state.behaviour.connections;
    state.open += 1;
    state.counts.opened += 1;
    state.counts.refused_connections += u64::from(over);
    (over, Duration::from_secs_f64(state.behaviour.connect_ms / 1000.0))
}
