//! Joining the fleet: a daemon that starts with nothing asks every copy of the
//! platform and every daemon it knows of before it serves.
//!
//! Where the platform lists no daemons, a fleet that starts or comes back together would
//! read the whole of it once a daemon. There the seeds read it, and the others ask those
//! that they know first: what one vouches for is as good as a listing.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use log::debug;
use log::info;
use log::warn;

use super::duty::Control;
use crate::domain::ids::HostId;
use crate::domain::readers::platform_delay;
use crate::domain::topology::Distance;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;

/// The pause before those that did not answer are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The most daemons asked at the start: enough that one of them is up to date.
const MAX_QUERIED: usize = 16;

/// The most of them in other zones of the region, and in other regions, where there are
/// daemons in the own zone.
const MAX_REMOTE: usize = 2;

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Asks until every copy and daemon has answered or refused, or the time
    /// is up; with no configuration at all, it goes on in the background.
    pub(super) async fn join(self: &Rc<Self>) {
        let limit = self.ports.clock.now() + self.settings.join_timeout;
        let querying = async { self.query_all().await };
        let expired = async {
            self.ports.clock.sleep_until(limit).await;
            warn!("joining took its whole time; some did not answer");
        };
        querying.or(expired).await;
        info!("joined at revision {:?}", self.revision(Space::Config));
    }

    async fn query_all(self: &Rc<Self>) {
        if self.settings.lists_daemons || self.seeds.borrow().is_empty() {
            self.list_replicas().await;
        } else {
            self.query_or_list().await;
        }
        let mut queried: Vec<HostId> = Vec::new();
        while let Some(host) = self.next_peer(&queried) {
            self.query_daemon(&host).await;
            queried.push(host);
        }
        self.await_laggards().await;
    }

    /// Asks other daemons until one vouches for what it has, and the platform beside them:
    /// at once where this daemon is a seed, which all others ask, else after a while.
    async fn query_or_list(self: &Rc<Self>) {
        let is_seed = self.seeds.borrow().contains(&self.settings.own.host);
        let wait = platform_delay(is_seed, self.settings.first_start, self.settings.join_timeout);
        self.learning_until.set(Some(self.ports.clock.now() + wait));
        let reading = async {
            self.ports.clock.sleep(wait).await;
            self.list_until_answered().await;
        };
        self.query_peers().or(reading).await;
        self.learning_until.set(None);
    }

    /// Asks one daemon after the other until one vouches for what it has.
    async fn query_peers(self: &Rc<Self>) {
        while self.is_overdue() {
            if let Some(host) = self.draw_peers(1).pop() {
                self.query_daemon(&host).await;
            }
            self.ports.clock.sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the copies in turn until one answers.
    async fn list_until_answered(self: &Rc<Self>) {
        for replica in self.settings.replicas.iter().cycle() {
            let Err(error) = self.list(*replica, Space::Config).await else { return };
            debug!("platform replica {replica} while joining: {error}");
            self.ports.clock.sleep(RETRY_PAUSE).await;
        }
    }

    async fn list_replicas(self: &Rc<Self>) {
        for replica in self.settings.replicas.clone() {
            for space in self.spaces() {
                self.list_replica(replica, *space).await;
            }
        }
    }

    /// Reads a copy until it answers; an unreachable one is asked until joining
    /// ends, unless another copy has answered.
    async fn list_replica(self: &Rc<Self>, replica: std::net::SocketAddr, space: Space) {
        while let Err(error) = self.list(replica, space).await {
            if self.settings.replicas.len() > 1 || self.revision(space).is_some() {
                warn!("platform replica {replica}: {error}");
                return;
            }
            if !self.seeds.borrow().is_empty() {
                return;
            }
            self.ports.clock.sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the next daemon to ask: those of the own availability zone first, and few of
    /// others, since what all of a fleet that starts ask there crosses regions.
    fn next_peer(&self, queried: &[HostId]) -> Option<HostId> {
        if queried.len() >= MAX_QUERIED {
            return None;
        }
        let others = self.others();
        let has_near = others.iter().any(|host| self.distance_of(host) == Distance::Near);
        let most = if has_near { MAX_REMOTE } else { MAX_QUERIED };
        let may = |host: &&HostId| {
            let distance = self.distance_of(host);
            let beyond = queried.iter().filter(|other| self.distance_of(other) == distance).count();
            !queried.contains(host) && (distance == Distance::Near || beyond < most)
        };
        let members = self.members.borrow();
        let reads = |host: &HostId| members.row(host).is_some_and(|row| !row.blind);
        others.iter().filter(may).min_by_key(|host| (self.distance_of(host), !reads(host))).cloned()
    }

    async fn query_daemon(self: &Rc<Self>, host: &HostId) {
        if !self.exchange_with(host).await {
            info!("daemon {host} did not answer while joining");
        }
    }
}
