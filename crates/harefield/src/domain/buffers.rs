//! Accounting of the bytes that a daemon buffers for callers, upstreams and other daemons, under
//! one memory budget.
//!
//! This module decides whether more bytes are accepted, and which connections are closed to free
//! memory: among those whose peers have stopped reading, the ones with the most byte-seconds of
//! pending output.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// What buffered bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Bodies of callers' requests.
    Requests,
    /// Replies of upstreams, until the answers made from them are written.
    Replies,
    /// Answers produced by this daemon, and messages from and to other daemons.
    Messages,
    /// Replies expected to requests that are about to be sent.
    Expected,
}

impl Purpose {
    /// Every purpose, in order.
    pub const ALL: [Self; 4] = [Self::Requests, Self::Replies, Self::Messages, Self::Expected];

    /// Returns the name of the purpose in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Replies => "replies",
            Self::Messages => "messages",
            Self::Expected => "expected",
        }
    }
}

/// Identifies a connection that is being written to.
pub type WriterId = u64;

/// A peer that accepts fewer bytes per second than this counts as not reading.
const MIN_RATE: f64 = 16_384.0;

/// How long after the start of a write its peer counts as reading whatever its rate.
const GRACE: Duration = Duration::from_millis(500);

/// How often the rate of a peer is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A connection that is being written to.
#[derive(Clone, Copy, Debug)]
struct Writer {
    started: Instant,
    left: usize,
    /// When the current rate window began, and how many bytes were left then.
    window_start: (Instant, usize),
    /// Whether the peer was fast enough in the previous window.
    was_reading: bool,
}

impl Writer {
    fn is_reading(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.window_start.0);
        let fresh = now.saturating_duration_since(self.started) < GRACE;
        fresh || (self.was_reading && passed < RATE_WINDOW) || self.is_fast_enough(passed)
    }

    /// Returns whether the peer has been fast enough since the current window began.
    fn is_fast_enough(&self, passed: Duration) -> bool {
        let taken = self.window_start.1.saturating_sub(self.left);
        f64::from(u32::try_from(taken).unwrap_or(u32::MAX)) >= MIN_RATE * passed.as_secs_f64()
    }

    /// Returns the bytes left multiplied by the age of the write, in byte-seconds.
    fn byte_seconds(&self, now: Instant) -> f64 {
        let left = f64::from(u32::try_from(self.left).unwrap_or(u32::MAX));
        left * now.saturating_duration_since(self.started).as_secs_f64()
    }
}

/// The bytes buffered by purpose, and the connections that they are written to.
#[derive(Clone, Debug)]
pub struct Buffers {
    limit: usize,
    held: BTreeMap<Purpose, usize>,
    writers: BTreeMap<WriterId, Writer>,
}

impl Buffers {
    /// Creates an empty account with a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, held: BTreeMap::new(), writers: BTreeMap::new() }
    }

    /// Returns how many bytes are buffered for a purpose.
    #[must_use]
    pub fn held(&self, purpose: Purpose) -> usize {
        self.held.get(&purpose).copied().unwrap_or(0)
    }

    /// Returns how many bytes are buffered in total.
    #[must_use]
    pub fn total(&self) -> usize {
        self.held.values().sum()
    }

    /// Adds bytes if they fit into the budget; returns whether they did.
    pub fn reserve(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let fits = self.total().saturating_add(bytes) <= self.limit;
        if fits {
            self.add(purpose, bytes);
        }
        fits
    }

    /// Adds bytes that are already in memory, whether they fit into the budget or not.
    pub fn add(&mut self, purpose: Purpose, bytes: usize) {
        *self.held.entry(purpose).or_default() += bytes;
    }

    /// Subtracts bytes that are no longer buffered.
    pub fn release(&mut self, purpose: Purpose, bytes: usize) {
        let held = self.held.entry(purpose).or_default();
        *held = held.saturating_sub(bytes);
    }

    /// Records that a write of `bytes` bytes to a connection begins.
    pub fn begin_write(&mut self, writer: WriterId, bytes: usize, now: Instant) {
        self.writers.insert(
            writer,
            Writer { started: now, left: bytes, window_start: (now, bytes), was_reading: false },
        );
    }

    /// Records that the peer of a connection accepted `bytes` bytes.
    pub fn progress(&mut self, writer: WriterId, bytes: usize, now: Instant) {
        let Some(held) = self.writers.get_mut(&writer) else { return };
        held.left = held.left.saturating_sub(bytes);
        let passed = now.saturating_duration_since(held.window_start.0);
        if passed >= RATE_WINDOW {
            held.was_reading = held.is_fast_enough(passed);
            held.window_start = (now, held.left);
        }
        if held.left == 0 {
            self.writers.remove(&writer);
        }
    }

    /// Records that nothing more is written to a connection.
    pub fn end_write(&mut self, writer: WriterId) {
        self.writers.remove(&writer);
    }

    /// Returns the connections to close so that `bytes` more bytes fit into the budget. Empty if
    /// closing every connection whose peer does not read would not free enough.
    #[must_use]
    pub fn pick_evictions(&self, bytes: usize, now: Instant) -> Vec<WriterId> {
        let missing = self.total().saturating_add(bytes).saturating_sub(self.limit);
        let stalled = self.writers.iter().filter(|(_, writer)| !writer.is_reading(now));
        let mut stalled: Vec<(WriterId, &Writer)> = stalled.map(|(id, writer)| (*id, writer)).collect();
        stalled.sort_by(|(_, a), (_, b)| b.byte_seconds(now).total_cmp(&a.byte_seconds(now)));
        let mut freed = 0;
        let mut evicted = Vec::new();
        for (id, writer) in stalled {
            if freed >= missing {
                break;
            }
            freed += writer.left;
            evicted.push(id);
        }
        if freed >= missing { evicted } else { Vec::new() }
    }

    /// Returns the time until the first connection whose peer accepts nothing for `stall` is
    /// closed. `None` if every peer reads.
    #[must_use]
    pub fn next_eviction(&self, stall: Duration, now: Instant) -> Option<Duration> {
        let stalled = self.writers.values().filter(|writer| !writer.is_reading(now));
        stalled.map(|writer| (writer.window_start.0 + stall).saturating_duration_since(now)).min()
    }
}
