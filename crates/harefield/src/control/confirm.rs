//! Rounds of asking for what is newer; after a pause, one confirms what is known.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;

use super::duty::Control;
use crate::domain::ids::HostId;
use crate::engine::Confirmed;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Exchange;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;

/// How long one round may take; those who did not answer by then are not
/// waited for, since the fleet must go on without a platform.
pub(super) const ROUND_TIMEOUT: Duration = Duration::from_millis(400);

/// How many daemons are asked in a round.
pub(super) const ROUND_PEERS: usize = 3;

/// Whom one round asks.
#[derive(Debug)]
pub(super) struct QueryRound<M> {
    /// The daemons.
    pub(super) hosts: Vec<HostId>,
    /// Whether the platform is asked too.
    pub(super) platform: bool,
    /// What each daemon is told; it answers with as much.
    pub(super) make: M,
    /// How long the round may take.
    pub(super) timeout: Duration,
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Starts a round, unless one is under way.
    pub(super) fn start_confirming(self: &Rc<Self>) {
        if self.confirming.replace(true) {
            return;
        }
        let this = Rc::clone(self);
        let confirm = async move {
            let started = this.ports.clock.now();
            let hosts = this.draw_peers(ROUND_PEERS);
            let round = QueryRound { hosts, platform: true, make: Self::message, timeout: ROUND_TIMEOUT };
            this.run_round(round, || false).await;
            this.confirming.set(false);
            this.send_workers(&ToWorker::Confirmed(Confirmed { started }));
        };
        self.executor.spawn(confirm).detach();
    }

    /// Asks daemons, and the platform where wanted, at once for what is newer, until all
    /// have answered, it is `enough`, or the round is over.
    pub(super) async fn run_round<M>(self: &Rc<Self>, round: QueryRound<M>, enough: impl Fn() -> bool)
    where
        M: Fn(&Self, &HostId) -> Exchange,
    {
        let QueryRound { hosts, platform, make, timeout } = round;
        let (sender, ended) = async_channel::bounded(hosts.len() + Space::ALL.len());
        let mut queries = 0;
        for host in hosts {
            let message = make(self, &host);
            let (this, sender) = (Rc::clone(self), sender.clone());
            let query = async move {
                let _answered = this.send_exchange(&host, message).await;
                let _ = sender.try_send(());
            };
            self.executor.spawn(query).detach();
            queries += 1;
        }
        for space in self.spaces().iter().copied().filter(|_| platform) {
            let (this, sender) = (Rc::clone(self), sender.clone());
            let query = async move {
                this.query_platform(space).await;
                let _ = sender.try_send(());
            };
            self.executor.spawn(query).detach();
            queries += 1;
        }
        let all = async {
            for _ in 0..queries {
                let _ = ended.recv().await;
                if enough() {
                    return;
                }
            }
        };
        all.or(self.ports.clock.sleep(timeout)).await;
    }

    async fn query_platform(self: &Rc<Self>, space: Space) {
        let Some(replica) = self.settings.replicas.first() else {
            return;
        };
        let result = match self.revision(space) {
            Some(after) => self.watch(*replica, space, after, Duration::ZERO).await,
            None => self.list(*replica, space).await,
        };
        if let Err(error) = result {
            self.record_rejection(space, &error);
            log::debug!("platform replica {replica} while confirming: {error}");
        }
    }
}
