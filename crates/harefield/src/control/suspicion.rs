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
    pub(super) fn take_suspect(self: &Rc<Self>, suspect: &Suspect) {
        if self.join_suspect(suspect) {
            self.warn_soon();
        }
    }

    /// Takes what another daemon knows, and passes on what was news.
    pub(super) fn hear_suspects(self: &Rc<Self>, reports: &[SuspectReport]) {
        let now = self.ports.clock.now();
        let news = reports.iter().filter(|report| self.join_suspect(&report.to_suspect(now)));
        if news.count() > 0 {
            self.warn_soon();
        }
    }

    /// Joins what is known of a work; returns whether others are to be told.
    fn join_suspect(&self, suspect: &Suspect) -> bool {
        let now = self.ports.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        let heard = suspects.merge(suspect, now);
        let Some(known) = suspects.suspect(suspect.work).filter(|_| heard.changed) else {
            return heard.cleared;
        };
        drop(suspects);
        self.note(&known);
        self.tell(&ToWorker::Suspects(Arc::new([known])));
        true
    }

    fn note(&self, Suspect { work, evidence }: &Suspect) {
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
    fn warn_soon(self: &Rc<Self>) {
        let now = self.ports.clock.now();
        let last = self.warned.get();
        let next = last.map_or(now, |last| now.max(last + WARN_PAUSE));
        if last.is_some_and(|last| last > now) {
            return;
        }
        self.warned.set(Some(next));
        let this = Rc::clone(self);
        let warn = async move {
            this.ports.clock.sleep_until(next).await;
            let message = this.warning();
            this.relay_to(move |_this, _host| message.clone());
        };
        self.executor.spawn(warn).detach();
    }

    /// Returns what a daemon that has just started is told of such works.
    pub(super) fn gravest_reports(&self) -> Vec<SuspectReport> {
        let now = self.ports.clock.now();
        let gravest = self.suspects.borrow().most_severe(now);
        gravest.iter().map(|suspect| SuspectReport::new(suspect, now)).collect()
    }

    /// Returns a message that says how far this daemon is and what works it suspects.
    pub(super) fn warning(&self) -> Exchange {
        let now = self.ports.clock.now();
        let told = self.suspects.borrow_mut().digest(now);
        let suspects = told.iter().map(|suspect| SuspectReport::new(suspect, now)).collect();
        Exchange { suspects, ..self.bare_message() }
    }
}
