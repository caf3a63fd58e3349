//! Gossip with other daemons: exchanges at a regular interval, and at once after a change.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::duty::Control;
use super::reader::BATCH_PAUSE;
use crate::domain::event::Event;
use crate::domain::ids::HostId;
use crate::domain::topology::Distance;
use crate::ports::Clock;
use crate::ports::Exchange;
use crate::ports::Mark;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Pull;

/// How many daemons an update is sent to at once.
const RELAY_WIDTH: usize = 3;

/// How many daemons are contacted in one gossip round.
const ROUND_WIDTH: usize = 1;

/// How long one exchange may take.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a daemon that watches the platform, or expects the update from its zone, waits before
/// it pulls what another daemon already has: the same update is on its way, and a configuration may
/// be large. It is a small part of the 3 s within which a change has to be in force.
const PULL_DELAY: Duration = Duration::from_millis(400);

/// How long a pull may take until its answer begins, and how long the answer may make no progress.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the peer of a gossip round may be in another availability zone of the region
/// (`REGION_SHARE`), or anywhere (`ANYWHERE_SHARE`). Of ten daemons in a zone that gossip once a
/// second, two exchange updates with the region and one with any zone.
const REGION_SHARE: f64 = 0.2;
const ANYWHERE_SHARE: f64 = 0.1;

