//! In scheduled indexes, first attempts and retries wait in the queue of their shard while the
//! replicas have no free capacity or another request precedes them.

use std::time::Duration;
use std::time::Instant;

use super::context::StepContext;
use super::machine::Fanout;
use super::shard::Action;
use crate::domain::dispatch::Ticket;
use crate::domain::dispatch::Waiter;
use crate::domain::event::Sink;
use crate::domain::ids::FanoutId;
use crate::domain::outcome::Gap;
use crate::domain::routing::Exclusion;
use crate::domain::routing::ExclusionEnd;
use crate::domain::routing::Router;

/// How often a waiting shard checks again without being notified, so that a lost notification adds
/// no more delay than this.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(10);

/// The least expected work of a request, so that a kind whose latency is measured as zero still
/// uses up the share of its rank.
const MIN_COST: Duration = Duration::from_micros(100);

impl Fanout {
    /// Returns its name in the wait queues; `None` before it starts and where the index isn't
    /// scheduled.
    #[must_use]
    pub fn id(&self) -> Option<FanoutId> {
        self.id
    }

    /// Handles the notification that it may be a waiting shard's turn.
    pub fn on_turn(
        &mut self,
        shard: usize,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
    ) -> Vec<Action> {
        let mut step = StepContext::new(now, router, sink);
        if self.queued.contains(&shard) && self.shards[shard].is_open() {
            self.retry_or_suspend(shard, &mut step);
        }
        step.actions
    }

    /// Gets the fan-out a name in the wait queues if its index is scheduled. It is decided once, when
    /// the fan-out starts: the caller then arranges that its tickets are given up, and a change of
    /// the view leaves none behind.
    pub(super) fn join_dispatch(&mut self, router: &mut Router) {
        if router.schedules(&self.plan.index) {
            self.id = Some(router.dispatch_mut().next_id());
        }
    }

    fn ticket(&self, shard: usize) -> Option<Ticket> {
        Some(Ticket { fanout: self.id?, shard })
    }

    fn waiter(&self, shard: usize, router: &Router) -> Option<Waiter> {
        Some(Waiter {
            ticket: self.ticket(shard)?,
            rank: self.rules.rank,
            due: Some(self.rules.cutoff.unwrap_or(self.rules.deadline)),
            cost: router.latency(&self.rules.kind).mean().max(MIN_COST),
        })
    }

    /// Checks that sending an attempt on a shard would overtake no waiter.
    ///
    /// It is checked before a replica is chosen: with thousands of waiting shards, choosing at each
    /// check would take a noticeable part of a core.
    ///
    /// # Errors
    ///
    /// Returns the exclusion where another waiter precedes this one.
    pub(super) fn check_turn<S: Sink>(
        &self,
        shard: usize,
        step: &mut StepContext<'_, S>,
    ) -> Result<(), Exclusion> {
        let Some(waiter) = self.waiter(shard, step.router) else { return Ok(()) };
        let (name, now) = (&self.plan.shards[shard].shard, step.now);
        let dispatch = step.router.dispatch_mut();
        if dispatch.goes_first(name, &waiter, now) {
            return Ok(());
        }
        if !self.queued.contains(&shard) {
            // The one that precedes it may not have been notified of free capacity.
            dispatch.notify(name, now);
        }
        Err(Exclusion { gap: Gap::Overloaded, until: ExclusionEnd::Soon })
    }

    /// Returns how many other requests wait for a shard. All of them gain where this one is sent to
    /// a far replica with a free slot, so they count towards the wait for the near one.
    pub(super) fn waiting_others(&self, shard: usize, router: &Router) -> u32 {
        let others = |ticket| router.dispatch().others(&self.plan.shards[shard].shard, ticket);
        self.ticket(shard).map_or(0, |ticket| u32::try_from(others(ticket)).unwrap_or(u32::MAX))
    }

    /// Returns whether a hedge or probe must not be sent because requests wait for the shard.
    pub(super) fn yields_to_waiters<S>(&self, shard: usize, step: &StepContext<'_, S>) -> bool {
        self.id.is_some() && step.router.dispatch().has_waiters(&self.plan.shards[shard].shard)
    }

    /// Makes a shard wait in the queue if the exclusion is for lack of capacity; returns whether it
    /// does. Other exclusions don't end when a request in flight does, so the shard leaves the
    /// queue.
    pub(super) fn wait_turn<S: Sink>(
        &mut self,
        shard: usize,
        exclusion: Exclusion,
        step: &mut StepContext<'_, S>,
    ) -> bool {
        let Some(waiter) = self.waiter(shard, step.router) else { return false };
        let check_at = match exclusion.until {
            ExclusionEnd::Soon if exclusion.gap == Gap::Overloaded => step.now + FALLBACK_INTERVAL,
            ExclusionEnd::At(at) if exclusion.gap == Gap::Overloaded => at,
            _ => {
                self.leave_queue(shard, step);
                return false;
            }
        };
        let name = &self.plan.shards[shard].shard;
        let restricted = self.is_restricted(shard, step.router);
        let dispatch = step.router.dispatch_mut();
        dispatch.wait(name, waiter, step.now);
        if restricted && dispatch.goes_first(name, &waiter, step.now) {
            dispatch.pass(name, waiter.ticket, step.now);
        }
        self.queued.insert(shard);
        self.shards[shard].retry_at = Some(check_at.min(self.rules.deadline));
        true
    }

    /// Returns whether the next attempt on a shard may use some of its replicas only. Others that
    /// wait for the shard may then find free capacity where this one doesn't.
    fn is_restricted(&self, shard: usize, router: &Router) -> bool {
        let (state, plan) = (&self.shards[shard], &self.plan.shards[shard]);
        let tried = !state.failed.is_empty() || !state.unfit.is_empty();
        tried || state.named_only().is_some() || plan.replicas.len() < router.replica_count(&plan.shard)
    }

    /// Takes a shard whose attempt is sent out of the queue, and charges its work.
    pub(super) fn take_turn<S: Sink>(&mut self, shard: usize, step: &mut StepContext<'_, S>) {
        if let Some(waiter) = self.waiter(shard, step.router) {
            self.queued.remove(&shard);
            step.router.dispatch_mut().start(&self.plan.shards[shard].shard, &waiter, step.now);
        }
    }

    /// Gives up the ticket of a shard.
    pub(super) fn leave_queue<S: Sink>(&mut self, shard: usize, step: &mut StepContext<'_, S>) {
        if self.queued.remove(&shard)
            && let Some(ticket) = self.ticket(shard)
        {
            step.router.dispatch_mut().leave(&self.plan.shards[shard].shard, ticket, step.now);
        }
    }
}
