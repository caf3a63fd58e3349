//! Stand-ins for upstreams and other peers whose replies have no end.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::net;
use super::site_store::lock;

/// The length of a block that is written at once, in bytes.
const BLOCK: usize = 16 << 10;

/// Where a reply goes on without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Bytes that are no HTTP, before any status line.
    Noise,
    /// Empty lines before the status line.
    EmptyLines,
    /// The status line.
    StatusLine,
    /// A header's name.
    HeaderName,
    /// A header's value.
    HeaderValue,
    /// Header after header.
    Headers,
    /// Interim replies, one after the other.
    Interim,
    /// A body that ends with its connection.
    Unframed,
    /// A body with a length beyond what anybody sends.
    Length,
    /// Chunks of one kilobyte.
    Chunks,
    /// Chunks of one byte.
    TinyChunks,
    /// A chunk's size.
    ChunkSize,
    /// A chunk's extension.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// Bytes behind a whole reply.
    Behind,
}

impl Endless {
    /// Every kind.
    pub const ALL: [Self; 15] = [
        Self::Noise,
        Self::EmptyLines,
        Self::StatusLine,
        Self::HeaderName,
        Self::HeaderValue,
        Self::Headers,
        Self::Interim,
        Self::Unframed,
        Self::Length,
        Self::Chunks,
        Self::TinyChunks,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Behind,
    ];

    /// Returns how the reply begins, and what follows again and again.
    fn parts(self) -> (String, String) {
        const OK: &str = "HTTP/1.1 200 OK\r\n";
        const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let (begin, again) = match self {
            Self::Noise => (String::new(), "\u{1}".to_owned()),
            Self::EmptyLines => (String::new(), "\r\n".to_owned()),
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "a".to_owned()),
            Self::HeaderName => (OK.to_owned(), "a".to_owned()),
            Self::HeaderValue => (format!("{OK}x-long: "), "a".to_owned()),
            Self::Headers => (OK.to_owned(), "x-one: more\r\n".to_owned()),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Self::Unframed => (format!("{OK}\r\n"), "a".to_owned()),
            Self::Length => (format!("{OK}content-length: 18446744073709551615\r\n\r\n"), "a".to_owned()),
            Self::Chunks => (CHUNKED.to_owned(), format!("400\r\n{}\r\n", "a".repeat(1024))),
            Self::TinyChunks => (CHUNKED.to_owned(), "1\r\na\r\n".to_owned()),
            Self::ChunkSize => (CHUNKED.to_owned(), "0".to_owned()),
            Self::ChunkExtension => (format!("{CHUNKED}1;"), "a".to_owned()),
            Self::Trailers => (format!("{CHUNKED}1\r\na\r\n0\r\n"), "x-one: more\r\n".to_owned()),
            Self::Behind => (format!("{OK}content-length: 0\r\n\r\n"), "a".to_owned()),
        };
        (begin, again)
    }
}

/// What was sent on one connection until it was closed.
#[derive(Clone, Copy, Debug)]
pub struct EndlessReply {
    /// The bytes of the reply.
    pub bytes: usize,
    /// How long it went on.
    pub took: Duration,
}

/// A server whose replies have no end.
#[derive(Clone, Debug)]
pub struct EndlessServer {
    address: SocketAddr,
    ended: Arc<Mutex<Vec<EndlessReply>>>,
}

impl EndlessServer {
    /// Starts a server that replies in one way, with `rate` bytes per second on each connection.
    ///
    /// # Panics
    ///
    /// Panics if no local port can be bound.
    #[must_use]
    pub fn start(kind: Endless, rate: u32) -> Self {
        let listener = net::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let server = Self { address: net::local(&listener), ended: Arc::default() };
        let ended = Arc::clone(&server.ended);
        std::thread::spawn(move || accept(&listener, kind, rate, &ended));
        server
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the replies that the other side has ended.
    #[must_use]
    pub fn ended(&self) -> Vec<EndlessReply> {
        lock(&self.ended).clone()
    }
}

fn accept(listener: &TcpListener, kind: Endless, rate: u32, ended: &Arc<Mutex<Vec<EndlessReply>>>) {
    for stream in listener.incoming().flatten() {
        let ended = Arc::clone(ended);
        std::thread::spawn(move || {
            if let Some(reply) = reply_to(stream, kind, rate) {
                lock(&ended).push(reply);
            }
        });
    }
}

/// Reads the head of a request, and replies until the connection is closed; none without a request.
fn reply_to(mut stream: TcpStream, kind: Endless, rate: u32) -> Option<EndlessReply> {
    net::read_head(&mut stream)?;
    let (begin, again) = kind.parts();
    let block = again.repeat(BLOCK.div_ceil(again.len()));
    let pause =
        Duration::from_secs_f64(f64::from(u32::try_from(block.len()).unwrap_or(u32::MAX)) / f64::from(rate));
    let started = Instant::now();
    let mut bytes = begin.len();
    let mut sent = stream.write_all(begin.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(block.as_bytes());
        bytes += block.len();
        std::thread::sleep(pause);
    }
    Some(EndlessReply { bytes, took: started.elapsed() })
}
