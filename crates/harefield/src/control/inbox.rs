//! What workers tell the control duty.

use std::rc::Rc;

use async_channel::Receiver;

use super::duty::Control;
use crate::engine::ToControl;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Exchange;
use crate::ports::Peers;
use crate::ports::Platform;

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Takes the workers' messages until their ring is closed.
    pub(super) async fn listen(self: Rc<Self>, inbox: Receiver<ToControl>) {
        while let Ok(message) = inbox.recv().await {
            self.take(message);
        }
    }

    fn take(self: &Rc<Self>, message: ToControl) {
        match message {
            ToControl::Exchange(said, reply) => self.answer_exchange(*said, &reply),
            ToControl::Pull(pull, reply) => {
                drop(reply.try_send(self.news(&pull)));
            }
            ToControl::Announcement(named) => {
                let words = [named];
                self.hear(&words);
                self.relay();
            }
            ToControl::Suspect(suspect) => self.take_suspect(&suspect),
            ToControl::Unconfirmed => self.start_confirming(),
            ToControl::Refresh(reply) => self.refresh(reply),
            ToControl::Unresponsive(host) => self.unanswered(&host),
            ToControl::Seeds(seeds) => *self.seeds.borrow_mut() = seeds,
            ToControl::Stop => {
                self.members.borrow_mut().leave();
                self.tell(&ToWorker::Stop);
                self.relay();
            }
        }
    }

    /// Answers with what is known, then takes what was said.
    fn answer_exchange(self: &Rc<Self>, said: Exchange, reply: &async_channel::Sender<Exchange>) {
        // One that started again knows nothing of what was told before.
        let incarnation = self.members.borrow().row(&said.from).map(|row| row.incarnation);
        let known = incarnation == Some(said.incarnation);
        let mut answer = if said.rows.is_empty() { self.bare_message() } else { self.message(&said.from) };
        if !known && !said.rows.is_empty() {
            answer.announcements = self.words.borrow().all();
            answer.suspects = self.gravest_reports();
        }
        drop(reply.try_send(answer));
        let this = Rc::clone(self);
        let heard = self.ports.clock.now();
        self.executor.spawn(async move { this.take_exchange(&said, heard).await }).detach();
    }
}
