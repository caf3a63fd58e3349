//! A daemon: one thread for each duty and each worker, connected by bounded channels.
//!
//! | thread | duty |
//! |---|---|
//! | `accept` | accepts connections of callers and peers and distributes them among the workers |
//! | `worker-N` | runs requests |
//! | `control` | maintains configuration, host list and membership |
//! | `telemetry` | logs events and stores them for the time line |
//! | `operators` | serves operators' requests |
//! | main | waits for signals and runs the planned stop |

mod accept;
mod context;
mod operators;
mod protocols;
mod start;
mod threads;

pub use context::Addresses;
pub use start::DaemonError;
pub use start::StopOutcome;
pub use start::run;
