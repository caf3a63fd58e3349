//! Connections opened ahead of need, so that no request waits for one, and at
//! a pace, so that a mass restart is no herd on the searchers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::worker::Worker;
use crate::domain::ids::UpstreamId;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Place;
use crate::ports::Upstreams;

/// How many connections to each upstream in the own availability zone are kept
/// ready.
const READY: usize = 2;

/// How many to each upstream in another availability zone, which is asked directly
/// only where a group cannot be.
const READY_AWAY: usize = 1;

/// How long a new worker waits first: until it knows most of the fleet it takes
/// itself for a member of cells that it is not in. Daemons speak to each other once
/// a second by default.
const SETTLE: Duration = Duration::from_secs(1);

/// How often some are opened.
const OPEN_EVERY: Duration = Duration::from_millis(10);

/// How many are opened at a time.
const OPEN_AT_ONCE: usize = 4;

/// How long the duty rests when every upstream had what it needs.
const REST: Duration = Duration::from_millis(100);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Keeps connections ready to the upstreams of the cells that this daemon
    /// is a member of.
    pub async fn keep_warm(self: Rc<Self>) {
        self.ports.clock.sleep(SETTLE).await;
        loop {
            let mut names: Vec<UpstreamId> = self.view.borrow().upstreams.keys().map(Arc::clone).collect();
            names.shuffle(&mut rand::rng());
            let mut opened = 0;
            for name in names {
                if !self.warm(&name) {
                    continue;
                }
                opened += 1;
                if opened % OPEN_AT_ONCE == 0 {
                    self.ports.clock.sleep(OPEN_EVERY).await;
                }
            }
            self.ports.clock.sleep(REST).await;
        }
    }

    /// Opens one connection to an upstream where it needs one.
    fn warm(&self, name: &UpstreamId) -> bool {
        let now = self.ports.clock.now();
        let (place, share, want) = {
            let router = self.router.borrow();
            let Some(searcher) = router.searcher(name) else {
                return false;
            };
            let usable = !searcher.is_leaving() && !searcher.is_backed_off(now);
            if !usable || !router.lease().held(now) {
                return false;
            }
            let address = searcher.spec().address;
            let want = if router.is_away(searcher) { READY_AWAY } else { READY };
            (Place { upstream: Arc::clone(name), address }, searcher.share(), want)
        };
        let opening = self.ports.upstreams.warm(&place, share, want);
        let idle = self.ports.upstreams.idle(name);
        self.router.borrow_mut().set_idle(name, idle);
        opening
    }
}
