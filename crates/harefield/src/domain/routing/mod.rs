//! Which replica is asked, how much is asked of it, and what extra load is spent.

mod budget;
mod pace;
mod policy;
mod router;
mod searcher;
mod window;

pub use budget::Budget;
pub use pace::Pace;
pub use policy::Policy;
pub use router::Ask;
pub use router::Choice;
pub use router::Router;
pub use searcher::Bar;
pub use searcher::Load;
pub use searcher::Report;
pub use searcher::Searcher;
pub use searcher::Until;
pub use searcher::Verdict;
pub use window::Window;
