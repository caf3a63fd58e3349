//! Reserves memory for the replies that a request is expected to bring. A request whose replies do
//! not fit is not started.

use std::sync::Arc;
use std::time::Duration;

use super::find::ResolvedRequest;
use super::worker::Worker;
use crate::domain::buffers::Purpose;
use crate::domain::fanout::FanoutResult;
use crate::memory::HeldBytes;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// Requests with smaller expected replies reserve nothing; memory for them is claimed as the
/// replies are read, and may be refused then.
const MIN_RESERVED: usize = 16 << 10;

/// A lookup's expected reply size shrinks by one part in this many with each smaller reply.
const DECAY_DIVISOR: usize = 8;

/// How long a caller is told to wait when no connection is known that is about to be closed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Reserves memory for the replies to a request; none is needed where they are small.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before a retry when they do not fit.
    pub(super) async fn reserve_memory(
        &self,
        resolved: &ResolvedRequest,
    ) -> Result<Option<HeldBytes>, Duration> {
        let expected = self.reply_sizes.borrow().get(&resolved.plan.name).copied().unwrap_or(0);
        if expected < MIN_RESERVED {
            return Ok(None);
        }
        let reserved = self.memory.reserve(Purpose::Expected, expected).await;
        reserved.map(Some).ok_or_else(|| self.memory.retry_after().unwrap_or(RETRY_AFTER))
    }

    /// Updates a lookup's expected reply size from the replies to one request.
    pub(super) fn record_size(&self, resolved: &ResolvedRequest, finished: &FanoutResult) {
        let replies = finished.parts.iter().filter_map(|part| part.reply.opaque());
        let total: usize = replies.map(|reply| reply.body.len()).sum();
        let mut sizes = self.reply_sizes.borrow_mut();
        let known = sizes.get(&resolved.plan.name).copied().unwrap_or(0);
        let size = total.max(known - known / DECAY_DIVISOR);
        if size != known {
            sizes.insert(Arc::clone(&resolved.plan.name), size);
        }
    }
}
