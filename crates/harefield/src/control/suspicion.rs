//! Works suspected of crashing upstreams: merges what workers and other daemons know of them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::duty::Control;
use crate::domain::event::Event;
use crate::domain::suspects::Clearance;
use crate::domain::suspects::Suspect;
use crate::domain::suspects::SuspectReport;
use crate::domain::time::millis;
use crate::engine::ToWorker;
use crate::ports::Clock;
use crate::ports::Exchange;
use crate::ports::Peers;
use crate::ports::Platform;

/// Changes of such works are sent to other daemons at once, and after this pause again for what
/// arrived meanwhile. With thousands of such works it limits the traffic to 12 messages a second.
const WARN_PAUSE: Duration = Duration::from_millis(250);

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Merges what a worker found, and passes it on if it was new.
    pub(super) fn record_suspect(self: &Rc<Self>, suspect: &Suspect) {
        if self.merge_suspect(suspect) {
            self.schedule_warning();
        }
    }

    /// Merges what another daemon knows, and passes on what was new.
    pub(super) fn merge_suspects(self: &Rc<Self>, reports: &[SuspectReport]) {
        let now = self.ports.clock.now();
        let changed = reports.iter().filter(|report| self.merge_suspect(&report.to_suspect(now)));
        if changed.count() > 0 {
            self.schedule_warning();
        }
    }

    /// Merges what is known of one work; returns whether other daemons have to be informed.
    fn merge_suspect(&self, suspect: &Suspect) -> bool {
        let now = self.ports.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        let outcome = suspects.merge(suspect, now);
        let Some(known) = suspects.suspect(suspect.work).filter(|_| outcome.changed) else {
            return outcome.cleared;
        };
        drop(suspects);
        self.emit_suspect(&known);
        self.send_workers(&ToWorker::Suspects(Arc::new([known])));
        true
    }

    fn emit_suspect(&self, Suspect { work, evidence }: &Suspect) {
        let (work, ends, alone) = (*work, evidence.ends().len(), evidence.alone());
        let event = match evidence.clearance(self.ports.clock.now()) {
            Clearance::Free if ends == 0 => Event::WorkCleared { work },
            Clearance::Free => return,
            Clearance::Alone(_) => Event::WorkSuspected { work, ends, alone, withheld: 0 },
            Clearance::Withheld(time) => Event::WorkSuspected { work, ends, alone, withheld: millis(time) },
        };
        self.emit(event);
    }

    /// Sends the suspected works to a few daemons at once, or after a pause if that was done a
    /// moment ago.
    fn schedule_warning(self: &Rc<Self>) {
        let now = self.ports.clock.now();
        let last = self.warning_at.get();
        let next = last.map_or(now, |last| now.max(last + WARN_PAUSE));
        if last.is_some_and(|last| last > now) {
            return;
        }
        self.warning_at.set(Some(next));
        let this = Rc::clone(self);
        let send = async move {
            this.ports.clock.sleep_until(next).await;
            let message = this.suspects_message();
            this.relay_to(move |_this, _host| message.clone());
        };
        self.executor.spawn(send).detach();
    }

    /// Returns the works to send to a daemon that has just started.
    pub(super) fn severe_reports(&self) -> Vec<SuspectReport> {
        let now = self.ports.clock.now();
        let severe = self.suspects.borrow().most_severe(now);
        severe.iter().map(|suspect| SuspectReport::new(suspect, now)).collect()
    }

    /// Returns a message with this daemon's marks and the suspected works that are due to be sent.
    pub(super) fn suspects_message(&self) -> Exchange {
        let now = self.ports.clock.now();
        let suspects = self.suspects.borrow_mut().digest(now);
        let suspects = suspects.iter().map(|suspect| SuspectReport::new(suspect, now)).collect();
        Exchange { suspects, ..self.marks_message() }
    }
}
