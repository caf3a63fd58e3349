//! Once-only requests: run under a ticket, by the one incarnation it names.

use std::rc::Rc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::find::Found;
use super::message::LookupRequest;
use super::message::Origin;
use super::run::may_have_run;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::once::Binding;
use crate::domain::once::Ledger;
use crate::domain::once::SubmitAction;
use crate::domain::once::Ticket;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::ports::Clock;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How often a second submission looks for the first one's outcome.
const POLL_EVERY: Duration = Duration::from_millis(2);

/// When to come back for a ticket from another daemon.
const COME_BACK: Duration = Duration::from_millis(50);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Takes a once-only request: issues its ticket, hands it to the daemon
    /// that its ticket names, or runs it.
    pub(super) async fn once(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let Some(text) = &request.ticket else {
            return self.without_ticket(request, found, trace).await;
        };
        let Ok(ticket) = text.parse::<Ticket>() else {
            return refuse(trace, Code::MalformedTicket, Duration::ZERO);
        };
        let own = self.lock_ledger().owns(&ticket);
        let named_here = ticket.host == self.settings.host;
        if own || named_here || request.origin != Origin::Caller {
            return self.under_ticket(request, found, &ticket, trace).await;
        }
        if !self.may_serve(&ticket.host, &found.regions) {
            // It was issued where the lookup may no longer be served, and may have run there.
            return may_have_run(trace, Code::TicketGone);
        }
        match self.hand_to(&ticket.host, request, found, trace).await {
            Ok(answer) => answer,
            Err(PeerError::Unreachable) => may_have_run(trace, Code::TicketGone),
            Err(PeerError::Silent) => may_have_run(trace, Code::PeerSilent),
        }
    }

    async fn without_ticket(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        // Whoever issues a ticket is handed its request from wherever that comes to.
        let runs_here = found.plan.member && self.may_serve(&self.settings.host, &found.regions);
        match (runs_here, &request.origin) {
            (true, _) => {}
            (false, Origin::Caller) => return self.forward(request, found, trace).await,
            (false, Origin::Peer { .. }) => return refuse(trace, Code::NotMember, Duration::ZERO),
        }
        if self.is_stopping() {
            return refuse(trace, Code::Stopping, COME_BACK);
        }
        let issued = self.lock_ledger().issue(self.ports.clock.now());
        let Some(ticket) = issued else {
            return refuse(trace, Code::QueueFull, COME_BACK);
        };
        trace.emit(Event::TicketIssued { ticket: ticket.to_string() });
        let mut answer = refuse(trace, Code::TicketRequired, Duration::ZERO);
        answer.ticket = Some(ticket.to_string());
        answer
    }

    async fn under_ticket(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        ticket: &Ticket,
        trace: &mut Trace<C>,
    ) -> Answer {
        if !found.plan.member {
            return refuse(trace, Code::NotMember, Duration::ZERO);
        }
        let binding = Binding::new(&request.lookup, request.query.json());
        loop {
            let begin = self.lock_ledger().submit(ticket, binding, self.ports.clock.now());
            match begin {
                SubmitAction::Run => return self.run_once(request, found, ticket.number, trace).await,
                SubmitAction::Replay(answer) => {
                    trace.emit(Event::TicketReplayed { ticket: ticket.to_string() });
                    return *answer;
                }
                SubmitAction::Refuse(Outcome::NotRun, code) => return refuse(trace, code, Duration::ZERO),
                SubmitAction::Refuse(_, code) => return may_have_run(trace, code),
                SubmitAction::Wait if self.ports.clock.now() >= found.deadline => {
                    return may_have_run(trace, Code::DeadlinePassed);
                }
                SubmitAction::Wait => self.ports.clock.sleep(POLL_EVERY).await,
            }
        }
    }

    /// Runs as a task of its own, so that a caller that goes away does not
    /// stop it half-way and its outcome stays with the ticket.
    async fn run_once(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        number: u64,
        trace: &mut Trace<C>,
    ) -> Answer {
        let (sender, receiver) = async_channel::bounded(1);
        let this = Rc::clone(self);
        let request = request.clone();
        let found = found.clone();
        let mut own = self.request_trace(trace.request().map(|id| &**id));
        self.running.set(self.running.get() + 1);
        let task = async move {
            let answer = this.run(&request, &found, &mut own).await;
            this.lock_ledger().finish(number, &answer, this.ports.clock.now());
            this.running.set(this.running.get() - 1);
            drop(sender.try_send(answer));
        };
        self.executor.spawn(task).detach();
        let ended = receiver.recv().await;
        ended.unwrap_or_else(|_closed| may_have_run(trace, Code::Internal))
    }

    fn lock_ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
