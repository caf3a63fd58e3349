//! Collects the events of one request and stamps them as they happen.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use super::ring::Batch;
use super::ring::Telemetry;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::hlc::HybridClock;
use crate::domain::hlc::Stamp;
use crate::domain::ids::RequestId;
use crate::ports::Clock;

/// How many events are collected before they are sent to the telemetry thread.
const BATCH_SIZE: usize = 128;

/// Collects the events of one request, or of a task that serves none.
///
/// Sends them to the telemetry thread in batches and, at the latest, when dropped.
#[derive(Debug)]
pub struct Trace<C: Clock> {
    request: Option<RequestId>,
    events: Vec<(Stamp, Event)>,
    detail: bool,
    hybrid_clock: Rc<RefCell<HybridClock>>,
    clock: C,
    telemetry: Telemetry,
}

impl<C: Clock> Trace<C> {
    /// Creates the trace of a request, or of no request; without `detail`, events for
    /// which [`Event::is_detail`] is true are left out.
    #[must_use]
    pub fn new(
        request: Option<RequestId>,
        detail: bool,
        hybrid_clock: &Rc<RefCell<HybridClock>>,
        clock: C,
        telemetry: &Telemetry,
    ) -> Self {
        Self {
            request,
            events: Vec::new(),
            detail,
            hybrid_clock: Rc::clone(hybrid_clock),
            clock,
            telemetry: telemetry.clone(),
        }
    }

    /// Returns the id of the request; none where the trace belongs to none.
    #[must_use]
    pub fn request(&self) -> Option<&RequestId> {
        self.request.as_ref()
    }

    /// Advances the hybrid clock and returns its stamp, for an event or a message sent now.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.hybrid_clock.borrow_mut().tick(self.clock.wall())
    }

    /// Sends the collected events to the telemetry thread.
    pub fn flush(&mut self) {
        if self.events.is_empty() {
            return;
        }
        let request = self.request.as_ref().map(Arc::clone);
        self.telemetry.send(Batch { request, events: std::mem::take(&mut self.events) });
    }
}

impl<C: Clock> Sink for Trace<C> {
    fn emit(&mut self, event: Event) {
        if event.is_detail() && !self.detail {
            return;
        }
        let stamp = self.stamp();
        self.events.push((stamp, event));
        if self.events.len() >= BATCH_SIZE {
            self.flush();
        }
    }
}

impl<C: Clock> Drop for Trace<C> {
    fn drop(&mut self) {
        self.flush();
    }
}
