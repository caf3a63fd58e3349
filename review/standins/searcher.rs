//! Stand-ins for searchers: they work on some requests at once, queue a few, and sign what they run.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::http;

/// What happened at a searcher.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The request's `Attempt-Id`.
    pub id: String,
    /// Whether the searcher began to work on it.
    pub ran: bool,
    /// Whether its answer was written before the searcher ended.
    pub answered: bool,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    ended: bool,
    connections: Vec<TcpStream>,
    arrivals: Vec<Arrival>,
}

/// A running searcher; clones share it.
#[derive(Clone)]
pub struct Searcher {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: usize,
    queue: usize,
    work: Duration,
}

impl Searcher {
    /// Starts a searcher on a free port.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        (slots, queue): (usize, usize),
        work: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the listener can poll");
        let address = listener.local_addr().expect("the listener is bound");
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let searcher = Self { shared: Arc::default(), id, service, zone, address, slots, queue, work };
        let served = searcher.clone();
        std::thread::spawn(move || served.accept(&listener));
        searcher
    }

    /// Returns the key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Returns what arrived so far, without the requests meant for another searcher.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.0.lock().expect("no thread panics with the lock").arrivals.clone()
    }

    /// Ends it as its process would: its port and its connections close.
    pub fn end(&self) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no thread panics with the lock");
        state.ended = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        changed.notify_all();
    }

    fn accept(&self, listener: &TcpListener) {
        loop {
            if self.shared.0.lock().expect("no thread panics with the lock").ended {
                return;
            }
            match listener.accept() {
                Ok((stream, _from)) => {
                    let searcher = self.clone();
                    std::thread::spawn(move || searcher.serve(stream));
                }
                Err(_none) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut out), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.shared.0.lock().expect("no thread panics with the lock").connections.push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.answer(&request, &mut out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message, out: &mut TcpStream) -> std::io::Result<()> {
        if request.target() == "/health" {
            return http::reply(out, 200, &[("Instance-Id", &self.id)], b"");
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return http::reply(out, 421, &[("Instance-Id", &self.id)], b"");
        }
        let id = request.header("attempt-id").to_owned();
        let Some(number) = self.begin(&id) else {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", id.as_str())];
            return http::reply(out, 503, &headers, b"");
        };
        std::thread::sleep(self.work);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no thread panics with the lock");
        state.running -= 1;
        changed.notify_one();
        if state.ended {
            return Err(std::io::Error::from(std::io::ErrorKind::ConnectionAborted));
        }
        state.arrivals[number].answered = true;
        let load = format!("{},{},{}", state.running, state.waiting, self.slots);
        drop(state);
        let seal = format!("{}.{id}", self.id);
        let headers = [("Attempt-Id", id.as_str()), ("Server-Seal", &seal), ("Server-Load", &load)];
        let mut record = [0; 16];
        for (at, byte) in self.id.bytes().take(16).enumerate() {
            record[at] = byte;
        }
        http::reply(out, 200, &headers, &record)
    }

    /// Records a request and waits for a slot; returns its number, or `None` if the queue is full.
    fn begin(&self, id: &str) -> Option<usize> {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no thread panics with the lock");
        let number = state.arrivals.len();
        state.arrivals.push(Arrival { at: Instant::now(), id: id.to_owned(), ran: false, answered: false });
        if state.running >= self.slots {
            if state.waiting >= self.queue {
                return None;
            }
            state.waiting += 1;
            while state.running >= self.slots && !state.ended {
                state = changed.wait(state).expect("no thread panics with the lock");
            }
            state.waiting -= 1;
        }
        state.running += 1;
        state.arrivals[number].ran = true;
        Some(number)
    }
}
