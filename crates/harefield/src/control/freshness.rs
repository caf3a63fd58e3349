//! Keeping what is in force fresh: a daemon whose proof is overdue asks by itself, so that no
//! change rests on one message, one watch or one daemon.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;

use super::confirm::ASKED;
use super::confirm::Asking;
use super::confirm::ROUND_LIMIT;
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

/// How long asking for what is newer may take: a caller waits for it.
const REFRESH_LIMIT: Duration = Duration::from_millis(500);

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Notes that all that the platform confirmed in a space up to `at` is held here, and
    /// passes it on.
    pub(super) fn prove(&self, space: Space, at: Instant) {
        let news = self.freshness.borrow_mut().entry(space).or_default().record_proof(at);
        if !news {
            return;
        }
        let now = self.ports.clock.now();
        self.reach.borrow_mut().entry(space).or_default().record_proof(at, now);
        if space == Space::Config {
            self.board.record_proof(at);
            self.tell(&ToWorker::Proven(at));
        }
        let Some(proven) = self.proven() else { return };
        let step = self.settings.pace.min_step();
        let due = self.told.get().is_none_or(|told| proven.saturating_duration_since(told) >= step);
        if due && self.joined.get() {
            self.tell_below();
        }
    }

    /// Forgets what was proven of a space: nothing of an earlier era proves that nothing is
    /// missing in a later one.
    pub(super) fn disprove(&self, space: Space) {
        self.freshness.borrow_mut().remove(&space);
    }

    /// Returns up to when nothing is missing in any space; none while one was never
    /// proven.
    fn proven(&self) -> Option<Instant> {
        let freshness = self.freshness.borrow();
        let proven = |space| freshness.get(space).and_then(Freshness::proven);
        let all: Option<Vec<Instant>> = self.spaces().iter().map(proven).collect();
        all?.into_iter().min()
    }

    /// Tells the daemons below this one how far it is.
    pub(super) fn tell_below(&self) {
        self.told.set(self.proven());
        let told = {
            let members = self.members.borrow();
            members.row(&self.settings.own.host).map(|own| children(own, members.rows())).unwrap_or_default()
        };
        self.tell_all(told, |this, _host| this.bare_message());
    }

    /// Returns for how long a change may have been confirmed that is missing here;
    /// none before anything was proven.
    pub(super) fn age(&self, space: Space) -> Option<Duration> {
        let now = self.ports.clock.now();
        self.freshness.borrow().get(&space).and_then(|freshness| freshness.age(now))
    }

    /// Returns the greatest age of all spaces; none while one was never proven.
    fn oldest(&self) -> Option<Duration> {
        let now = self.ports.clock.now();
        self.proven().map(|proven| now.saturating_duration_since(proven))
    }

    /// Returns whether nothing has vouched in time for what is held.
    pub(super) fn is_overdue(&self) -> bool {
        self.oldest().is_none_or(|age| age >= self.settings.pace.overdue_age())
    }

    /// Asks for what is newer whenever the proof of what is held is overdue, until there
    /// is one; says when this daemon cannot vouch for it, and when it can again.
    pub(super) async fn keep_current(self: Rc<Self>) {
        let pace = self.settings.pace;
        let mut behind = false;
        let mut failures: u32 = 0;
        loop {
            let age = self.oldest();
            if let Some(age) = age.filter(|age| *age < pace.overdue_age()) {
                if std::mem::take(&mut behind) {
                    self.emit(self.age_event(false, age));
                }
                failures = 0;
                self.ports.clock.sleep(pace.overdue_age().saturating_sub(age)).await;
                continue;
            }
            if let Some(age) = age.filter(|age| *age > pace.deadline() && !behind) {
                behind = true;
                self.emit(self.age_event(true, age));
            }
            // As far as known here the platform may be away, and who cannot write has not had
            // the time to: upstreams that live would be given up in an outage after a copy.
            self.config.borrow_mut().restart_timer(self.ports.clock.now());
            self.ask_for_newer(failures).await;
            if self.is_overdue() {
                self.ports.clock.sleep(pace.retry_pause(failures)).await;
                failures = failures.saturating_add(1);
            }
        }
    }

    /// Asks the platform for what is newer, once for all that want it by the time the round
    /// begins; says whether nothing that was confirmed by then is missing here.
    pub(super) fn refresh(self: &Rc<Self>, reply: Sender<bool>) {
        self.refreshing.borrow_mut().push(reply);
        if self.refreshing.borrow().len() > 1 {
            return;
        }
        let this = Rc::clone(self);
        let rounds = async move {
            // Those that come while a round is under way want one that began later.
            loop {
                let waiting = this.refreshing.borrow().len();
                let sure = this.refresh_once().await;
                for reply in this.refreshing.borrow_mut().drain(..waiting) {
                    let _ = reply.try_send(sure);
                }
                if this.refreshing.borrow().is_empty() {
                    return;
                }
            }
        };
        self.executor.spawn(rounds).detach();
    }

    async fn refresh_once(self: &Rc<Self>) -> bool {
        let began = self.ports.clock.now();
        let sure = || self.proven().is_some_and(|proven| proven >= began);
        let hosts = if self.was_away() { self.draw_sources(0) } else { Vec::new() };
        let make = |this: &Self, _host: &HostId| this.bare_message();
        self.ask_round(Asking { hosts, platform: true, make, limit: REFRESH_LIMIT }, sure).await;
        sure()
    }

    fn age_event(&self, behind: bool, age: Duration) -> Event {
        let (revision, millis) = (self.revision(Space::Config), millis(age));
        if behind {
            Event::ConfigBehind { revision, millis }
        } else {
            Event::ConfigCurrent { revision, millis }
        }
    }

    /// Asks those that should know for what is newer, until there is a proof. Daemons that
    /// do not read ask the platform only where a round before brought none: it
    /// would be called by all of them at once.
    async fn ask_for_newer(self: &Rc<Self>, before: u32) {
        let platform = (before > 0 || self.is_reader()) && !self.asked_platform();
        let hosts = self.draw_sources(before);
        // How far each of them is, and no more: rounds go on through an outage.
        let make = |this: &Self, _host: &HostId| this.bare_message();
        let asking = Asking { hosts, platform, make, limit: ROUND_LIMIT };
        self.ask_round(asking, || !self.is_overdue()).await;
    }

    /// Returns whether the platform was asked a moment ago.
    fn asked_platform(&self) -> bool {
        let recent = self.settings.pace.retry_pause(0);
        let now = self.ports.clock.now();
        self.asked.get().is_some_and(|asked| now.saturating_duration_since(asked) < recent)
    }

    /// Returns daemons that should know what is newer; any that are known where those are
    /// few.
    fn draw_sources(&self, round: u32) -> Vec<HostId> {
        let mut hosts = {
            let members = self.members.borrow();
            let round = usize::try_from(round).unwrap_or_default();
            let own = members.row(&self.settings.own.host);
            own.map(|own| pull_sources(own, members.rows(), ASKED, round)).unwrap_or_default()
        };
        let others = self.draw_peers(ASKED).into_iter().filter(|host| !hosts.contains(host));
        let others: Vec<HostId> = others.take(ASKED.saturating_sub(hosts.len())).collect();
        hosts.extend(others);
        hosts
    }
}
