//! Upstreams that are cold, and how little they are sent.
//!
//! An upstream that has just started, or that got nothing for a while, falls over under
//! what a warm one bears. The load pattern is a zone that comes back: all its upstreams are
//! cold, are the nearest ones to some daemons, and every daemon turns to them at once.
//!
//! What one cold upstream is sent within a second is bounded over the whole fleet, without
//! anything that daemons share: `share` gives each daemon a fixed part, `spell` keeps to it
//! and says for how long.

mod period;
mod share;

pub use period::ColdPeriod;
pub use share::Allowance;
pub use share::ColdBounds;
pub use share::quota;
