//! Detects that an upstream has become much slower or faster, from a few consecutive replies.
//!
//! The load pattern: three in ten upstreams suddenly take six times as long, for some seconds. The
//! steps of the observed time need about 19 replies to follow, which is two seconds at ten requests
//! a second. One reply in a hundred takes five times as long, and each upstream pauses now and then
//! for up to 250 ms; neither is a reason to avoid it afterwards.

use std::time::Instant;

/// A reply counts as slow or quick if it takes this many times as long as expected, or as much
/// less. The works of the lookups on one index differ by a factor of three, which must not count;
/// a slowdown by six must.
const FACTOR: f64 = 4.0;

/// A reply within this factor of the expected time ends a run of replies that differ.
const SAME_FACTOR: f64 = 1.5;

/// How many slow requests in a row show that the upstream has become slower. A pause during which a
/// straggler is sent makes two.
const SLOW_RUN: u32 = 3;

/// How many quick replies in a row show that the upstream has become faster. Fewer than
/// [`SLOW_RUN`], because an upstream that is still slow gives no quick reply.
const QUICK_RUN: u32 = 2;

/// The slow or quick replies in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyShift {
    slow: u32,
    quick: u32,
    /// The expected time before the run of slow replies, and the least time of these.
    before: f64,
    least: f64,
    /// The longest time of the quick replies.
    most: f64,
    /// When the last slow reply that counts arrived.
    counted_at: Option<Instant>,
}

impl LatencyShift {
    /// Records a reply that took `took` seconds and was sent at `start`, or a request that was
    /// abandoned after that time. Returns the new expected time if a run is complete.
    pub fn record(
        &mut self,
        expected: f64,
        took: f64,
        (start, now): (Instant, Instant),
        abandoned: bool,
    ) -> Option<f64> {
        let base = if self.slow > 0 { self.before } else { expected };
        if took > base * FACTOR {
            self.record_slow(base, took, (start, now));
        } else if !abandoned {
            self.record_other(expected, base, took);
        }
        let found = if self.slow >= SLOW_RUN {
            self.least
        } else if self.quick >= QUICK_RUN {
            self.most
        } else {
            return None;
        };
        *self = Self::default();
        Some(found)
    }

    /// Returns the time that the requests in flight since `oldest` show, if they complete a run of
    /// slow requests.
    pub fn pending(&self, oldest: Option<Instant>, now: Instant) -> Option<f64> {
        let start = oldest.filter(|start| self.is_separate(*start))?;
        let age = now.saturating_duration_since(start).as_secs_f64();
        (self.slow + 1 >= SLOW_RUN && age > self.before * FACTOR).then_some(self.least)
    }

    /// Returns whether a request was sent after the last slow reply that counts. Requests that were
    /// in flight together may all be slow because of a single pause.
    fn is_separate(&self, start: Instant) -> bool {
        self.counted_at.is_none_or(|at| start >= at)
    }

    fn record_slow(&mut self, base: f64, took: f64, (start, now): (Instant, Instant)) {
        self.quick = 0;
        self.least = if self.slow == 0 { took } else { self.least.min(took) };
        self.before = base;
        if self.is_separate(start) {
            self.slow += 1;
            self.counted_at = Some(now);
        }
    }

    fn record_other(&mut self, expected: f64, base: f64, took: f64) {
        if took <= base * SAME_FACTOR {
            self.slow = 0;
        }
        if took * FACTOR < expected {
            self.most = if self.quick == 0 { took } else { self.most.max(took) };
            self.quick += 1;
        } else if took * SAME_FACTOR >= expected {
            self.quick = 0;
        }
    }
}
