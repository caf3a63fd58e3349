//! Type aliases for identifiers that are shared between modules.

use std::sync::Arc;
use std::time::Duration;

use super::time::millis;

/// Identifies a daemon by the address on which it accepts peers, as `IP:PORT`.
pub type HostId = Arc<str>;

/// Distinguishes runs of one daemon: its start time combined with random bits.
pub type Incarnation = u64;

/// How many low bits of an incarnation are random. The others are the start in milliseconds.
const RANDOM_BITS: u32 = 20;

/// Creates the incarnation of a daemon that started at `start` since the Unix epoch, so that it is
/// later than earlier ones of the same host, and by its random bits unlike any other.
#[must_use]
pub fn incarnation_of(start: Duration, random: u32) -> Incarnation {
    (millis(start) << RANDOM_BITS) | u64::from(random >> (u32::BITS - RANDOM_BITS))
}

/// Returns when a daemon started, since the Unix epoch, by its own clock.
#[must_use]
pub fn started_at(incarnation: Incarnation) -> Duration {
    Duration::from_millis(incarnation >> RANDOM_BITS)
}

/// Counts how often a platform was restored from a backup copy.
pub type Era = u64;

/// Numbers a snapshot of an index.
pub type Version = u64;

/// Identifies a shard across services, as `SERVICE/SHARD`.
pub type ShardId = Arc<str>;

/// Identifies an upstream resource.
pub type UpstreamId = Arc<str>;

/// Identifies a caller's request across processes.
pub type RequestId = Arc<str>;

/// Identifies a client account.
pub type AccountId = Arc<str>;

/// Identifies a piece of work by a digest that is equal for repetitions and for all callers.
pub type WorkId = u64;

/// Numbers the attempts that one request makes on upstreams.
pub type AttemptId = u32;

/// Identifies a resource within its space, such as `services/north`.
pub type Key = Arc<str>;

/// Returns the id of a shard of a service.
#[must_use]
pub fn shard_id(service: &str, shard: &str) -> ShardId {
    format!("{service}/{shard}").into()
}

/// Orders complete sets of what operators published. Unlike a revision, it does not change with
/// what upstreams publish about themselves.
pub type Edition = u64;

/// Numbers the fan-outs of one worker whose shards are scheduled.
pub type FanoutId = u64;
