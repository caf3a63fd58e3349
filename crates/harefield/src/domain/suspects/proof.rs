//! What the end of an attempt shows about its work.

use crate::domain::fanout::AttemptEnd;
use crate::domain::outcome::Gap;

/// What the end of an attempt shows about whether its work crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// An upstream ran the work to its end, so the work is harmless.
    Harmless,
    /// Whether the upstream still accepts connections shows whether it crashed.
    CheckUpstream,
    /// Nothing: the upstream is up, but need not have run the work, or was not sent it.
    Nothing,
}

impl Proof {
    /// Returns what the end of an attempt shows.
    ///
    /// A failure of the upstream's own shows nothing, whatever its status: an upstream that fails need
    /// not have run the request.
    #[must_use]
    pub fn of(end: &AttemptEnd) -> Self {
        match end {
            AttemptEnd::Answered(_) => Self::Harmless,
            AttemptEnd::Lost { why: Gap::ReplyLost } => Self::CheckUpstream,
            AttemptEnd::Failed(_)
            | AttemptEnd::Refused { .. }
            | AttemptEnd::NotSent { .. }
            | AttemptEnd::Lost { .. } => Self::Nothing,
        }
    }
}
