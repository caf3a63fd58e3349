//! Opens connections ahead of need, so that no request waits for one, and at a limited rate, so
//! that a mass restart does not overwhelm the upstreams.

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

/// How long a new worker waits first: until it knows most of the fleet it takes itself for a member
/// of cells that it is not in. Daemons gossip once a second by default.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// The interval between batches on a daemon of [`FULL_RATE_CAPACITY`]. A weaker one waits longer,
/// since each connection takes some tenths of a millisecond from its requests.
const OPEN_INTERVAL: Duration = Duration::from_millis(10);

/// The capacity from which connections are opened at the full rate, in thousandths of a core.
const FULL_RATE_CAPACITY: u32 = 250;

/// The number of connections opened between two waits.
const OPEN_BATCH: usize = 4;

/// The pause between passes over all upstreams.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Keeps connections ready to the upstreams of the cells that this daemon is a member of, as many
    /// as `domain::routing` says.
    pub async fn keep_warm(self: Rc<Self>) {
        self.ports.clock.sleep(STARTUP_DELAY).await;
        let every = OPEN_INTERVAL * FULL_RATE_CAPACITY / self.settings.capacity.clamp(1, FULL_RATE_CAPACITY);
        loop {
            let mut names: Vec<UpstreamId> = self.view.borrow().upstreams.keys().map(Arc::clone).collect();
            names.shuffle(&mut rand::rng());
            let mut opened = 0;
            for name in names {
                if !self.open_connection(&name) {
                    continue;
                }
                opened += 1;
                if opened % OPEN_BATCH == 0 {
                    self.ports.clock.sleep(every).await;
                }
            }
            self.ports.clock.sleep(IDLE_PAUSE).await;
        }
    }

    /// Opens one connection to an upstream where it needs one.
    fn open_connection(&self, name: &UpstreamId) -> bool {
        let now = self.ports.clock.now();
        let (endpoint, connection_limit, want) = {
            let router = self.router.borrow();
            let Some(state) = router.upstream(name) else {
                return false;
            };
            let usable = state.accepts_work().is_ok() && !state.is_backed_off(now);
            if !usable || !router.lease().held(now) {
                return false;
            }
            let address = state.spec().address;
            let want = router.ready_connections(name, now);
            (Endpoint { upstream: Arc::clone(name), address }, state.share(), want)
        };
        let opening = self.ports.upstreams.preconnect(&endpoint, connection_limit, want);
        let idle = self.ports.upstreams.idle(name);
        self.router.borrow_mut().set_idle(name, idle);
        opening
    }
}
