//! A daemon: the threads below, connected by bounded channels.
//!
//! | thread | task |
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
