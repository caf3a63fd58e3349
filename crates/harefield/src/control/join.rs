//! Joining the fleet: a daemon that starts with nothing asks every copy of the
//! platform and every daemon it knows of before it serves.
//!
//! Where the platform lists no daemons, a fleet that starts or comes back together would
//! read the whole of it once a daemon. There the seeds read it, and the others ask those
//! that they know first: what one vouches for is as good as a listing.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use log::debug;
use log::info;
use log::warn;
use rand::seq::IndexedRandom;

use super::duty::Control;
use crate::domain::ids::HostId;
use crate::domain::readers::platform_after;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;

/// The pause before those that did not answer are asked again.
const AGAIN: Duration = Duration::from_millis(100);

/// The most daemons asked at the start: enough that one of them is up to date.
const MOST_ASKED: usize = 16;

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Asks until every copy and daemon has answered or refused, or the time
    /// is up; with no configuration at all, it goes on in the background.
    pub(super) async fn join(self: &Rc<Self>) {
        let limit = self.ports.clock.now() + self.settings.join;
        let asking = async { self.ask_everyone().await };
        let expired = async {
            self.ports.clock.sleep_until(limit).await;
            warn!("joining took its whole time; some did not answer");
        };
        asking.or(expired).await;
        info!("joined at revision {:?}", self.revision(Space::Config));
    }

    async fn ask_everyone(self: &Rc<Self>) {
        if self.settings.listed || self.seeds.borrow().is_empty() {
            self.read_copies().await;
        } else {
            self.learn_or_read().await;
        }
        let mut asked: HashSet<HostId> = HashSet::new();
        while let Some(host) = self.next_to_ask(&asked) {
            asked.insert(Arc::clone(&host));
            self.ask_daemon(&host).await;
        }
        self.await_entered().await;
    }

    /// Asks other daemons until one vouches for what it has, and the platform beside them:
    /// at once where this daemon is a seed, which all others ask, else after a while.
    async fn learn_or_read(self: &Rc<Self>) {
        let is_seed = self.seeds.borrow().contains(&self.settings.own.host);
        let wait = platform_after(is_seed, self.settings.first_start, self.settings.join);
        let reading = async {
            self.ports.clock.sleep(wait).await;
            self.read_until_answered().await;
        };
        self.ask_known().or(reading).await;
    }

    /// Asks one daemon after the other until one vouches for what it has.
    async fn ask_known(self: &Rc<Self>) {
        while self.is_overdue() {
            if let Some(host) = self.draw_known() {
                self.ask_daemon(&host).await;
            }
            self.ports.clock.sleep(AGAIN).await;
        }
    }

    /// Reads the copies in turn until one answers.
    async fn read_until_answered(self: &Rc<Self>) {
        for copy in self.settings.copies.iter().cycle() {
            let Err(error) = self.list(*copy, Space::Config).await else { return };
            debug!("platform copy {copy} while joining: {error}");
            self.ports.clock.sleep(AGAIN).await;
        }
    }

    /// Draws one of the daemons that are known or named as seeds.
    fn draw_known(&self) -> Option<HostId> {
        let mut known = self.members.borrow().peers();
        let seeds = self.seeds.borrow();
        known.extend(seeds.iter().filter(|seed| **seed != self.settings.own.host).map(Arc::clone));
        known.choose(&mut rand::rng()).map(Arc::clone)
    }

    async fn read_copies(self: &Rc<Self>) {
        for copy in self.settings.copies.clone() {
            for space in self.spaces() {
                self.ask_copy(copy, *space).await;
            }
        }
    }

    /// Reads a copy until it answers; an unreachable one is asked until joining
    /// ends, unless another copy has answered.
    async fn ask_copy(self: &Rc<Self>, copy: std::net::SocketAddr, space: Space) {
        while let Err(error) = self.list(copy, space).await {
            if self.settings.copies.len() > 1 || self.revision(space).is_some() {
                warn!("platform copy {copy}: {error}");
                return;
            }
            if !self.seeds.borrow().is_empty() {
                return;
            }
            self.ports.clock.sleep(AGAIN).await;
        }
    }

    fn next_to_ask(&self, asked: &HashSet<HostId>) -> Option<HostId> {
        if asked.len() >= MOST_ASKED {
            return None;
        }
        let listed = self.list.borrow().daemons();
        let known = self.members.borrow().peers();
        let seeds = self.seeds.borrow();
        let all = seeds.iter().chain(&listed).chain(&known);
        let other = |host: &&HostId| **host != self.settings.own.host && !asked.contains(*host);
        all.into_iter().find(other).map(Arc::clone)
    }

    async fn ask_daemon(self: &Rc<Self>, host: &HostId) {
        if !self.exchange_with(host).await {
            info!("daemon {host} did not answer while joining");
        }
    }
}
