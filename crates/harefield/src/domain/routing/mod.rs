//! Which replica is asked, how much is asked of it, and what extra load is spent.
//!
//! A `Router` holds one `Searcher` for each upstream: `learning` takes in what ended
//! requests show, `estimate` and `policy` say what the next would cost, `choice` picks,
//! `window` bounds what is under way, `effort` learns what a shard costs this daemon
//! itself, `readiness` says which connections are kept open. `zones`, `places` and `relays`
//! are about upstreams and daemons of other availability zones, `sharing` about wide
//! fan-outs that several daemons carry; `budget` and `budgets` pay for extra load.

mod budget;
mod budgets;
mod choice;
mod estimate;
mod learning;
mod pace;
mod policy;
mod readiness;
mod rejections;
mod relays;
mod report;
mod router;
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
pub use pace::LatencyStats;
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
pub use shard_time::MIN_SAMPLE_SHARDS;
pub use sharing::Assignment;
pub use sharing::Delegate;
pub use sharing::DelegationLimits;
pub use sharing::PendingShard;
pub use sharing::assign_shards;
pub use upstream_state::UpstreamState;
pub use window::Window;
