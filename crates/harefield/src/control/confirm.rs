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
pub(super) const ROUND_LIMIT: Duration = Duration::from_millis(400);

/// How many daemons are asked in a round.
pub(super) const ASKED: usize = 3;

/// Whom one round asks.
#[derive(Debug)]
pub(super) struct Asking<M> {
    /// The daemons.
    pub(super) hosts: Vec<HostId>,
    /// Whether the platform is asked too.
    pub(super) platform: bool,
    /// What each daemon is told; it answers with as much.
    pub(super) make: M,
    /// How long the round may take.
    pub(super) limit: Duration,
}

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Starts a round, unless one is under way.
    pub(super) fn start_confirming(self: &Rc<Self>) {
        if self.confirming.replace(true) {
            return;
        }
        let this = Rc::clone(self);
        let round = async move {
            let asked = this.ports.clock.now();
            let hosts = this.draw_peers(ASKED);
            let asking = Asking { hosts, platform: true, make: Self::message, limit: ROUND_LIMIT };
            this.ask_round(asking, || false).await;
            this.confirming.set(false);
            this.tell(&ToWorker::Confirmed(Confirmed { started: asked }));
        };
        self.executor.spawn(round).detach();
    }

    /// Asks daemons, and the platform where wanted, at once for what is newer, until all
    /// have answered, it is `enough`, or the round is over.
    pub(super) async fn ask_round<M>(self: &Rc<Self>, asking: Asking<M>, enough: impl Fn() -> bool)
    where
        M: Fn(&Self, &HostId) -> Exchange,
    {
        let Asking { hosts, platform, make, limit } = asking;
        let (sender, ended) = async_channel::bounded(hosts.len() + Space::ALL.len());
        let mut started = 0;
        for host in hosts {
            let message = make(self, &host);
            let (this, sender) = (Rc::clone(self), sender.clone());
            let ask = async move {
                let _answered = this.ask(&host, message).await;
                let _ = sender.try_send(());
            };
            self.executor.spawn(ask).detach();
            started += 1;
        }
        for space in self.spaces().iter().copied().filter(|_| platform) {
            let (this, sender) = (Rc::clone(self), sender.clone());
            let ask = async move {
                this.look_at_platform(space).await;
                let _ = sender.try_send(());
            };
            self.executor.spawn(ask).detach();
            started += 1;
        }
        let all = async {
            for _ in 0..started {
                let _ = ended.recv().await;
                if enough() {
                    return;
                }
            }
        };
        all.or(self.ports.clock.sleep(limit)).await;
    }

    async fn look_at_platform(self: &Rc<Self>, space: Space) {
        let Some(copy) = self.settings.copies.first() else {
            return;
        };
        let looked = match self.revision(space) {
            Some(after) => self.watch(*copy, space, after, Duration::ZERO).await,
            None => self.list(*copy, space).await,
        };
        if let Err(error) = looked {
            self.hear_error(space, &error);
            log::debug!("platform copy {copy} while confirming: {error}");
        }
    }
}
