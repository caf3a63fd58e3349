//! Admission control: which requests run now, which wait, and which are rejected immediately.
//!
//! Each worker has one gate per index. Its concurrency limit adapts to the upstreams: it grows
//! while fan-outs complete without congestion, and shrinks when their shards have to wait. For
//! a fan-out with an objective, the time until half of its shards were in also counts. A waiting
//! request that can no longer meet its objective is rejected, with a time at which to retry
//! (`retry_schedule`).

mod congestion;
mod gate;
mod queue;
mod retry_schedule;
mod virtual_clock;

pub use congestion::Congestion;
pub use congestion::Progress;
pub use gate::Admission;
pub use gate::Dequeued;
pub use gate::Gate;
pub use gate::GateLimits;
pub use queue::Arrival;
pub use queue::WaiterId;
