//! A caller's connection: one request at a time, and what became of each.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Bytes read at a time.
const CHUNK: usize = 16 << 10;

/// An answer as it came.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns a header's value; empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(held_name, _)| held_name == name).map_or("", |(_, value)| value)
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestOutcome {
    /// It was answered.
    Answered(Answer),
    /// The connection ended before a whole answer.
    Disconnected,
    /// Nothing came in time.
    TimedOut,
    /// What came is no answer.
    Malformed,
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes that came and belong to no answer yet.
    unread: Vec<u8>,
}

impl Connection {
    /// Opens a connection; none where that fails.
    pub fn open(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_LIMIT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream, unread: Vec::new() })
    }

    /// Sends a request and awaits its answer.
    pub fn send(&mut self, head: &str, limit: Duration) -> RequestOutcome {
        if !self.unread.is_empty() {
            return RequestOutcome::Malformed;
        }
        let timed = self.stream.set_read_timeout(Some(limit));
        if timed.is_err() || self.stream.write_all(head.as_bytes()).is_err() {
            return RequestOutcome::Disconnected;
        }
        let mut bytes = Vec::new();
        loop {
            match parse(&bytes) {
                Parsed::Complete(answer, length) => {
                    self.unread = bytes.split_off(length);
                    return RequestOutcome::Answered(answer);
                }
                Parsed::Malformed => return RequestOutcome::Malformed,
                Parsed::Incomplete => {}
            }
            let mut chunk = [0; CHUNK];
            match self.stream.read(&mut chunk) {
                Ok(0) => return RequestOutcome::Disconnected,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return RequestOutcome::TimedOut;
                }
                Err(_) => return RequestOutcome::Disconnected,
            }
        }
    }
}

enum Parsed {
    Complete(Answer, usize),
    Incomplete,
    Malformed,
}

fn parse(bytes: &[u8]) -> Parsed {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        let begins = bytes.len() < 8 || bytes.starts_with(b"HTTP/1.1");
        return if begins { Parsed::Incomplete } else { Parsed::Malformed };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return Parsed::Malformed };
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok());
    let Some(status) = status else { return Parsed::Malformed };
    let pair = |line: &str| line.split_once(": ").map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()));
    let mut answer = Answer { status, headers: lines.filter_map(pair).collect(), body: Vec::new() };
    let Ok(length) = answer.header("content-length").parse::<usize>() else { return Parsed::Malformed };
    let whole = end + 4 + length;
    if bytes.len() < whole {
        return Parsed::Incomplete;
    }
    answer.body = bytes[end + 4..whole].to_vec();
    Parsed::Complete(answer, whole)
}
