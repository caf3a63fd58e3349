//! Applies the control duty's messages to a worker, and maintains the lease on what the worker
//! knows.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;

use super::message::PeerView;
use super::message::ToControl;
use super::message::ToWorker;
use super::worker::Worker;
use crate::domain::cell::rank;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::HostId;
use crate::domain::lease::RENEW_EVERY;
use crate::domain::lease::Renewal;
use crate::domain::routing::rerun_quota;
use crate::domain::time::millis;
use crate::domain::view::View;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Applies messages from the control duty until their channel is closed.
    pub async fn listen(self: Rc<Self>, messages: Receiver<ToWorker>) {
        while let Ok(message) = messages.recv().await {
            self.apply(message);
        }
    }

    /// Applies one message from the control duty.
    pub fn apply(&self, message: ToWorker) {
        match message {
            ToWorker::View(view) => self.apply_view(view),
            ToWorker::Announcements(announcements) => {
                self.router.borrow_mut().merge_announcements(&announcements);
            }
            ToWorker::Suspects(suspects) => self.merge_suspects(&suspects),
            ToWorker::Peers(peers) => self.apply_peers(peers),
            ToWorker::Confirmed(confirmed) => self.confirm(confirmed.started),
            ToWorker::Proven(at) => self.proven.set(self.proven.get().max(Some(at))),
            ToWorker::Stop(schedule) => self.begin_stop(schedule),
        }
    }

    fn apply_peers(&self, peers: Arc<PeerView>) {
        let known = u32::try_from(peers.rows.len()).unwrap_or(u32::MAX);
        self.known_daemons.set(self.known_daemons.get().max(known));
        if self.settings.slack.is_some() {
            self.router.borrow_mut().set_daemons(self.known_daemons.get());
        }
        self.holders.borrow_mut().update(&peers.rows, self.ports.clock.now());
        let has_peers = peers.rows.iter().any(|row| row.host != self.settings.host);
        self.peer_seen.set(self.peer_seen.get() || has_peers);
        let others = peers.rows.iter().filter(|row| row.host != self.settings.host);
        self.router.borrow_mut().update_daemons(others);
        let mut history = self.history.get();
        history.update(&peers.rows, Duration::from_micros(self.ports.clock.wall()));
        self.history.set(history);
        *self.peers.borrow_mut() = peers;
    }

    fn apply_view(&self, view: Arc<View>) {
        self.router.borrow_mut().apply(&view, self.ports.clock.now());
        self.deliver_turns();
        self.ports.upstreams.keep_only(|name| view.upstreams.contains_key(name));
        let mut gates = self.gates.borrow_mut();
        gates.retain(|index, gate| view.cells.contains_key(index) || gate.running() > 0);
        self.part_credits.borrow_mut().retain(|name, _| view.lookups.contains_key(name));
        self.reply_sizes.borrow_mut().retain(|name, _| view.lookups.contains_key(name));
        self.answer_times.borrow_mut().retain(|name, _| view.lookups.contains_key(name));
        self.time_limits.borrow_mut().retain(|name, _| view.lookups.contains_key(name));
        if !Arc::ptr_eq(&self.view.borrow().directory, &view.directory) {
            self.unknown_keys.borrow_mut().clear();
            self.reserves.borrow_mut().retain(|name, _| view.directory.client(name).is_some());
        }
        self.limit_reruns(&view);
        *self.view.borrow_mut() = view;
    }

    /// Limits what whole requests that are forwarded a second time may add here, by the largest
    /// cell that this daemon is in.
    fn limit_reruns(&self, view: &View) {
        let Some(slack) = self.settings.slack else { return };
        let own = &self.settings.host;
        let part = |cell: &Arc<[HostId]>| {
            let members = u32::try_from(cell.len()).unwrap_or(u32::MAX);
            rerun_quota(slack, members, rank(cell.iter(), own))
        };
        let cells = view.cells.values().filter(|cell| cell.contains(own));
        let least = cells.map(part).min_by(f64::total_cmp);
        self.rerun_budget
            .borrow_mut()
            .set_cap(least.unwrap_or_else(|| rerun_quota(slack, self.known_daemons.get(), 0)));
    }

    /// Renews the lease on a short timer, and asks for a confirmation after a pause. Sends evidence
    /// again that the control duty could not take.
    pub async fn keep_lease(self: Rc<Self>) {
        loop {
            self.renew();
            self.resend_evidence();
            self.ports.clock.sleep(RENEW_EVERY).await;
        }
    }

    /// Renews the lease once.
    pub fn renew(&self) {
        let now = self.ports.clock.now();
        let renewal = self.router.borrow_mut().lease_mut().renew(now);
        if let Renewal::Lapsed(gap) = renewal {
            self.duty_trace().emit(Event::Paused { millis: millis(gap) });
        }
        if !self.router.borrow().lease().held(now) {
            drop(self.control.try_send(ToControl::Unconfirmed));
        }
    }

    fn confirm(&self, requested: Instant) {
        let now = self.ports.clock.now();
        let mut router = self.router.borrow_mut();
        let before = router.lease().held(now);
        router.lease_mut().confirm(requested, now);
        let after = router.lease().held(now);
        drop(router);
        if after && !before {
            let took = now.saturating_duration_since(requested);
            self.duty_trace().emit(Event::Confirmed { millis: millis(took) });
        }
    }
}
