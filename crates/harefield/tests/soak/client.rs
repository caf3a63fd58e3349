//! An HTTP client connection of a caller: sends one request at a time and returns its outcome.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The timeout for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The size of the read buffer in bytes.
const CHUNK: usize = 16 << 10;

/// A response as received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns a header's value, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// A whole response was received.
    Answered(Answer),
    /// The connection was closed before a whole response.
    Disconnected,
    /// A read timed out before a whole response.
    TimedOut,
    /// The bytes received are not a valid response.
    Malformed,
}

/// A connection to a daemon's listener for callers.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes received beyond the last response; any are an error when the next request is sent.
    unread: Vec<u8>,
}

impl Connection {
    /// Opens a connection, or returns `None` if that fails.
    pub fn open(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_LIMIT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream, unread: Vec::new() })
    }

    /// Sends a request and waits for its response; `limit` bounds each read.
    pub fn send(&mut self, head: &str, limit: Duration) -> Outcome {
        if !self.unread.is_empty() {
            return Outcome::Malformed;
        }
        let timed = self.stream.set_read_timeout(Some(limit));
        if timed.is_err() || self.stream.write_all(head.as_bytes()).is_err() {
            return Outcome::Disconnected;
        }
        let mut bytes = Vec::new();
        loop {
            match parse(&bytes) {
                Parsed::Complete(answer, length) => {
                    self.unread = bytes.split_off(length);
                    return Outcome::Answered(answer);
                }
                Parsed::Malformed => return Outcome::Malformed,
                Parsed::Incomplete => {}
            }
            let mut chunk = [0; CHUNK];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Outcome::Disconnected,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Outcome::TimedOut;
                }
                Err(_) => return Outcome::Disconnected,
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
