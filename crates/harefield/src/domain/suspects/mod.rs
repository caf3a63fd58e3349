//! Work under which upstreams end: what is known of it, and whether it may run.
//!
//! A request that crashes each upstream that runs it is known by three things together:
//! upstreams ended under it, nobody ever answered it, and they end also where it runs
//! alone. Upstreams that crash for reasons of their own lack the second, since the same
//! work is answered elsewhere at that time, or the third.
//!
//! So work goes through three standings. It is free until some upstreams have ended under
//! it. Then it runs alone, on one upstream at a time in the whole fleet, until an answer
//! clears it or it has ended two upstreams alone. Then it is withheld, and tried again
//! after pauses that grow.
//!
//! [`Evidence`] is what is known of one work and joins with what other daemons know;
//! [`Suspects`] holds it for a bounded number of works.

mod answered;
mod book;
mod evidence;
mod report;

pub use book::MergeOutcome;
pub use book::Suspect;
pub use book::Suspects;
pub use evidence::Clearance;
pub use evidence::Evidence;
pub use report::SuspectReport;
