//! The messages that workers send to the control duty.

use std::rc::Rc;

use async_channel::Receiver;

use super::duty::Control;
use crate::engine::ToControl;
use crate::ports::Clock;
use crate::ports::Exchange;
use crate::ports::Peers;
use crate::ports::Platform;

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Handles the workers' messages until their channel is closed.
    pub(super) async fn listen(self: Rc<Self>, inbox: Receiver<ToControl>) {
        while let Ok(message) = inbox.recv().await {
            self.handle(message);
        }
    }

    fn handle(self: &Rc<Self>, message: ToControl) {
        match message {
            ToControl::Exchange(received, reply) => self.reply_exchange(*received, &reply),
            ToControl::Pull(pull, reply) => {
                drop(reply.try_send(self.news(&pull)));
            }
            ToControl::Announcement(named) => {
                let announcements = [named];
                self.merge_announcements(&announcements);
                self.relay();
            }
            ToControl::Suspect(suspect) => self.record_suspect(&suspect),
            ToControl::Unconfirmed => self.start_confirming(),
            ToControl::Refresh(reply) => self.refresh(reply),
            ToControl::Unresponsive(host) => self.record_unanswered(&host),
            ToControl::Seeds(seeds) => *self.seeds.borrow_mut() = seeds,
            ToControl::Stop => {
                self.members.borrow_mut().leave();
                self.relay();
            }
        }
    }

    /// Replies with what is known here, then merges what was received.
    fn reply_exchange(self: &Rc<Self>, received: Exchange, reply: &async_channel::Sender<Exchange>) {
        // A daemon that was restarted no longer has what it was sent before.
        let incarnation = self.members.borrow().row(&received.from).map(|row| row.incarnation);
        let known = incarnation == Some(received.incarnation);
        let mut answer =
            if received.rows.is_empty() { self.marks_message() } else { self.message(&received.from) };
        if !known && !received.rows.is_empty() {
            answer.announcements = self.announcements.borrow().all();
            answer.suspects = self.severe_reports();
        }
        drop(reply.try_send(answer));
        let this = Rc::clone(self);
        let received_at = self.ports.clock.now();
        self.executor.spawn(async move { this.merge_exchange(&received, received_at).await }).detach();
    }
}
