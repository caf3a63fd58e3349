//! The context of one step of the state machine: the time, the router, and the decisions so far.

use std::time::Instant;

use super::shard::Action;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::routing::Router;

/// The inputs of a step, and the actions and events that it collects.
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
