//! A daemon: a thread for each duty, joined by bounded rings.
//!
//! | thread | duty |
//! |---|---|
//! | `accept` | takes connections of callers and peers and deals them to workers |
//! | `worker-N` | runs requests |
//! | `control` | keeps configuration, host list and membership |
//! | `telemetry` | keeps the time line |
//! | `operators` | answers operators |
//! | main | waits for signals and conducts a planned stop |

mod accept;
mod context;
mod edge;
mod operators;
mod start;
mod threads;

pub use context::Addresses;
pub use start::DaemonError;
pub use start::StopOutcome;
pub use start::run;
