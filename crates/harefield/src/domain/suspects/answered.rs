//! Works that were answered recently.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::domain::ids::WorkId;

/// The most works that are remembered. At the target size a daemon answers about 800 requests per
/// second, so these cover the last 5 s; they take about 200 KB.
const MAX_WORKS: usize = 4096;

/// The works that were answered recently. At the limit, the one added first is dropped.
#[derive(Clone, Debug, Default)]
pub(super) struct Answered {
    times: HashMap<WorkId, Instant>,
    order: VecDeque<WorkId>,
}

impl Answered {
    /// Records that a work was answered.
    pub fn record(&mut self, work: WorkId, now: Instant) {
        if self.times.insert(work, now).is_some() {
            return;
        }
        self.order.push_back(work);
        if self.order.len() > MAX_WORKS
            && let Some(oldest) = self.order.pop_front()
        {
            self.times.remove(&oldest);
        }
    }

    /// Returns when a work was last answered; none where that is not remembered.
    pub fn last(&self, work: WorkId) -> Option<Instant> {
        self.times.get(&work).copied()
    }
}
