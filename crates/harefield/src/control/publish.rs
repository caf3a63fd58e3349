//! What the control duty publishes to the workers and operators: the view, the state of other
//! daemons, and the announcements of upstreams.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use super::duty::Control;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::cell::Candidate;
use crate::domain::event::Event;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;
use crate::domain::outages::GRACE;
use crate::domain::revision::Revision;
use crate::domain::time::micros;
use crate::domain::time::millis;
use crate::domain::view::View;
use crate::domain::view::ViewInputs;
use crate::engine::PeerView;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;
use crate::telemetry::ConfigStatus;

/// Why a view is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewCause {
    /// The configuration or the host list changed.
    Update,
    /// The daemons that cells are assigned among changed.
    Fleet,
    /// The time is over for which a value or an upstream was kept.
    Expiry,
}

impl ViewCause {
    fn name(self) -> &'static str {
        match self {
            Self::Update => "update",
            Self::Fleet => "fleet",
            Self::Expiry => "expiry",
        }
    }
}

/// Where a change came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin<'a> {
    /// The platform or a daemon.
    pub(super) from: &'a str,
    /// How long the transfer from a daemon took.
    pub(super) transfer: Duration,
    /// When it had arrived.
    pub(super) received: Instant,
}

impl Origin<'_> {
    /// Returns the origin of a change that was read from the platform.
    pub(super) fn platform(received: Instant) -> Self {
        Self { from: "platform", transfer: Duration::ZERO, received }
    }
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Computes the view and sends it to the workers.
    pub(super) fn publish(self: &Rc<Self>, cause: ViewCause) {
        self.board.metrics().count_view(cause.name());
        *self.fleet.borrow_mut() = self.candidates();
        let view = Arc::new(self.next_view());
        *self.view.borrow_mut() = Arc::clone(&view);
        self.send_workers(&ToWorker::View(view));
        self.publish_peers();
        self.publish_config();
        self.schedule_removal();
        self.schedule_expiry();
    }

    fn next_view(&self) -> View {
        let config = self.config.borrow();
        let now = self.ports.clock.now();
        let set =
            self.recently_removed.borrow_mut().patch(config.set(), self.outages.borrow().lapse(now), now);
        self.view.borrow().next(&ViewInputs {
            own: &self.settings.own.host,
            revision: config.revision(),
            set: &set,
            hosts_revision: self.hosts.borrow().revision(),
            hosts: &self.host_list.borrow(),
            fleet: &self.fleet.borrow(),
            size: self.settings.cell_size,
            topology: &self.settings.topology,
            cold: self.settings.cold_bounds,
            require_keys: self.settings.require_keys,
        })
    }

    /// Returns the daemons that cells are assigned among, in a stable order. Empty if the platform
    /// lists the daemons.
    fn candidates(&self) -> Vec<Candidate> {
        let members = self.members.borrow();
        // A daemon that is stopping still completes its requests in progress.
        let own = &self.settings.own.host;
        let stays = |row: &&MemberRow| row.host == *own || row.state != PeerState::Leaving;
        let present = members.rows().filter(|row| !self.settings.lists_daemons && stays(row));
        let candidate = |row: &MemberRow| Candidate {
            host: Arc::clone(&row.host),
            zone: Arc::clone(&row.zone),
            capacity: row.capacity,
            live: row.state == PeerState::Live,
        };
        present.map(candidate).collect()
    }

    /// Publishes the state of the daemons to the workers, with a new view if other daemons become
    /// members of the cells.
    pub(super) fn members_changed(self: &Rc<Self>) {
        let candidates = self.candidates();
        let changed = *self.fleet.borrow() != candidates && !self.view.borrow().keeps_cells(&candidates);
        if changed && self.joined.get() {
            self.publish(ViewCause::Fleet);
        } else {
            self.publish_peers();
        }
    }

    /// Sends a message to every worker. Their channels are long enough for what control sends.
    pub(super) fn send_workers(&self, message: &ToWorker) {
        for worker in &self.workers {
            if worker.try_send(message.clone()).is_err() {
                warn!("the channel of a worker is full or closed");
            }
        }
    }

    /// Sends the state of all daemons to the workers and the status page.
    pub(super) fn publish_peers(&self) {
        let rows: Vec<MemberRow> = self.members.borrow().rows().cloned().collect();
        self.board.status().peers.clone_from(&rows);
        self.send_workers(&ToWorker::Peers(Arc::new(PeerView { rows })));
    }

    /// Merges announcements of upstreams, and sends the newer ones to the workers.
    pub(super) fn merge_announcements(&self, announcements: &[NamedAnnouncement]) {
        let newer = self.announcements.borrow_mut().merge(announcements);
        if !newer.is_empty() {
            self.send_workers(&ToWorker::Announcements(newer.into()));
        }
    }

    /// Merges rows of daemons received from a peer, and publishes those that were newer.
    pub(super) fn merge_rows(self: &Rc<Self>, rows: &[MemberRow]) {
        let newer = self.members.borrow_mut().merge(rows);
        for row in &newer {
            let (host, state) = (Arc::clone(&row.host), row.state.to_string());
            self.emit(Event::PeerSeen { host, state });
        }
        if !newer.is_empty() {
            self.members_changed();
        }
    }

    /// Shows operators which configuration is in force.
    pub(super) fn publish_config(&self) {
        let config = self.config.borrow();
        let refused = config.rejected();
        self.board.metrics().set_rejected(refused.is_some());
        self.board.put_set(Arc::clone(config.set()));
        self.board.status().config = ConfigStatus {
            revision: config.revision(),
            seen: config.seen(),
            refused: refused.map(|r| r.revision),
            faults: refused.map(|r| r.faults.clone()).unwrap_or_default(),
            listed: self.hosts.borrow().revision(),
        };
    }

    /// Returns whether the platform does not respond for the configuration, or recovered less than
    /// [`GRACE`] ago.
    pub(super) fn platform_unreachable(&self) -> bool {
        let reachability = self.reachability.borrow().get(&Space::Config).copied().unwrap_or_default();
        reachability.was_unreachable(self.ports.clock.now(), GRACE)
    }

    /// Publishes the view again once the next kept upstream is treated as gone.
    pub(super) fn schedule_removal(self: &Rc<Self>) {
        let Some(until) = self.recently_removed.borrow().next_removal() else { return };
        if self.removal_pending.replace(true) {
            return;
        }
        let this = Rc::clone(self);
        let wait = async move {
            this.ports.clock.sleep_until(until).await;
            this.removal_pending.set(false);
            this.publish(ViewCause::Expiry);
        };
        self.executor.spawn(wait).detach();
    }

    /// Reports a revision of the configuration that came into force.
    pub(super) fn report_accepted(&self, revision: Revision, origin: Origin<'_>) {
        let Origin { from, transfer, received } = origin;
        info!("revision {revision} is in force, from {from}");
        self.emit(Event::ConfigAccepted {
            revision,
            from: from.to_owned(),
            size: self.config.borrow_mut().take_accepted_size(),
            transfer: millis(transfer),
            micros: micros(self.ports.clock.now().saturating_duration_since(received)),
        });
    }
}
