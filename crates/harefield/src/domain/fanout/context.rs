//! One step of the machine: the time, what it may ask, and what it decides.

use std::time::Instant;

use super::shard::Action;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::routing::Router;

/// What a step of the machine works with.
pub(super) struct StepContext<'a, S> {
    pub now: Instant,
    pub router: &'a mut Router,
    pub actions: Vec<Action>,
    sink: &'a mut S,
}

impl<'a, S: Sink> StepContext<'a, S> {
    pub fn new(now: Instant, router: &'a mut Router, sink: &'a mut S) -> Self {
        Self { now, router, actions: Vec::new(), sink }
    }

    pub fn emit(&mut self, event: Event) {
        self.sink.emit(event);
    }
}
