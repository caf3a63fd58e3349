//! Confirming what is known after a pause.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;

use super::duty::Control;
use crate::domain::ids::HostId;
use crate::engine::Confirmed;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Platform;
use crate::ports::Space;

/// How long one round may take; those who did not answer by then are not
/// waited for, since the fleet must go on without a platform.
const ROUND_LIMIT: Duration = Duration::from_millis(400);

/// How many daemons are asked in a round.
pub(super) const ASKED: usize = 3;

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Starts a round, unless one is under way.
    pub(super) fn start_confirming(self: &Rc<Self>) {
        if self.confirming.replace(true) {
            return;
        }
        let this = Rc::clone(self);
        let round = async move {
            let asked = this.ports.clock.now();
            this.ask_round(this.draw_peers(ASKED), true, || false).await;
            this.confirming.set(false);
            this.tell(&ToWorker::Confirmed(Confirmed { asked }));
        };
        self.executor.spawn(round).detach();
    }

    /// Asks daemons, and the platform where wanted, at once for what is newer, until all
    /// have answered, it is `enough`, or the round is over.
    pub(super) async fn ask_round(
        self: &Rc<Self>,
        hosts: Vec<HostId>,
        platform: bool,
        enough: impl Fn() -> bool,
    ) {
        let (sender, ended) = async_channel::bounded(hosts.len() + Space::ALL.len());
        let mut started = 0;
        for host in hosts {
            let (this, sender) = (Rc::clone(self), sender.clone());
            let ask = async move {
                // How far each of them is, and no more: rounds go on through an outage.
                let _answered = this.ask(&host, this.bare_message()).await;
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
        all.or(self.ports.clock.sleep(ROUND_LIMIT)).await;
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
            log::debug!("platform copy {copy} while confirming: {error}");
        }
    }
}
