//! Once-only requests: run under a ticket, by the one daemon incarnation that the ticket names.

use std::rc::Rc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::find::ResolvedRequest;
use super::message::LookupRequest;
use super::message::Origin;
use super::run::may_have_run;
use super::run::refuse;
use super::stop::end_at_stop;
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

/// How often a second submission polls for the outcome of the first.
const POLL_EVERY: Duration = Duration::from_millis(2);

/// How long a caller is told to wait before it requests a ticket from another daemon.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Handles a once-only request: issues its ticket, forwards it to the daemon that its ticket
    /// names, or runs it.
    pub(super) async fn once(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        let Some(text) = &request.ticket else {
            return self.without_ticket(request, resolved, trace).await;
        };
        let Ok(ticket) = text.parse::<Ticket>() else {
            return refuse(trace, Code::MalformedTicket, Duration::ZERO);
        };
        let own = self.lock_ledger().owns(&ticket);
        let named_here = ticket.host == self.settings.host;
        if own || named_here || request.origin != Origin::Caller {
            return self.under_ticket(request, resolved, &ticket, trace).await;
        }
        if !self.may_serve(&ticket.host, &resolved.regions) {
            // The ticket was issued where the lookup may no longer be served, and the request may
            // have run there.
            return may_have_run(trace, Code::TicketGone);
        }
        match self.forward_to(&ticket.host, request, resolved, trace).await {
            Ok(answer) => answer,
            Err(PeerError::Unreachable) => may_have_run(trace, Code::TicketGone),
            Err(PeerError::Silent) => may_have_run(trace, Code::PeerSilent),
        }
    }

    async fn without_ticket(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        // The daemon that issues a ticket is sent the request from whichever daemon it is submitted
        // to, so it has to be one that may run it.
        let runs_here = resolved.plan.member && self.may_serve(&self.settings.host, &resolved.regions);
        match (runs_here, &request.origin) {
            (true, _) => {}
            (false, Origin::Caller) => return self.forward(request, resolved, trace).await,
            (false, Origin::Peer { .. }) => return refuse(trace, Code::NotMember, Duration::ZERO),
        }
        if self.is_stopping() {
            return refuse(trace, Code::Stopping, RETRY_AFTER);
        }
        let issued = self.lock_ledger().issue(self.ports.clock.now());
        let Some(ticket) = issued else {
            return refuse(trace, Code::QueueFull, RETRY_AFTER);
        };
        trace.emit(Event::TicketIssued { ticket: ticket.to_string() });
        let mut answer = refuse(trace, Code::TicketRequired, Duration::ZERO);
        answer.ticket = Some(ticket.to_string());
        answer
    }

    async fn under_ticket(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        ticket: &Ticket,
        trace: &mut Trace<C>,
    ) -> Answer {
        if !resolved.plan.member {
            return refuse(trace, Code::NotMember, Duration::ZERO);
        }
        let binding = Binding::new(&request.lookup, request.query.json());
        loop {
            let begin = self.lock_ledger().submit(ticket, binding, self.ports.clock.now());
            match begin {
                SubmitAction::Run => return self.run_once(request, resolved, ticket.number, trace).await,
                SubmitAction::Replay(answer) => {
                    trace.emit(Event::TicketReplayed { ticket: ticket.to_string() });
                    return *answer;
                }
                SubmitAction::Refuse(Outcome::NotRun, code) => return refuse(trace, code, Duration::ZERO),
                SubmitAction::Refuse(_, code) => return may_have_run(trace, code),
                SubmitAction::Wait if self.ports.clock.now() >= resolved.deadline => {
                    return may_have_run(trace, Code::DeadlinePassed);
                }
                SubmitAction::Wait => {
                    resolved.passed_on.set();
                    self.ports.clock.sleep(POLL_EVERY).await;
                }
            }
        }
    }

    /// Runs the request as a task of its own, so that a caller that disconnects does not stop it
    /// half-way and its outcome stays with the ticket.
    async fn run_once(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        number: u64,
        trace: &mut Trace<C>,
    ) -> Answer {
        let (sender, receiver) = async_channel::bounded(1);
        let this = Rc::clone(self);
        let request = request.clone();
        let resolved = resolved.clone();
        let mut own = self.request_trace(trace.request().map(|id| &**id));
        self.running.set(self.running.get() + 1);
        let task = async move {
            let ran = this.before_stop(this.run(&request, &resolved, &mut own)).await;
            let answer = ran.unwrap_or_else(|| end_at_stop(&resolved.passed_on, &own));
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
