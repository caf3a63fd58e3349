//! Admission control: which requests run now, which wait, and which are rejected immediately.
//!
//! Each worker has one gate per index. Its concurrency limit adapts to the upstreams: it grows
//! while fan-outs complete without congestion, and shrinks when their shards have to wait. For
//! a fan-out with an objective, the time until half of its shards were in also counts. A waiting
//! request that can no longer meet its objective is rejected, with a time at which to retry
//! (`retry_schedule`).
//!
//! `room` decides on the requests of scheduled indexes that passed the gate, by the queueing delays
//! of their shards.

mod congestion;
mod decision;
mod gate;
mod queue;
mod retry_schedule;
mod room;
mod shard_delays;
mod virtual_clock;

pub use congestion::Congestion;
pub use congestion::Progress;
pub use decision::Admission;
pub use decision::Dequeued;
pub use decision::GateLimits;
pub use gate::Gate;
pub use queue::Arrival;
pub use queue::WaiterId;
pub use room::MAX_NAMED;
pub use room::Room;
pub use room::RoomDecision;
pub use room::RoomRequest;
pub use room::ShortShard;
