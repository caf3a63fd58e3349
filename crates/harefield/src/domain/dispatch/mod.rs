//! The requests that wait for the shards of scheduled indexes, in the order in which they are sent.
//!
//! A [`Dispatch`] holds one queue for each shard that requests wait for. `queue` decides the order:
//! start-time fair queuing between the ranks, the earliest due first within a rank.

mod dispatcher;
mod queue;

pub use dispatcher::Dispatch;
pub use queue::Ticket;
pub use queue::Waiter;
