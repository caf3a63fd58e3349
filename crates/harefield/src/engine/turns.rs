//! Wakes the running fan-outs whose shards are next in the wait queues.

use std::rc::Rc;

use async_channel::Sender;

use super::attempt::CompletedAttempt;
use super::worker::Worker;
use crate::domain::ids::FanoutId;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// Registers a running fan-out until dropped, so that it can be woken. Its tickets are given up
/// then, also when its caller has gone.
pub(super) struct TurnGuard<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    fanout: FanoutId,
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for TurnGuard<U, P, C> {
    fn drop(&mut self) {
        self.worker.turns.borrow_mut().remove(&self.fanout);
        let now = self.worker.ports.clock.now();
        self.worker.router.borrow_mut().dispatch_mut().leave_all(self.fanout, now);
        self.worker.deliver_turns();
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Registers a fan-out that has a name in the wait queues.
    pub(super) fn register_turns(
        self: &Rc<Self>,
        fanout: Option<FanoutId>,
        sender: &Sender<CompletedAttempt>,
    ) -> Option<TurnGuard<U, P, C>> {
        let fanout = fanout?;
        self.turns.borrow_mut().insert(fanout, sender.clone());
        Some(TurnGuard { worker: Rc::clone(self), fanout })
    }

    /// Wakes the fan-outs whose waiters were marked as ready. To be called after each event that may
    /// free capacity.
    ///
    /// A notification is dropped while a fan-out's channel is half full: the outcomes of its
    /// attempts must have room, and it checks on its own soon.
    pub(super) fn deliver_turns(&self) {
        let ready = self.router.borrow_mut().dispatch_mut().take_ready();
        let turns = self.turns.borrow();
        for ticket in ready {
            let Some(sender) = turns.get(&ticket.fanout) else { continue };
            if sender.capacity().is_none_or(|capacity| sender.len() * 2 < capacity) {
                drop(sender.try_send(CompletedAttempt::Turn { shard: ticket.shard }));
            }
        }
    }
}
