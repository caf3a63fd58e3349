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
mod effort;
mod estimate;
mod learning;
mod pace;
mod policy;
mod readiness;
mod rejections;
mod relays;
mod report;
mod router;
mod searcher;
mod settled;
mod sharing;
mod window;
mod zones;

pub use budget::Budget;
pub use budgets::Budgets;
pub use budgets::FleetSlack;
pub use budgets::RERUN_SHARE;
pub use budgets::part;
pub use budgets::rerun_part;
pub use choice::Ask;
pub use choice::Choice;
pub use effort::LEAST_SHARDS;
pub use pace::Pace;
pub use policy::Policy;
pub use relays::RelayVerdict;
pub use relays::Relays;
pub use relays::Seen;
pub use report::Bar;
pub use report::Load;
pub use report::Report;
pub use report::Until;
pub use report::Verdict;
pub use router::Own;
pub use router::Router;
pub use searcher::Searcher;
pub use sharing::Allowance;
pub use sharing::Carrier;
pub use sharing::Portion;
pub use sharing::Wanted;
pub use sharing::share;
pub use window::Window;
