//! HTTP/1.1 over plain sockets: just enough for the stand-ins and their clients.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response with its whole body.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// Names in lower case, in the order received.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(held, _)| held == name).map_or("", |(_, value)| value)
    }

    /// Returns the request's target.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the response's status; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> Result<Option<String>> {
    let mut text = Vec::new();
    if reader.read_until(b'\n', &mut text)? == 0 {
        return Ok(None);
    }
    if text.pop() != Some(b'\n') {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    if text.last() == Some(&b'\r') {
        text.pop();
    }
    Ok(Some(String::from_utf8_lossy(&text).into_owned()))
}

/// Reads one message; returns `None` if the connection ended before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let cut = || Error::from(ErrorKind::UnexpectedEof);
    let Some(start) = line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?.ok_or_else(cut)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(cut)?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message { start, headers, body: Vec::new() };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = line(reader)?.ok_or_else(cut)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_error| cut())?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            line(reader)?;
            if size == 0 {
                break;
            }
        }
        return Ok(Some(message));
    }
    let size = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; size];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends one request on a new connection and returns its response.
pub fn exchange(
    to: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}
