//! The room that the shards of scheduled indexes have for new requests.
//!
//! The daemons that carry shards report how long a new request would wait. From that, a request is
//! admitted, admitted without some of its shards, or refused before any shard is queried.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::shard_delays::DRAIN_FACTOR;
use super::shard_delays::ShardDelays;
use crate::domain::ids::ShardId;
use crate::domain::view::ShardPlan;

/// A shard that has been left out for this long is queried by the next request that is admitted:
/// without a reply from it, nobody learns that it drains faster than estimated. It is the time in
/// which an upstream with a pause of 250 ms recovers, and at the users' rates (about 40
/// requests a second over 24 members) a member admits a request about that often.
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// The longest delay that is used. While a longer one refuses every request, nobody is told a
/// shorter one; callers return after 2 s at the latest.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// How often drained shards are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The most shards that a refusal names.
pub const MAX_NAMED: usize = 4;

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest<'a> {
    /// The shards of its plan.
    pub shards: &'a [ShardPlan],
    /// The rank of its lookup; 0 is the most urgent.
    pub rank: u32,
    /// The time until its answer is cut, or until its deadline if its objective has passed.
    pub left: Duration,
    /// By how much it delays the requests behind it on a shard.
    pub work: Duration,
    /// The fewest shards that make an answer.
    pub min_shards: usize,
}

/// A shard that cannot answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortShard {
    /// Its position in the plan.
    pub at: usize,
    /// How long a new request would wait for it.
    pub delay: Duration,
    /// How long until it has drained far enough to answer in time.
    wait: Duration,
    /// Its position among the shards with a reported delay.
    known: Option<usize>,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoomDecision {
    /// The request runs.
    Admit {
        /// The positions of the shards that are not queried, since they cannot answer in time.
        leave_out: Vec<usize>,
    },
    /// More shards cannot answer in time than an answer may lack.
    Refuse {
        /// The time until enough of them have drained.
        wait: Duration,
        /// How many shards cannot answer in time.
        short: usize,
        /// Those with the longest delays, at most [`MAX_NAMED`].
        longest: Vec<ShortShard>,
    },
}

/// The latest queueing delays of shards, as one worker knows them.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// The positions of the shards in `delays`. A decision finds a shard by its name once, and by
    /// its position after that.
    shards: HashMap<ShardId, usize>,
    delays: Vec<ShardDelays>,
    /// The positions in `delays` at which the last request found the shards of its plan. Looking up
    /// 210 delayed shards by their names takes 3 µs of the 5 µs that a decision may take.
    found: Vec<usize>,
    swept: Option<Instant>,
}

impl Room {
    /// Records how long a new request of a rank would wait for a shard.
    ///
    /// It replaces what this worker has admitted to the shard since the last report: the report
    /// includes it, apart from requests still in transit.
    pub fn record(&mut self, shard: &ShardId, rank: u32, delay: Duration, now: Instant) {
        self.sweep(now);
        let delay = delay.min(MAX_DELAY);
        if let Some(at) = self.shards.get(shard) {
            self.delays[*at].report(rank, delay, now);
        } else if !delay.is_zero() {
            let mut delays = ShardDelays::new(Arc::clone(shard), now);
            delays.report(rank, delay, now);
            self.shards.insert(Arc::clone(shard), self.delays.len());
            self.delays.push(delays);
        }
    }

    /// Returns how long a new request of a rank would wait for a shard.
    #[must_use]
    pub fn delay(&self, shard: &ShardId, rank: u32, now: Instant) -> Duration {
        self.shards.get(shard).map_or(Duration::ZERO, |at| self.delays[*at].delay(rank, now))
    }

    /// Returns how many shards have a delay.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns whether no shard has a delay.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Decides on a request. `local` returns the queueing delay of a shard at this daemon, and
    /// `usual` the time that a request takes on a shard without queueing, including the round trip.
    ///
    /// A shard without a queueing delay is never short: waiting would not help, and if only the
    /// usual time were too long, no request would run that could correct it.
    pub fn decide(
        &mut self,
        request: &RoomRequest<'_>,
        local: impl Fn(&ShardPlan) -> Duration,
        usual: impl Fn(&ShardPlan) -> Duration,
        now: Instant,
    ) -> RoomDecision {
        self.sweep(now);
        let mut delayed = Vec::new();
        let mut short = Vec::new();
        for (at, plan) in request.shards.iter().enumerate() {
            let known = self.find(at, &plan.shard);
            let reported = known.map_or(Duration::ZERO, |known| self.delays[known].delay(request.rank, now));
            let delay = reported.max(local(plan));
            if delay.is_zero() {
                continue;
            }
            let past = (delay + usual(plan)).saturating_sub(request.left);
            if past.is_zero() {
                delayed.extend(known);
            } else {
                short.push(ShortShard { at, delay, wait: past.min(delay) * DRAIN_FACTOR, known });
            }
        }
        let may_lack = request.shards.len().saturating_sub(request.min_shards);
        if short.len() > may_lack {
            return refuse(short, may_lack);
        }
        // The delay of a shard that this daemon carries itself is known without querying it.
        let is_due = |known: usize| self.delays[known].age(now) >= REPEAT_AFTER;
        let (repeated, left): (Vec<_>, Vec<_>) =
            short.into_iter().partition(|short| short.known.is_some_and(is_due));
        for known in delayed.into_iter().chain(repeated.iter().filter_map(|short| short.known)) {
            self.delays[known].charge(request.rank, request.work, now);
        }
        RoomDecision::Admit { leave_out: left.iter().map(|short| short.at).collect() }
    }

    /// Returns the position in `delays` of the shard that is at `at` in a plan.
    fn find(&mut self, at: usize, shard: &ShardId) -> Option<usize> {
        if let Some(found) = self.found.get(at)
            && self.delays.get(*found).is_some_and(|delays| Arc::ptr_eq(&delays.shard, shard))
        {
            return Some(*found);
        }
        let found = self.shards.get(shard).copied()?;
        if self.found.len() <= at {
            self.found.resize(at + 1, usize::MAX);
        }
        self.found[at] = found;
        // The plan of a later view has its own copy of the name.
        self.delays[found].shard = Arc::clone(shard);
        Some(found)
    }

    fn sweep(&mut self, now: Instant) {
        if self.swept.is_some_and(|at| now.saturating_duration_since(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept = Some(now);
        let mut kept = Vec::new();
        self.shards.retain(|_, at| {
            let delays = &self.delays[*at];
            let keeps = !delays.is_drained(now);
            if keeps {
                *at = kept.len();
                kept.push(delays.clone());
            }
            keeps
        });
        self.delays = kept;
    }
}

/// Refuses a request that may lack `may_lack` of the shards that cannot answer in time: it is
/// admitted once the others have drained.
fn refuse(mut short: Vec<ShortShard>, may_lack: usize) -> RoomDecision {
    let count = short.len();
    let (_, nth, _) = short.select_nth_unstable_by_key(may_lack, |shard| Reverse(shard.wait));
    let wait = nth.wait;
    let by_delay = |shard: &ShortShard| (Reverse(shard.delay), Reverse(shard.wait), shard.at);
    if count > MAX_NAMED {
        short.select_nth_unstable_by_key(MAX_NAMED, by_delay);
        short.truncate(MAX_NAMED);
    }
    short.sort_unstable_by_key(by_delay);
    RoomDecision::Refuse { wait, short: count, longest: short }
}
