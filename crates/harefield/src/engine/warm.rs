//! Connections opened ahead of need, so that no request waits for one, and at
//! a pace, so that a mass restart is no herd on the searchers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::worker::Worker;
use crate::domain::ids::UpstreamId;
use crate::ports::Clock;
use crate::ports::Endpoint;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// How long a new worker waits first: until it knows most of the fleet it takes
/// itself for a member of cells that it is not in. Daemons speak to each other once
/// a second by default.
const SETTLE: Duration = Duration::from_secs(1);

/// How often some are opened by a daemon of [`OPENER`]; a weaker one takes longer, since
/// each takes it some tenths of a millisecond from its requests.
const OPEN_EVERY: Duration = Duration::from_millis(10);

/// The capacity that opens at full pace, in thousandths of a core.
const OPENER: u32 = 250;

/// How many are opened at a time.
const OPEN_AT_ONCE: usize = 4;

/// How long the duty rests when every upstream had what it needs.
const REST: Duration = Duration::from_millis(100);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Keeps connections ready to the upstreams of the cells that this daemon
    /// is a member of, to as many as `domain::routing` says.
    pub async fn keep_warm(self: Rc<Self>) {
        self.ports.clock.sleep(SETTLE).await;
        let every = OPEN_EVERY * OPENER / self.settings.capacity.clamp(1, OPENER);
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
                    self.ports.clock.sleep(every).await;
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
            let usable = searcher.takes_work().is_ok() && !searcher.is_backed_off(now);
            if !usable || !router.lease().held(now) {
                return false;
            }
            let address = searcher.spec().address;
            let want = router.ready_connections(name, now);
            (Endpoint { upstream: Arc::clone(name), address }, searcher.share(), want)
        };
        let opening = self.ports.upstreams.preconnect(&place, share, want);
        let idle = self.ports.upstreams.idle(name);
        self.router.borrow_mut().set_idle(name, idle);
        opening
    }
}
