//! Keeping the data in force fresh. A daemon whose proof of freshness is overdue sends queries
//! itself, so that no change depends on one message, one watch or one daemon.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;

use super::confirm::QueryRound;
use super::confirm::ROUND_PEERS;
use super::confirm::ROUND_TIMEOUT;
use super::duty::Control;
use crate::domain::event::Event;
use crate::domain::freshness::Freshness;
use crate::domain::ids::HostId;
use crate::domain::readers::children;
use crate::domain::readers::pull_sources;
use crate::domain::time::millis;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;

/// How long a refresh may take, since a caller waits for it.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Records that everything that the platform confirmed in a space up to `at` is held here, and
    /// passes the proof on.
    pub(super) fn record_proof(&self, space: Space, at: Instant) {
        let newer = self.freshness.borrow_mut().entry(space).or_default().record_proof(at);
        if !newer {
            return;
        }
        let now = self.ports.clock.now();
        self.reachability.borrow_mut().entry(space).or_default().record_proof(at, now);
        if space == Space::Config {
            self.outages.borrow_mut().record_proof(at, now);
            self.board.record_proof(at);
            self.send_workers(&ToWorker::Proven(at));
        }
        let Some(proven) = self.proven() else { return };
        let step = self.settings.freshness.min_step();
        let due = self.last_sent.get().is_none_or(|sent| proven.saturating_duration_since(sent) >= step);
        if due && self.joined.get() {
            self.notify_children();
        }
    }

    /// Clears the proof of a space: data of an earlier era does not prove that nothing is missing
    /// in a later one.
    pub(super) fn clear_proof(&self, space: Space) {
        self.freshness.borrow_mut().remove(&space);
    }

    /// Returns the time up to which nothing is missing in any space. `None` until all have been
    /// proven once.
    fn proven(&self) -> Option<Instant> {
        let freshness = self.freshness.borrow();
        let proven = |space| freshness.get(space).and_then(Freshness::proven);
        let all: Option<Vec<Instant>> = self.spaces().iter().map(proven).collect();
        all?.into_iter().min()
    }

    /// Sends the marks of this daemon to its children.
    pub(super) fn notify_children(&self) {
        self.last_sent.set(self.proven());
        self.freshness.borrow_mut().values_mut().for_each(Freshness::record_sent);
        let children = {
            let members = self.members.borrow();
            members.row(&self.settings.own.host).map(|own| children(own, members.rows())).unwrap_or_default()
        };
        self.send_all(children, |this, _host| this.marks_message());
    }

    /// Returns how long ago the oldest change may have been confirmed that is missing here. `None`
    /// before the first proof.
    pub(super) fn age(&self, space: Space) -> Option<Duration> {
        let now = self.ports.clock.now();
        self.freshness.borrow().get(&space).and_then(|freshness| freshness.age(now))
    }

    /// Returns the age by which the next proof of a space is due here, for this daemon and for those
    /// that it passes proofs on to. `None` before the first proof.
    ///
    /// Measured by this daemon's own proof alone, a proof that followed a change, 0.5 s newer than
    /// the one before and so not passed on, left the others without a new one for 2.9 s instead of
    /// 2.4 s.
    pub(super) fn renewal_age(&self, space: Space) -> Option<Duration> {
        let (step, now) = (self.settings.freshness.min_step(), self.ports.clock.now());
        self.freshness.borrow().get(&space).and_then(|freshness| freshness.renewal_age(step, now))
    }

    /// Returns the greatest age of all spaces. `None` until all have been proven once.
    fn max_age(&self) -> Option<Duration> {
        let now = self.ports.clock.now();
        self.proven().map(|proven| now.saturating_duration_since(proven))
    }

    /// Returns whether the proof of what is held is overdue or missing.
    pub(super) fn is_overdue(&self) -> bool {
        self.max_age().is_none_or(|age| age >= self.settings.freshness.overdue_age())
    }

    /// Queries for updates whenever the proof of what is held is overdue, until there is a new one.
    /// Emits an event when this daemon misses the deadline, and when it is current again.
    pub(super) async fn keep_current(self: Rc<Self>) {
        let schedule = self.settings.freshness;
        let mut behind = false;
        let mut failures: u32 = 0;
        loop {
            let age = self.max_age();
            if let Some(age) = age.filter(|age| *age < schedule.overdue_age()) {
                if std::mem::take(&mut behind) {
                    self.emit(self.age_event(false, age));
                }
                failures = 0;
                self.ports.clock.sleep(schedule.overdue_age().saturating_sub(age)).await;
                continue;
            }
            if let Some(age) = age.filter(|age| *age > schedule.deadline() && !behind) {
                behind = true;
                self.emit(self.age_event(true, age));
            }
            // As far as known here the platform may be unreachable, and upstreams that cannot write
            // have not had the time to. Without the restart, live upstreams would be treated as
            // gone in an outage that follows a restore.
            self.config.borrow_mut().restart_timer(self.ports.clock.now());
            self.query_newer(failures).await;
            if self.is_overdue() {
                self.ports.clock.sleep(schedule.retry_pause(failures)).await;
                failures = failures.saturating_add(1);
            }
        }
    }

    /// Queries the platform for updates, once for all requests that are waiting when the round
    /// begins. Replies whether nothing that was confirmed by then is missing here.
    pub(super) fn refresh(self: &Rc<Self>, reply: Sender<bool>) {
        self.refresh_waiters.borrow_mut().push(reply);
        if self.refresh_waiters.borrow().len() > 1 {
            return;
        }
        let this = Rc::clone(self);
        let refresh = async move {
            // Requests that arrive during a round need one that began later.
            loop {
                let waiting = this.refresh_waiters.borrow().len();
                let is_current = this.refresh_once().await;
                for reply in this.refresh_waiters.borrow_mut().drain(..waiting) {
                    let _ = reply.try_send(is_current);
                }
                if this.refresh_waiters.borrow().is_empty() {
                    return;
                }
            }
        };
        self.executor.spawn(refresh).detach();
    }

    async fn refresh_once(self: &Rc<Self>) -> bool {
        let started = self.ports.clock.now();
        let is_current = || self.proven().is_some_and(|proven| proven >= started);
        let hosts = if self.platform_unreachable() { self.draw_sources(0) } else { Vec::new() };
        let make = |this: &Self, _host: &HostId| this.marks_message();
        self.run_round(QueryRound { hosts, platform: true, make, timeout: REFRESH_TIMEOUT }, is_current)
            .await;
        is_current()
    }

    fn age_event(&self, behind: bool, age: Duration) -> Event {
        let (revision, millis) = (self.revision(Space::Config), millis(age));
        if behind {
            Event::ConfigBehind { revision, millis }
        } else {
            Event::ConfigCurrent { revision, millis }
        }
    }

    /// Queries the daemons that are expected to be current for updates, until there is a proof.
    /// Daemons that are not readers query the platform only if the round before brought none, since
    /// otherwise all of them would call it at once.
    async fn query_newer(self: &Rc<Self>, failures: u32) {
        let platform = (failures > 0 || self.is_reader()) && !self.queried_recently();
        let hosts = self.draw_sources(failures);
        // Sends only the marks, since rounds continue throughout an outage.
        let make = |this: &Self, _host: &HostId| this.marks_message();
        let round = QueryRound { hosts, platform, make, timeout: ROUND_TIMEOUT };
        self.run_round(round, || !self.is_overdue()).await;
    }

    /// Returns whether the platform was queried a moment ago.
    fn queried_recently(&self) -> bool {
        let recent = self.settings.freshness.retry_pause(0);
        let now = self.ports.clock.now();
        self.last_query.get().is_some_and(|at| now.saturating_duration_since(at) < recent)
    }

    /// Returns daemons that are expected to be current, filled up with random known ones.
    fn draw_sources(&self, round: u32) -> Vec<HostId> {
        let mut hosts = {
            let members = self.members.borrow();
            let round = usize::try_from(round).unwrap_or_default();
            let own = members.row(&self.settings.own.host);
            own.map(|own| pull_sources(own, members.rows(), ROUND_PEERS, round)).unwrap_or_default()
        };
        let others = self.draw_peers(ROUND_PEERS).into_iter().filter(|host| !hosts.contains(host));
        let others: Vec<HostId> = others.take(ROUND_PEERS.saturating_sub(hosts.len())).collect();
        hosts.extend(others);
        hosts
    }
}
