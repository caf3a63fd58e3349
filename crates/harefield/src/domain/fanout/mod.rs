//! The fan-out of one request: which replica of each shard is queried and when, which replies
//! count, and when the answer is given.
//!
//! A state machine without I/O. The caller passes in events with their times, and carries out the
//! returned actions. `machine` handles events, `attempts` sends first attempts, retries, hedges and
//! probes, `turns` decides when those of scheduled indexes wait, `leave_out` closes the shards that
//! cannot answer in time. `groups` delegates groups of shards to other daemons, `regions` and
//! `carried` select the daemons, `group_results` handles what these return, `revocation` revokes
//! groups when the answer is out of reach. `crash_guard` limits the damage of requests that crash
//! upstreams, `stop_limit` ends a fan-out at the daemon's planned stop, and `rules`, `overrun` and
//! `result` decide on the answer.

mod attempts;
mod canary;
mod carried;
mod context;
mod crash_guard;
mod group_request;
mod group_results;
mod groups;
mod leave_out;
mod machine;
mod overrun;
mod regions;
mod result;
mod revocation;
mod rules;
mod shard;
mod stop_limit;
mod turns;
mod verify;

pub use crash_guard::MAX_TRIALS;
pub use group_request::GroupOutcome;
pub use group_request::GroupRequest;
pub use group_request::ShardResult;
pub use machine::Fanout;
pub use overrun::Overrun;
pub use result::FanoutResult;
pub use rules::AnswerRules;
pub use rules::MAX_ATTEMPTS;
pub use shard::Action;
pub use shard::AttemptEnd;
pub use shard::Cancel;
pub use shard::SendAttempt;
pub use verify::ReplyIdentity;
pub use verify::verify;
