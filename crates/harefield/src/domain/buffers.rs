//! The bytes that a daemon holds for callers, upstreams and other daemons, under one budget.
//!
//! One decision says whether more is taken in and which connections are ended to make room:
//! of those whose peers do not read, the ones that have kept the most for the longest.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// Bodies of callers' requests.
    Requests,
    /// Replies of upstreams, until the answers made of them are written.
    Replies,
    /// Answers that are made here, and messages from and to other daemons.
    Messages,
    /// Replies that are expected to what is about to be sent.
    Expected,
}

impl Use {
    /// Every use, in order.
    pub const ALL: [Self; 4] = [Self::Requests, Self::Replies, Self::Messages, Self::Expected];

    /// Returns the use's name in metrics.
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

/// Numbers the connections that something is written to.
pub type WriterId = u64;

/// A peer that takes fewer bytes a second than this does not read.
const LEAST_RATE: f64 = 16_384.0;

/// For how long after a write began its peer is taken to read.
const GRACE: Duration = Duration::from_millis(500);

/// How often a peer's rate is measured anew.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// One connection that something is written to.
#[derive(Clone, Copy, Debug)]
struct Writer {
    begun: Instant,
    left: usize,
    /// When the rate was last measured from, and what was left then.
    mark: (Instant, usize),
    /// Whether it was enough until then.
    read_before: bool,
}

impl Writer {
    fn is_reading(&self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.mark.0);
        let fresh = now.saturating_duration_since(self.begun) < GRACE;
        fresh || (self.read_before && passed < RATE_WINDOW) || self.takes_enough(passed)
    }

    /// Returns whether enough was taken since the rate was last measured.
    fn takes_enough(&self, passed: Duration) -> bool {
        let taken = self.mark.1.saturating_sub(self.left);
        f64::from(u32::try_from(taken).unwrap_or(u32::MAX)) >= LEAST_RATE * passed.as_secs_f64()
    }

    /// Returns how much it has kept for how long, in byte-seconds.
    fn weight(&self, now: Instant) -> f64 {
        let left = f64::from(u32::try_from(self.left).unwrap_or(u32::MAX));
        left * now.saturating_duration_since(self.begun).as_secs_f64()
    }
}

/// The bytes held, by use, and the connections that they leave by.
#[derive(Clone, Debug)]
pub struct Buffers {
    limit: usize,
    held: BTreeMap<Use, usize>,
    writers: BTreeMap<WriterId, Writer>,
}

impl Buffers {
    /// Creates an empty account of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, held: BTreeMap::new(), writers: BTreeMap::new() }
    }

    /// Returns how many bytes are held for a use.
    #[must_use]
    pub fn held(&self, held_for: Use) -> usize {
        self.held.get(&held_for).copied().unwrap_or(0)
    }

    /// Returns how many bytes are held in all.
    #[must_use]
    pub fn total(&self) -> usize {
        self.held.values().sum()
    }

    /// Takes bytes in where they fit; returns whether they do.
    pub fn take(&mut self, held_for: Use, bytes: usize) -> bool {
        let fits = self.total().saturating_add(bytes) <= self.limit;
        if fits {
            self.add(held_for, bytes);
        }
        fits
    }

    /// Counts bytes that are there already, whether they fit or not.
    pub fn add(&mut self, held_for: Use, bytes: usize) {
        *self.held.entry(held_for).or_default() += bytes;
    }

    /// Takes bytes off that are no longer held.
    pub fn release(&mut self, held_for: Use, bytes: usize) {
        let held = self.held.entry(held_for).or_default();
        *held = held.saturating_sub(bytes);
    }

    /// Takes that so many bytes are to be written to a connection.
    pub fn begin_write(&mut self, writer: WriterId, bytes: usize, now: Instant) {
        self.writers
            .insert(writer, Writer { begun: now, left: bytes, mark: (now, bytes), read_before: false });
    }

    /// Takes that a connection's peer took so many bytes.
    pub fn progress(&mut self, writer: WriterId, bytes: usize, now: Instant) {
        let Some(held) = self.writers.get_mut(&writer) else { return };
        held.left = held.left.saturating_sub(bytes);
        let passed = now.saturating_duration_since(held.mark.0);
        if passed >= RATE_WINDOW {
            held.read_before = held.takes_enough(passed);
            held.mark = (now, held.left);
        }
        if held.left == 0 {
            self.writers.remove(&writer);
        }
    }

    /// Takes that nothing more is written to a connection.
    pub fn end_write(&mut self, writer: WriterId) {
        self.writers.remove(&writer);
    }

    /// Returns the connections to end so that so many more bytes fit; none where ending
    /// those whose peers do not read is not enough.
    #[must_use]
    pub fn make_room(&self, bytes: usize, now: Instant) -> Vec<WriterId> {
        let lacking = self.total().saturating_add(bytes).saturating_sub(self.limit);
        let idle = self.writers.iter().filter(|(_, writer)| !writer.is_reading(now));
        let mut idle: Vec<(WriterId, &Writer)> = idle.map(|(id, writer)| (*id, writer)).collect();
        idle.sort_by(|(_, a), (_, b)| b.weight(now).total_cmp(&a.weight(now)));
        let mut freed = 0;
        let mut ended = Vec::new();
        for (id, writer) in idle {
            if freed >= lacking {
                break;
            }
            freed += writer.left;
            ended.push(id);
        }
        if freed >= lacking { ended } else { Vec::new() }
    }

    /// Returns when the first connection whose peer takes nothing for `stall` is ended; none
    /// where all read.
    #[must_use]
    pub fn next_end(&self, stall: Duration, now: Instant) -> Option<Duration> {
        let idle = self.writers.values().filter(|writer| !writer.is_reading(now));
        idle.map(|writer| (writer.mark.0 + stall).saturating_duration_since(now)).min()
    }
}
