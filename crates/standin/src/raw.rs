//! A stand-in for upstreams and other peers that reply with given bytes, whatever they are.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use super::net;
use super::site_store::lock;

/// The header that contains the id of a request, in lower case.
const ID_HEADER: &str = "attempt-id: ";

/// A server that replies to every request with the same bytes and keeps the connection open.
#[derive(Clone, Debug)]
pub struct RawServer {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl RawServer {
    /// Starts a server that replies with `reply`.
    ///
    /// # Panics
    ///
    /// Panics if no local port can be bound.
    #[must_use]
    pub fn start(reply: &[u8]) -> Self {
        let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let server = Self { address: net::local(&listener), requests: Arc::default() };
        let (accepting, reply) = (server.clone(), reply.to_vec());
        std::thread::spawn(move || accepting.accept(&listener, &reply));
        server
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the attempt ids of the requests that it received, in order; empty ones of requests
    /// without an id.
    #[must_use]
    pub fn requests(&self) -> Vec<String> {
        lock(&self.requests).clone()
    }

    fn accept(&self, listener: &TcpListener, reply: &[u8]) {
        for stream in listener.incoming().flatten() {
            let (server, reply) = (self.clone(), reply.to_vec());
            std::thread::spawn(move || server.serve(stream, &reply));
        }
    }

    /// Replies to the requests of one connection until it is closed. Requests have no body.
    fn serve(&self, mut stream: TcpStream, reply: &[u8]) {
        while let Some(head) = net::read_head(&mut stream) {
            lock(&self.requests).push(id_of(&head));
            if stream.write_all(reply).is_err() {
                return;
            }
        }
    }
}

fn id_of(head: &[u8]) -> String {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix(ID_HEADER));
    id.unwrap_or("").to_owned()
}
