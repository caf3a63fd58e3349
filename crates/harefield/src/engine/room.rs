//! Room in the daemon's memory for what a request will bring: what does not fit is not begun.

use std::sync::Arc;
use std::time::Duration;

use super::find::ResolvedRequest;
use super::worker::Worker;
use crate::domain::buffers::Use;
use crate::domain::fanout::Finished;
use crate::memory::Held;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// Requests that bring less are not booked: the read of their replies finds room or does not.
const MIN_RESERVED: usize = 16 << 10;

/// The part of what is known of a lookup's replies that is forgotten with each smaller one.
const DECAY_DIVISOR: usize = 8;

/// When to come back where nobody is known whose connection is about to end.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Books room for the replies to a request; none is needed where they are small.
    ///
    /// # Errors
    ///
    /// Returns when to come back where they do not fit.
    pub(super) async fn reserve_memory(&self, resolved: &ResolvedRequest) -> Result<Option<Held>, Duration> {
        let expected = self.reply_sizes.borrow().get(&resolved.plan.name).copied().unwrap_or(0);
        if expected < MIN_RESERVED {
            return Ok(None);
        }
        let reserved = self.memory.take_soon(Use::Expected, expected).await;
        reserved.map(Some).ok_or_else(|| self.memory.come_back().unwrap_or(RETRY_AFTER))
    }

    /// Learns how much the replies to a request came to.
    pub(super) fn record_size(&self, resolved: &ResolvedRequest, finished: &Finished) {
        let replies = finished.parts.iter().filter_map(|part| part.reply.bytes());
        let total: usize = replies.map(|reply| reply.body.len()).sum();
        let mut sizes = self.reply_sizes.borrow_mut();
        let known = sizes.get(&resolved.plan.name).copied().unwrap_or(0);
        let size = total.max(known - known / DECAY_DIVISOR);
        if size != known {
            sizes.insert(Arc::clone(&resolved.plan.name), size);
        }
    }
}
