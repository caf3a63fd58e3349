//! Admission: who runs now, who waits, and who is refused at once.
//!
//! One gate stands before each index of a worker. Its limit follows what the
//! upstreams take: it grows while fan-outs find room, and shrinks when their
//! shards have to wait for it; those that go by an objective say when half of their
//! shards were in. Who waits and can no longer make its objective is refused at once, with
//! a turn to come back (`returns`).

mod crowd;
mod gate;
mod queue;
mod returns;
mod turns;

pub use crowd::Congestion;
pub use crowd::Progress;
pub use gate::Admission;
pub use gate::Dequeued;
pub use gate::Gate;
pub use gate::GateLimits;
pub use queue::Arrival;
pub use queue::WaiterId;
