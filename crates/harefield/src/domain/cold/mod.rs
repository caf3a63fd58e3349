//! Rate limits for cold upstreams.
//!
//! An upstream that has just started, or that got no requests for a while, fails under the load
//! that a warm one can handle. The load pattern is a zone that comes back: all its upstreams are
//! cold, they are the nearest ones to some daemons, and every daemon sends to them at once.
//!
//! The requests that one cold upstream gets in a second are limited over the whole fleet, without
//! any coordination between daemons: `share` gives each daemon a fixed quota, `period` enforces
//! it for as long as the upstream is cold.

mod period;
mod share;

pub use period::ColdPeriod;
pub use share::Allowance;
pub use share::ColdBounds;
pub use share::quota;
