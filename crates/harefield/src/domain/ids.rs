//! Type aliases for the identifiers that cross module borders.

use std::sync::Arc;

/// Names one daemon: its peers' address, as `IP:PORT`.
pub type HostId = Arc<str>;

/// Tells two lives of one daemon apart: start time and random bits.
pub type Incarnation = u64;

/// Counts how often a platform came back from a copy of itself.
pub type Era = u64;

/// Numbers a snapshot of an index.
pub type Version = u64;

/// Names a shard across services, as `SERVICE/SHARD`.
pub type ShardId = Arc<str>;

/// Names an upstream resource.
pub type UpstreamId = Arc<str>;

/// Names one request of a caller across processes.
pub type RequestId = Arc<str>;

/// Names a client account.
pub type AccountId = Arc<str>;

/// Names a piece of work, whoever asks for it and however often: a digest.
pub type WorkId = u64;

/// Numbers the attempts that one request makes on upstreams.
pub type AttemptId = u32;

/// Names a resource within its space, such as `services/north`.
pub type Key = Arc<str>;

/// Returns the id of a service's shard.
#[must_use]
pub fn shard_id(service: &str, shard: &str) -> ShardId {
    format!("{service}/{shard}").into()
}

/// Orders what operators published as a whole; what upstreams say of themselves does
/// not change it, as it changes revisions.
pub type Edition = u64;
