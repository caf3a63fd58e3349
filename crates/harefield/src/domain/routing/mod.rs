//! Replica selection, load limits for each upstream, and budgets of extra load.
//!
//! A `Router` holds one `UpstreamState` for each upstream: `learning` and `rejections` update it
//! from finished requests, `estimate` and `policy` predict the cost of the next one, `choice`
//! selects a replica, `window` limits the requests in flight, `shard_time` measures the work of
//! this daemon for each shard, `readiness` decides how many connections are kept open. `zones`
//! and `relays` deal with upstreams and daemons in other availability zones, `sharing` with wide
//! fan-outs that are split among several daemons; `budget` and `budgets` limit extra load.
//! `scheduling` decides which indexes are scheduled.

mod budget;
mod budgets;
mod choice;
mod estimate;
mod latency;
mod learning;
mod policy;
mod readiness;
mod rejections;
mod relays;
mod report;
mod router;
mod scheduling;
mod shard_delay;
mod shard_time;
mod sharing;
mod startup_delay;
mod upstream_state;
mod window;
mod zones;

pub use budget::Budget;
pub use budgets::Budgets;
pub use budgets::FleetSlack;
pub use budgets::MAX_RERUN_SHARE;
pub use budgets::quota;
pub use budgets::rerun_quota;
pub use choice::Choice;
pub use choice::ChoiceRequest;
pub use latency::LatencyStats;
pub use policy::Policy;
pub use relays::RelayOutcome;
pub use relays::RelayStatus;
pub use relays::Relays;
pub use report::AttemptOutcome;
pub use report::Exclusion;
pub use report::ExclusionEnd;
pub use report::Load;
pub use report::Report;
pub use router::LocalDaemon;
pub use router::Router;
pub use scheduling::Scheduling;
pub use shard_time::MIN_SAMPLE_SHARDS;
pub use sharing::Assignment;
pub use sharing::Delegate;
pub use sharing::DelegationLimits;
pub use sharing::PendingShard;
pub use sharing::assign_shards;
pub use upstream_state::UpstreamState;
pub use window::Window;
