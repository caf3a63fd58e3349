//! Joining the fleet: a daemon that starts without data queries every replica of the platform, and
//! daemons that it knows of, before it serves.
//!
//! If the platform does not list daemons, a fleet that starts or restarts together would read the
//! whole platform once for each daemon. There the seeds read it, and the others query the daemons
//! that they know first: data with a proof of freshness from a daemon is as good as a listing.

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

/// The pause before a query that was not answered is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The most daemons queried at the start; enough that one of them is up to date.
const MAX_QUERIED: usize = 16;

/// The most of them in other zones of the region, and the most in other regions, if there are
/// daemons in the own zone.
const MAX_REMOTE: usize = 2;

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Queries until every replica and daemon has answered or refused, or the time is up. Without
    /// any configuration by then, reading continues in the background.
    pub(super) async fn join(self: &Rc<Self>) {
        let limit = self.ports.clock.now() + self.settings.join_timeout;
        let querying = async { self.query_all().await };
        let expired = async {
            self.ports.clock.sleep_until(limit).await;
            warn!("joining timed out; some daemons or replicas did not answer");
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

    /// Queries other daemons until one provides a proof of freshness, and the platform
    /// concurrently: at once if this daemon is a seed, which all others query, else after a delay.
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

    /// Queries one daemon after the other until one provides a proof of freshness.
    async fn query_peers(self: &Rc<Self>) {
        while self.is_overdue() {
            if let Some(host) = self.draw_peers(1).pop() {
                self.query_daemon(&host).await;
            }
            if !self.is_overdue() {
                return;
            }
            self.ports.clock.sleep(RETRY_PAUSE).await;
        }
    }

    /// Lists the configuration from the replicas in turn until one answers.
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

    /// Lists a space from a replica until it answers. An unreachable replica is queried until
    /// joining ends, unless there are other replicas, the space is already held, or there are seeds
    /// to query.
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

    /// Returns the next daemon to query. Those of the own availability zone come first, and only a
    /// few of other zones follow, since these queries of a whole fleet that starts would cross
    /// regions.
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
