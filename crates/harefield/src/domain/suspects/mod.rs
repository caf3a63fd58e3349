//! Detection of works that crash upstreams (a "query of death"), and whether they may run.
//!
//! A request that crashes every upstream that runs it shows three signs together: upstreams end
//! while they run it, no upstream ever answers it, and upstreams also end where it runs in
//! isolation. Upstreams that crash for other reasons lack the second sign, since the same work is
//! answered elsewhere at that time, or the third.
//!
//! So a work has one of three clearances. It runs freely until some upstreams have ended while
//! they ran it. Then it runs in isolation, on one upstream at a time in the whole fleet, until an
//! answer clears it or two such runs, or one after many ends, had no answer. Then it is withheld, with
//! further trials after growing delays.
//!
//! [`Proof`] is what the end of one attempt shows; [`Abandoned`] holds attempts whose ends are not
//! known yet. [`Evidence`] is what is known about one work, and merges with what other daemons know;
//! [`Suspects`] holds it for a bounded number of works. [`History`] tells whether more may be known
//! elsewhere.

mod abandoned;
mod answered;
mod evidence;
mod history;
mod proof;
mod registry;
mod report;

pub use abandoned::Abandoned;
pub use evidence::Clearance;
pub use evidence::Evidence;
pub use history::DEFAULT_CAUTION;
pub use history::History;
pub use proof::Proof;
pub use registry::MergeOutcome;
pub use registry::Suspect;
pub use registry::Suspects;
pub use report::SuspectReport;
