//! Room in the daemon's memory for what a request will bring: what does not fit is not begun.

use std::sync::Arc;
use std::time::Duration;

use super::find::Found;
use super::worker::Worker;
use crate::domain::buffers::Use;
use crate::domain::fanout::FanoutResult;
use crate::memory::HeldBytes;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// Requests that bring less are not booked: the read of their replies finds room or does not.
const LEAST_BOOKED: usize = 16 << 10;

/// The part of what is known of a lookup's replies that is forgotten with each smaller one.
const FORGOTTEN: usize = 8;

/// When to come back where nobody is known whose connection is about to end.
const COME_BACK: Duration = Duration::from_millis(500);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Books room for the replies to a request; none is needed where they are small.
    ///
    /// # Errors
    ///
    /// Returns when to come back where they do not fit.
    pub(super) async fn book_room(&self, found: &Found) -> Result<Option<HeldBytes>, Duration> {
        let expected = self.sizes.borrow().get(&found.plan.name).copied().unwrap_or(0);
        if expected < LEAST_BOOKED {
            return Ok(None);
        }
        let booked = self.memory.reserve(Use::Expected, expected).await;
        booked.map(Some).ok_or_else(|| self.memory.retry_after().unwrap_or(COME_BACK))
    }

    /// Learns how much the replies to a request came to.
    pub(super) fn learn_size(&self, found: &Found, finished: &FanoutResult) {
        let replies = finished.parts.iter().filter_map(|part| part.reply.bytes());
        let total: usize = replies.map(|reply| reply.body.len()).sum();
        let mut sizes = self.sizes.borrow_mut();
        let known = sizes.get(&found.plan.name).copied().unwrap_or(0);
        let size = total.max(known - known / FORGOTTEN);
        if size != known {
            sizes.insert(Arc::clone(&found.plan.name), size);
        }
    }
}
