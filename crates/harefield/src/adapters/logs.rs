//! Writes logs as JSON lines to standard output, using fern.
//!
//! Log calls put their lines into a bounded ring, and a separate thread writes them out. If the
//! ring is full or the rate limit is exceeded, lines are dropped and counted: a request never waits
//! for its log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::domain::ids::HostId;

/// The log target of lines that contain one event as JSON.
pub const EVENTS: &str = "event";

/// The capacity of the ring in lines: about ten seconds of logging at the sustained rate.
const RING_LENGTH: usize = 4096;

/// The sustained rate limit: about 100 kB per second, far more than a daemon logs, and far less
/// than would slow it down.
const LINES_PER_SECOND: f64 = 400.0;

/// The number of lines that may be written at once on top of the sustained rate.
const BURST: f64 = 2_000.0;

/// The maximum number of bytes to write at once; a pipe takes that many atomically.
const MAX_WRITE: usize = 4096;

/// The pause between writes, so that lines are written in batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "time-ms")]
    time: u128,
    level: &'a str,
    host: &'a str,
    target: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    event: Option<&'a RawValue>,
}

/// A log line that reports how many lines were dropped.
#[derive(Serialize)]
struct Dropped {
    level: &'static str,
    target: &'static str,
    #[serde(rename = "dropped-lines")]
    lines: u64,
}

/// Starts logging to standard output, one JSON object per line.
///
/// # Errors
///
/// Returns an error if logging has already been started.
pub fn start(level: log::LevelFilter, host: HostId) -> Result<(), log::SetLoggerError> {
    let (sender, lines) = async_channel::bounded::<String>(RING_LENGTH);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    let ring = fern::Output::call(move |record| {
        if sender.try_send(render(record, &host)).is_err() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    fern::Dispatch::new().level(level).chain(ring).apply()?;
    let writer = Writer { lines, dropped, tokens: BURST, refilled: Instant::now() };
    let started = std::thread::Builder::new().name("log".to_owned()).spawn(move || writer.run());
    if let Err(error) = started {
        eprintln!("cannot start the log thread, nothing will be logged: {error}");
    }
    Ok(())
}

fn render(record: &log::Record<'_>, host: &str) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let text = record.args().to_string();
    let event: Option<&RawValue> =
        (record.target() == EVENTS).then(|| serde_json::from_str(&text).ok()).flatten();
    let message = event.is_none().then(|| text.clone());
    let (level, target) = (record.level().as_str(), record.target());
    serde_json::to_string(&Line { time, level, host, target, message, event }).unwrap_or_default()
}

/// Writes log lines to standard output within the rate limit.
struct Writer {
    lines: Receiver<String>,
    dropped: Arc<AtomicU64>,
    tokens: f64,
    refilled: Instant,
}

impl Writer {
    fn run(mut self) {
        while let Ok(line) = self.lines.recv_blocking() {
            self.refill();
            if self.write_all(line).is_err() {
                // Standard output is closed. The ring fills up, and lines are counted as dropped.
                return;
            }
            std::thread::sleep(WRITE_INTERVAL);
        }
    }

    /// Writes a line and all others that are waiting, in chunks of whole lines.
    fn write_all(&mut self, first: String) -> std::io::Result<()> {
        let mut text = String::with_capacity(MAX_WRITE);
        let mut next = Some(first);
        while let Some(line) = next {
            if !text.is_empty() && text.len() + line.len() >= MAX_WRITE {
                write_chunk(&mut text)?;
            }
            self.append(&line, &mut text);
            next = self.lines.try_recv().ok();
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = Dropped { level: "WARN", target: "log", lines: dropped };
            text.push_str(&serde_json::to_string(&line).unwrap_or_default());
            text.push('\n');
        }
        write_chunk(&mut text)
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let earned = now.saturating_duration_since(self.refilled).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + earned).min(BURST);
        self.refilled = now;
    }

    fn append(&mut self, line: &str, text: &mut String) {
        if self.tokens < 1.0 {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.tokens -= 1.0;
        text.push_str(line);
        text.push('\n');
    }
}

fn write_chunk(text: &mut String) -> std::io::Result<()> {
    let written = std::io::stdout().lock().write_all(text.as_bytes());
    text.clear();
    written
}
