//! The time line: the events of all threads of a daemon, kept for a while for operators to query.
//!
//! Events are sent over a bounded ring to the telemetry thread. A full ring drops events and
//! counts them; it never blocks a request.

mod board;
mod collector;
mod queues;
mod ring;
mod store;
mod tally;
mod trace;
mod waterfall;

pub use board::Board;
pub use board::ConfigStatus;
pub use board::Status;
pub use board::UpstreamStatus;
pub use board::WorkerStatus;
pub use collector::run;
pub use queues::MAX_QUEUES_NAMED;
pub use queues::QueueStatus;
pub use queues::RankQueue;
pub use queues::ShardQueue;
pub use ring::Batch;
pub use ring::Telemetry;
pub use ring::ring;
pub use store::Filter;
pub use store::Store;
pub use tally::LookupStatus;
pub use tally::LookupTallies;
pub use trace::Trace;
pub use waterfall::waterfall;
