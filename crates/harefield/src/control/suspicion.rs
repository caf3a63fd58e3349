//! Works under which upstreams ended: what workers and other daemons know of them.

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

/// News of such works goes to other daemons at once, and again after this pause for what came
/// meanwhile: under thousands of such works it bounds what is sent to 12 messages a second.
const WARN_PAUSE: Duration = Duration::from_millis(250);

impl<F: Platform, P: Peers, C: Clock> Control<F, P, C> {
    /// Takes what a worker found, and passes it on.
    pub(super) fn record_suspect(self: &Rc<Self>, suspect: &Suspect) {
        if self.merge_suspect(suspect) {
            self.schedule_warning();
        }
    }

    /// Takes what another daemon knows, and passes on what was news.
    pub(super) fn merge_suspects(self: &Rc<Self>, reports: &[SuspectReport]) {
        let now = self.ports.clock.now();
        let news = reports.iter().filter(|report| self.merge_suspect(&report.to_suspect(now)));
        if news.count() > 0 {
            self.schedule_warning();
        }
    }

    /// Joins what is known of a work; returns whether others are to be told.
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

    /// Tells a few daemons at once, unless that was done a moment ago: then after a pause.
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

    /// Returns what a daemon that has just started is told of such works.
    pub(super) fn severe_reports(&self) -> Vec<SuspectReport> {
        let now = self.ports.clock.now();
        let severe = self.suspects.borrow().most_severe(now);
        severe.iter().map(|suspect| SuspectReport::new(suspect, now)).collect()
    }

    /// Returns a message that says how far this daemon is and what works it suspects.
    pub(super) fn suspects_message(&self) -> Exchange {
        let now = self.ports.clock.now();
        let suspects = self.suspects.borrow_mut().digest(now);
        let suspects = suspects.iter().map(|suspect| SuspectReport::new(suspect, now)).collect();
        Exchange { suspects, ..self.marks_message() }
    }
}
