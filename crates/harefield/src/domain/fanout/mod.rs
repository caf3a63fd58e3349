//! The fan-out of one request: which shard is asked where and when, which
//! replies count, and when the answer is given.
//!
//! A state machine without I/O. It is told what happened and when, and says
//! what to do next: `machine` takes what happened, `sending` decides on attempts,
//! `groups` on shards that other daemons ask, `caution` on requests that may end whoever
//! runs them, `cut`, `overrun` and `judge` on
//! the answer.

mod attempts;
mod context;
mod crash_guard;
mod group_request;
mod groups;
mod machine;
mod overrun;
mod result;
mod rules;
mod shard;
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
