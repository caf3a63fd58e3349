//! Rounds of queries for updates. After a pause of this process, one round confirms what is held.

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

/// How long a round of queries may take. Later answers are not awaited, since the fleet has to go
/// on without a platform.
pub(super) const ROUND_TIMEOUT: Duration = Duration::from_millis(400);

/// How many daemons are queried in a round.
pub(super) const ROUND_PEERS: usize = 3;

/// What one round queries.
#[derive(Debug)]
pub(super) struct QueryRound<M> {
    /// The daemons to query.
    pub(super) hosts: Vec<HostId>,
    /// Whether the platform is queried too.
    pub(super) platform: bool,
    /// Makes the message to each daemon, which replies with a message of the same extent.
    pub(super) make: M,
    /// How long the round may take.
    pub(super) timeout: Duration,
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Starts a round that confirms what is held, unless one is in progress.
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

    /// Queries daemons, and the platform if requested, concurrently for updates until all have
    /// answered, `enough` returns true after an answer, or the round times out.
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