/// Converts a number drawn from 0..1 into how far away the next peer may be.
fn draw_distance(draw: f64) -> Distance {
    if draw < ANYWHERE_SHARE {
        Distance::Far
    } else if draw < ANYWHERE_SHARE + REGION_SHARE {
        Distance::Region
    } else {
        Distance::Near
    }
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Exchanges updates with a few daemons in each round.
    pub(super) async fn gossip(self: Rc<Self>) {
        loop {
            for host in self.draw_peers(ROUND_WIDTH) {
                let this = Rc::clone(&self);
                self.executor
                    .spawn(async move {
                        let _answered = this.exchange_with(&host).await;
                    })
                    .detach();
            }
            let jitter = rand::rng().random_range(0.8..1.2);
            self.ports.clock.sleep(self.settings.gossip_interval.mul_f64(jitter)).await;
        }
    }

    /// Sends only the marks of this daemon to a few others at once; they pull what is newer.
    pub(super) fn relay_marks(&self) {
        self.relay_to(|this, _host| this.marks_message());
    }

    /// Sends what is known here to a few daemons at once.
    pub(super) fn relay(&self) {
        self.relay_to(Self::message);
    }

    pub(super) fn relay_to(&self, make: impl Fn(&Self, &HostId) -> Exchange) {
        self.send_all(self.draw_peers(RELAY_WIDTH), make);
    }

    /// Sends a message to each of several daemons at once, without waiting for their replies.
    pub(super) fn send_all(&self, hosts: Vec<HostId>, make: impl Fn(&Self, &HostId) -> Exchange) {
        for host in hosts {
            let message = make(self, &host);
            let peers = self.ports.peers.clone();
            let send = async move {
                let _reply = peers.exchange(&host, &message, EXCHANGE_TIMEOUT).await;
            };
            self.executor.spawn(send).detach();
        }
    }

    pub(super) fn draw_peers(&self, count: usize) -> Vec<HostId> {
        self.draw_near(self.others(), count)
    }

    /// Returns all other daemons that are known, listed or configured as seeds.
    pub(super) fn others(&self) -> Vec<HostId> {
        let mut peers = self.members.borrow().peers();
        let listed = self.host_list.borrow().daemons();
        let known: Vec<HostId> = self.seeds.borrow().iter().chain(&listed).map(Arc::clone).collect();
        for host in known {
            if host != self.settings.own.host && !peers.contains(&host) {
                peers.push(host);
            }
        }
        peers
    }

    /// Draws daemons, most of them from the own availability zone, since traffic between zones is
    /// expensive and traffic between regions even more so. A few from elsewhere are enough, since
    /// each zone has daemons that watch the platform.
    fn draw_near(&self, mut peers: Vec<HostId>, count: usize) -> Vec<HostId> {
        let mut random = rand::rng();
        let mut drawn = Vec::new();
        while drawn.len() < count && !peers.is_empty() {
            let max_distance = draw_distance(random.random());
            let within: Vec<usize> =
                (0..peers.len()).filter(|at| self.is_within(&peers[*at], max_distance)).collect();
            let at =
                within.choose(&mut random).copied().unwrap_or_else(|| random.random_range(0..peers.len()));
            drawn.push(peers.swap_remove(at));
        }
        drawn
    }

    fn is_within(&self, host: &HostId, max_distance: Distance) -> bool {
        self.distance_of(host) <= max_distance
    }

    /// Returns how far away a daemon is.
    pub(super) fn distance_of(&self, host: &HostId) -> Distance {
        let members = self.members.borrow();
        // A daemon that is not known yet, such as a seed, may be in any zone.
        let zone = members.row(host).map_or("", |row| &row.zone);
        self.settings.topology.distance(zone)
    }

    /// Exchanges updates with one daemon; returns whether it answered.
    pub(super) async fn exchange_with(self: &Rc<Self>, host: &HostId) -> bool {
        let message = self.message(host);
        self.send_exchange(host, message).await
    }

    /// Sends a message to one daemon and merges its reply; returns whether it answered.
    pub(super) async fn send_exchange(self: &Rc<Self>, host: &HostId, message: Exchange) -> bool {
        let started = self.ports.clock.now();
        let reply = self.ports.peers.exchange(host, &message, EXCHANGE_TIMEOUT).await;
        let Ok(reply) = reply else {
            self.record_unanswered(host);
            return false;
        };
        self.merge_exchange(&reply, started).await;
        true
    }

    /// Merges a message that a daemon sent at `at` or later, and pulls what it has that is newer.
    pub(super) async fn merge_exchange(self: &Rc<Self>, received: &Exchange, at: Instant) {
        self.hybrid.borrow_mut().receive(self.ports.clock.wall(), received.stamp);
        self.merge_rows(&received.rows);
        self.merge_announcements(&received.announcements);
        self.merge_suspects(&received.suspects);
        for mark in &received.marks {
            self.record_mark(mark, &received.from);
            self.pull_newer(&received.from, *mark).await;
            self.accept_proof(*mark, at);
        }
    }

    /// Accepts another daemon's proof of freshness if this daemon has everything that the other one
    /// has.
    fn accept_proof(&self, mark: Mark, at: Instant) {
        let holds =
            mark.revision.is_some_and(|theirs| self.holds(mark.space, theirs)) && !self.is_behind(&mark);
        let age = mark.age.map(Duration::from_millis).filter(|_| holds);
        if let Some(proven) = age.and_then(|age| at.checked_sub(age)) {
            self.record_proof(mark.space, proven);
        }
    }

    async fn pull_newer(self: &Rc<Self>, host: &HostId, mark: Mark) {
        if !self.is_behind(&mark) || self.defers_pull(host) {
            return;
        }
        if mark.revision > self.revision(mark.space) && self.expects_update(host) {
            self.ports.clock.sleep(PULL_DELAY).await;
        }
        self.throttle_pulls().await;
        if !self.is_behind(&mark) {
            return;
        }
        let started = self.ports.clock.now();
        self.last_pull.set(Some(started));
        let (space, retained) = (mark.space, self.retained_mark(mark.space));
        let pull = Pull { space, have: self.revision(space), retained, divided: true };
        if let Ok(news) = self.ports.peers.pull(host, pull, PULL_TIMEOUT).await {
            let transfer = self.ports.clock.now().saturating_duration_since(started);
            self.apply_news(mark.space, news, host, transfer);
        }
    }

    /// Waits until some time after the last pull: each pull transfers all updates there are, and
    /// each results in a new view.
    async fn throttle_pulls(&self) {
        let Some(last) = self.last_pull.get().filter(|_| self.joined.get()) else { return };
        self.ports.clock.sleep_until(last + BATCH_PAUSE).await;
    }

    /// Returns whether this daemon, while it starts, leaves it to the readers of its zone to pull
    /// from another region. Otherwise every daemon of a fleet that starts would transfer the same
    /// data between regions. A daemon that knows no other of its zone does not know who reads, and
    /// waits too.
    fn defers_pull(&self, host: &HostId) -> bool {
        let learning = self.learning_until.get().is_some_and(|until| self.ports.clock.now() < until);
        learning && self.distance_of(host) == Distance::Far && (self.is_alone() || !self.is_reader())
    }

    /// Returns whether no other daemon of the own availability zone is known.
    fn is_alone(&self) -> bool {
        let members = self.members.borrow();
        let own = &self.settings.own;
        !members.rows().any(|row| row.zone == own.zone && row.host != own.host)
    }

    /// Returns whether what a newer daemon has will arrive here without a pull from it: by the
    /// watch, or, if that daemon is in another region, from the daemons of the own zone, which
    /// receive it as well.
    fn expects_update(&self, host: &HostId) -> bool {
        let has_joined = self.joined.get() && !self.confirming.get();
        has_joined && self.distance_of(host) == Distance::Far || self.is_watching()
    }

    /// Returns whether this daemon watches the platform itself and the watch works, so that updates
    /// which other daemons have already received arrive from there.
    fn is_watching(&self) -> bool {
        self.joined.get()
            && !self.confirming.get()
            && self.is_reader()
            && !self.platform_unreachable()
            && !self.is_overdue()
    }

    /// Records that a daemon did not answer.
    pub(super) fn record_unanswered(self: &Rc<Self>, host: &HostId) {
        let changed = self.members.borrow_mut().suspect(host);
        if changed {
            self.emit(Event::PeerSeen { host: Arc::clone(host), state: "suspect".to_owned() });
            self.members_changed();
        }
    }

    /// Returns the message to send to a daemon. It always contains that daemon's row, so that the
    /// daemon can correct wrong information about itself.
    pub(super) fn message(&self, host: &HostId) -> Exchange {
        let mut members = self.members.borrow_mut();
        let mut rows = members.digest();
        if !rows.iter().any(|row| row.host == *host) {
            rows.extend(members.row(host).cloned());
        }
        drop(members);
        let announcements = self.announcements.borrow_mut().digest();
        Exchange { rows, announcements, ..self.suspects_message() }
    }

    /// Returns a message that contains only the marks of this daemon.
    pub(super) fn marks_message(&self) -> Exchange {
        Exchange {
            from: Arc::clone(&self.settings.own.host),
            incarnation: self.settings.own.incarnation,
            stamp: self.hybrid.borrow_mut().tick(self.ports.clock.wall()),
            marks: self.marks(),
            rows: Vec::new(),
            announcements: Vec::new(),
            suspects: Vec::new(),
        }
    }
}
