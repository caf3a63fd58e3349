//! Waiting at the admission gate of an index.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use futures_lite::FutureExt;

use super::worker::Worker;
use crate::domain::admission::Admission;
use crate::domain::admission::Arrival;
use crate::domain::admission::Congestion;
use crate::domain::admission::Dequeued;
use crate::domain::admission::Gate;
use crate::domain::admission::WaiterId;
use crate::domain::code::Code;
use crate::domain::stop::StopSchedule;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// A refusal at the gate: its code and how long to wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GateRefusal {
    pub code: Code,
    pub wait: Duration,
}

/// What ends a request's wait at a gate, or changes how long it may last.
enum GateEvent {
    Called(Option<Dequeued>),
    Expired,
    StopChanged,
}

/// A permit to run, issued by a gate and released when dropped.
pub(super) struct GatePermit<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    index: Arc<str>,
    team: Arc<str>,
    entered: Instant,
    /// Whether the request's objective had already passed when it arrived. Such a request keeps its
    /// permit to the end, since few of them run at a time.
    pub late: bool,
    /// How congested the upstreams were; none until the request has run to its end.
    congestion: Option<Congestion>,
}

impl<U: Upstreams, P: Peers, C: Clock> GatePermit<U, P, C> {
    /// Releases the permit and reports how congested the upstreams were.
    pub fn release(mut self, congestion: Congestion) {
        self.congestion = Some(congestion);
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for GatePermit<U, P, C> {
    fn drop(&mut self) {
        let now = self.worker.ports.clock.now();
        let took = now.saturating_duration_since(self.entered);
        self.worker.leave_gate(&self.index, &self.team, took, self.congestion, now);
    }
}

/// A place in a gate's queue, given up when dropped.
struct QueueGuard<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    index: Arc<str>,
    team: Arc<str>,
    id: WaiterId,
    calls: Receiver<Dequeued>,
    completed: bool,
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for QueueGuard<U, P, C> {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        let worker = &self.worker;
        worker.waiters.borrow_mut().remove(&(Arc::clone(&self.index), self.id));
        let dequeued = self.calls.try_recv().ok();
        if matches!(dequeued, Some(Dequeued::Run(_))) {
            let now = worker.ports.clock.now();
            worker.leave_gate(&self.index, &self.team, Duration::ZERO, None, now);
        } else if let Some(gate) = worker.gates.borrow_mut().get_mut(&self.index) {
            gate.cancel(self.id);
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Enters the gate of an index, waiting in its queue while the request can still be run in
    /// time.
    pub(super) async fn enter_gate(
        self: &Rc<Self>,
        index: &Arc<str>,
        arrival: Arrival,
    ) -> Result<GatePermit<U, P, C>, GateRefusal> {
        let now = self.ports.clock.now();
        let entry = {
            let mut gates = self.gates.borrow_mut();
            let gate = gates.entry(Arc::clone(index)).or_insert_with(|| Gate::new(self.settings.gate));
            gate.arrive(&arrival, now)
        };
        match entry {
            Admission::Run => Ok(self.permit(index, &arrival)),
            Admission::Refuse(code, wait) => Err(GateRefusal { code, wait }),
            Admission::Wait(id) => self.wait_at_gate(index, &arrival, id).await,
        }
    }

    fn permit(self: &Rc<Self>, index: &Arc<str>, arrival: &Arrival) -> GatePermit<U, P, C> {
        GatePermit {
            worker: Rc::clone(self),
            index: Arc::clone(index),
            team: Arc::clone(&arrival.team),
            late: arrival.late,
            entered: self.ports.clock.now(),
            congestion: None,
        }
    }

    async fn wait_at_gate(
        self: &Rc<Self>,
        index: &Arc<str>,
        arrival: &Arrival,
        id: WaiterId,
    ) -> Result<GatePermit<U, P, C>, GateRefusal> {
        let (sender, calls) = async_channel::bounded(1);
        self.waiters.borrow_mut().insert((Arc::clone(index), id), sender);
        let mut waiting = QueueGuard {
            worker: Rc::clone(self),
            index: Arc::clone(index),
            team: Arc::clone(&arrival.team),
            id,
            calls: calls.clone(),
            completed: false,
        };
        match self.next_call(index, arrival, &calls).await {
            Some(Dequeued::Run(_)) => {
                waiting.completed = true;
                Ok(self.permit(index, arrival))
            }
            Some(Dequeued::Refuse(_, wait)) => {
                waiting.completed = true;
                Err(GateRefusal { code: Code::TooLate, wait })
            }
            None => Err(GateRefusal { code: Code::TooLate, wait: self.retry_delay(index) }),
        }
    }

    /// Returns how a waiting request leaves its queue; none if its time is up first.
    async fn next_call(
        &self,
        index: &Arc<str>,
        arrival: &Arrival,
        calls: &Receiver<Dequeued>,
    ) -> Option<Dequeued> {
        loop {
            let until = self.wait_until(index, arrival);
            let expired = async {
                self.ports.clock.sleep_until(until).await;
                GateEvent::Expired
            };
            let stopped = async {
                self.stop.changed().await;
                GateEvent::StopChanged
            };
            let called = async { GateEvent::Called(calls.recv().await.ok()) };
            match called.or(expired).or(stopped).await {
                GateEvent::Called(call) => return call,
                GateEvent::Expired => return None,
                GateEvent::StopChanged => {}
            }
        }
    }

    /// Returns until when a request may wait.
    fn wait_until(&self, index: &Arc<str>, arrival: &Arrival) -> Instant {
        let gates = self.gates.borrow();
        let Some(gate) = gates.get(index) else { return arrival.deadline };
        let until = gate.refuse_at(arrival);
        self.stop.schedule().map_or(until, |schedule| until.min(gate.begin_until(schedule.run_until())))
    }

    /// Shortens the deadlines of all waiting requests to what a planned stop leaves.
    pub(super) fn limit_waiters(&self, schedule: StopSchedule) {
        let now = self.ports.clock.now();
        let mut refused = Vec::new();
        for (index, gate) in self.gates.borrow_mut().iter_mut() {
            refused.push((Arc::clone(index), gate.limit_deadlines(schedule.run_until(), now)));
        }
        for (index, calls) in refused {
            self.deliver_calls(&index, calls);
        }
    }

    fn retry_delay(&self, index: &Arc<str>) -> Duration {
        let now = self.ports.clock.now();
        self.gates.borrow_mut().get_mut(index).map_or(Duration::ZERO, |gate| gate.retry_after(now))
    }

    fn leave_gate(
        &self,
        index: &Arc<str>,
        team: &Arc<str>,
        took: Duration,
        congestion: Option<Congestion>,
        now: Instant,
    ) {
        let dequeued = match (self.gates.borrow_mut().get_mut(index), congestion) {
            (Some(gate), Some(congestion)) => gate.complete(team, took, congestion, now),
            (Some(gate), None) => gate.abandon(team, now),
            (None, _) => Vec::new(),
        };
        self.deliver_calls(index, dequeued);
    }

    fn deliver_calls(&self, index: &Arc<str>, calls: Vec<Dequeued>) {
        for call in calls {
            let (Dequeued::Run(id) | Dequeued::Refuse(id, _)) = call;
            let waiter = self.waiters.borrow_mut().remove(&(Arc::clone(index), id));
            if let Some(sender) = waiter {
                let _ = sender.try_send(call);
            }
        }
    }
}
