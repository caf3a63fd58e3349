//! A worker: runs the requests of its connections on one thread.
//!
//! `run` drives a request from arrival to answer. `identity` and `permits` check its key and its
//! account's limit, `find` resolves its plan and `gate` admits it, with `room` for the memory of
//! its replies, and `shard_room` for the room that its shards have. `fan_out_request` chooses its
//! snapshot and `attempt` runs its fan-out, whose attempts share a `job`; `turns` wakes it when
//! capacity is free for a shard that waits. `group` and `relay` are for shards of other availability
//! zones. `forward`, with `members` and `forward_attempt`, is for requests that another daemon runs,
//! `once` for those that run once, and `suspects` for those that may crash upstreams. `stop` ends
//! what is in progress at the limit of a planned stop. `updates`, `status` and `warm` are the worker's
//! background tasks.
//!
//! Everything here is generic over the ports. Workers share no state but what [`Shared`] holds.

mod abandoned;
mod attempt;
mod fan_out_request;
mod find;
mod forward;
mod forward_attempt;
mod gate;
mod group;
mod identity;
mod job;
mod members;
mod message;
mod once;
mod permits;
mod relay;
mod room;
mod run;
mod shard_room;
mod status;
mod stop;
mod suspects;
mod turns;
mod updates;
mod warm;
mod worker;

pub use message::Confirmed;
pub use message::ForwardTerms;
pub use message::LookupRequest;
pub use message::Origin;
pub use message::PeerView;
pub use message::ToControl;
pub use message::ToWorker;
pub use worker::Ports;
pub use worker::Shared;
pub use worker::Worker;
pub use worker::WorkerSettings;
