//! The events of one request, stamped as they happen.

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

/// How many events are held back before they are sent on.
const BATCH: usize = 128;

/// Collects the events of one request or duty.
#[derive(Debug)]
pub struct Trace<C: Clock> {
    request: Option<RequestId>,
    events: Vec<(Stamp, Event)>,
    detail: bool,
    hybrid: Rc<RefCell<HybridClock>>,
    clock: C,
    telemetry: Telemetry,
}

impl<C: Clock> Trace<C> {
    /// Creates the trace of a request; `detail` says whether details are kept.
    #[must_use]
    pub fn new(
        request: Option<RequestId>,
        detail: bool,
        hybrid: &Rc<RefCell<HybridClock>>,
        clock: C,
        telemetry: &Telemetry,
    ) -> Self {
        Self {
            request,
            events: Vec::new(),
            detail,
            hybrid: Rc::clone(hybrid),
            clock,
            telemetry: telemetry.clone(),
        }
    }

    /// Returns the request's id.
    #[must_use]
    pub fn request(&self) -> Option<&RequestId> {
        self.request.as_ref()
    }

    /// Returns a stamp for a message that leaves now.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.hybrid.borrow_mut().tick(self.clock.wall())
    }

    /// Sends on what was collected.
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
        if self.events.len() >= BATCH {
            self.flush();
        }
    }
}

impl<C: Clock> Drop for Trace<C> {
    fn drop(&mut self) {
        self.flush();
    }
}
