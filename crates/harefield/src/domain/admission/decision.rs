//! The bounds of a gate, and its decisions.

use std::time::Duration;

use super::queue::WaiterId;
use crate::domain::code::Code;

/// The fixed bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// The most requests that run concurrently; the adaptive limit stays within it.
    pub running: usize,
    /// The most requests that wait in each queue: one for each urgency, and one for late requests.
    pub waiting: usize,
}

/// The gate's decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request waits in a queue under this identifier.
    Wait(WaiterId),
    /// The request is rejected, with the reason and the delay after which to retry.
    Refuse(Code, Duration),
}

/// A request that the gate removed from a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The request runs now.
    Run(WaiterId),
    /// The request can no longer meet its objective or deadline; its caller may retry after this
    /// delay.
    Refuse(WaiterId, Duration),
}
