//! Handing a request to a member of the cell.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;

use super::find::Found;
use super::message::LookupRequest;
use super::message::ToControl;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::HostId;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::domain::query::Query;
use crate::domain::time::micros;
use crate::domain::time::millis;
use crate::ports::Clock;
use crate::ports::Forward;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How many members are tried.
const MOST_TRIES: usize = 3;

/// When to come back where no member could be reached.
const COME_BACK: Duration = Duration::from_millis(500);

/// How often a request is handed on again while views of the cell differ.
const AGREE_EVERY: Duration = Duration::from_millis(20);

/// Spare time that another daemon's answer has to travel past the deadline.
pub(super) const TRAVEL: Duration = Duration::from_millis(50);

/// How a request handed to one daemon ended.
struct Ended {
    host: HostId,
    result: Result<Answer, PeerError>,
}

/// A request on its way through members of the cell.
struct Handed {
    tried: Vec<HostId>,
    tasks: Vec<Task<()>>,
    under_way: usize,
    sent: bool,
    disagreed: bool,
    sender: Sender<Ended>,
    ends: Receiver<Ended>,
}

/// Counts a request as handed to a daemon until dropped.
struct Outgoing<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    host: HostId,
    start: Instant,
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for Outgoing<U, P, C> {
    fn drop(&mut self) {
        self.worker.forget_forward(&self.host, self.start);
    }
}

/// Says whether a daemon that answered with a code leaves the request to others.
fn is_elsewhere(code: Code) -> bool {
    matches!(code, Code::NotMember | Code::OlderView)
}

impl Handed {
    fn new() -> Self {
        let (sender, ends) = async_channel::bounded(MOST_TRIES);
        Self {
            tried: Vec::new(),
            tasks: Vec::new(),
            under_way: 0,
            sent: false,
            disagreed: false,
            sender,
            ends,
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Hands a request to a member of the cell, and to others where that one
    /// fails or, for repeatable requests and within a budget, is slow.
    ///
    /// A member that was sent a once-only request and did not answer ends the
    /// tries: it may have run.
    pub(super) async fn forward(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let give_up = found.start + found.deadline.saturating_duration_since(found.start) / 2;
        loop {
            let answer = self.forward_once(request, found, trace).await;
            // Those asked have another view of the cell or an older configuration:
            // one of the two is about to change, and nothing has run.
            if !is_elsewhere(answer.code) || self.ports.clock.now() >= give_up {
                return answer;
            }
            self.ports.clock.sleep(AGREE_EVERY).await;
        }
    }

    async fn forward_once(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let mut handed = Handed::new();
        self.spare.borrow_mut().earn();
        self.hand_on(&mut handed, request, found, trace);
        // Once that time has passed, only ends are awaited, which come by themselves.
        let mut hedge_at = Some(found.start + found.deadline.saturating_duration_since(found.start) / 2);
        while handed.under_way > 0 {
            let Some(ended) = self.next_end(&handed, hedge_at).await else {
                hedge_at = None;
                if self.may_hedge(found) {
                    self.hand_on(&mut handed, request, found, trace);
                }
                continue;
            };
            handed.under_way -= 1;
            self.note_end(&ended, trace);
            match ended.result {
                Ok(answer) if !is_elsewhere(answer.code) => return answer,
                Ok(_) => handed.disagreed = true,
                Err(PeerError::Unreachable) => {}
                Err(PeerError::Silent) => handed.sent = true,
            }
            if self.may_retry(&handed, found) {
                self.hand_on(&mut handed, request, found, trace);
            }
        }
        if handed.sent {
            return Answer::may_have_run(trace.request().map_or("", |id| id), Code::PeerSilent);
        }
        let code = if handed.disagreed { Code::NotMember } else { Code::NoMember };
        refuse(trace, code, COME_BACK)
    }

    /// Hands a request to one daemon and no other.
    pub(super) async fn hand_to(
        self: &Rc<Self>,
        host: &HostId,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Result<Answer, PeerError> {
        let mut handed = Handed::new();
        self.start_handing(&mut handed, Arc::clone(host), request, found, trace);
        let ended = handed.ends.recv().await.map_err(|_closed| PeerError::Silent)?;
        self.note_end(&ended, trace);
        ended.result
    }

    /// Returns the next end; none where `until` passes first.
    async fn next_end(&self, handed: &Handed, until: Option<Instant>) -> Option<Ended> {
        let timed = async {
            match until {
                Some(until) => self.ports.clock.sleep_until(until).await,
                None => std::future::pending().await,
            }
            None
        };
        async { handed.ends.recv().await.ok() }.or(timed).await
    }

    /// Says whether a request may be handed to a second member while the first has
    /// it: not where its lookup bounds the upstreams asked, since the two members
    /// would choose theirs apart.
    fn may_hedge(&self, found: &Found) -> bool {
        let in_time = self.ports.clock.now() < found.deadline;
        let lookup = &found.plan.lookup;
        let may = lookup.repeatable && lookup.attempts.is_none();
        in_time && may && self.spare.borrow_mut().spend_hedge()
    }

    fn may_retry(&self, handed: &Handed, found: &Found) -> bool {
        let in_time = self.ports.clock.now() < found.deadline;
        let safe = found.plan.lookup.repeatable || !handed.sent;
        // Where nothing was sent before, what is sent now is no extra load.
        let paid = || !handed.sent || self.spare.borrow_mut().spend_retry();
        in_time && safe && handed.under_way == 0 && paid()
    }

    /// Hands a request to one more member, if there is one.
    fn hand_on(
        self: &Rc<Self>,
        handed: &mut Handed,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) {
        if handed.tried.len() >= MOST_TRIES {
            return;
        }
        if let Some(host) = self.pick_member(&found.plan.lookup.index, &handed.tried) {
            self.start_handing(handed, host, request, found, trace);
        }
    }

    fn start_handing(
        self: &Rc<Self>,
        handed: &mut Handed,
        host: HostId,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) {
        let left = found.deadline.saturating_duration_since(self.ports.clock.now());
        trace.emit(Event::Forwarded { to: Arc::clone(&host) });
        let message = self.forward_message(request, found, &host, handed, trace);
        handed.tried.push(Arc::clone(&host));
        handed.under_way += 1;
        let start = self.ports.clock.now();
        self.forwards.borrow_mut().entry(Arc::clone(&host)).or_default().push(start);
        let outgoing = Outgoing { worker: Rc::clone(self), host, start };
        let sender = handed.sender.clone();
        let task = async move {
            let Outgoing { worker, host, .. } = &outgoing;
            let result = worker.ports.peers.forward(host, &message, left + TRAVEL).await;
            let result = result.map(|forwarded| {
                worker.receive(forwarded.stamp);
                forwarded.answer
            });
            let ended = Ended { host: Arc::clone(host), result };
            let _ = sender.try_send(ended).is_ok();
        };
        handed.tasks.push(self.executor.spawn(task));
    }

    fn forward_message(
        &self,
        request: &LookupRequest,
        found: &Found,
        host: &HostId,
        handed: &Handed,
        trace: &Trace<C>,
    ) -> Forward {
        let now = self.ports.clock.now();
        let opaque = match &request.query {
            Query::Bytes(query) => Some((**query).clone()),
            Query::Json(_) => None,
        };
        let back = self.time_back(host);
        let gather = |objective: Instant| micros(objective.saturating_duration_since(now + back));
        Forward {
            from: Arc::clone(&self.settings.host),
            stamp: trace.stamp(),
            request: trace.request().map(ToString::to_string).unwrap_or_default(),
            lookup: request.lookup.clone(),
            query: request.query.json().to_vec(),
            gather: found.objective.filter(|_| opaque.is_some()).map(gather),
            opaque,
            ticket: request.ticket.clone(),
            remaining: millis(found.deadline.saturating_duration_since(now)),
            revision: self.view.borrow().revision,
            again: !handed.tried.is_empty(),
        }
    }

    fn note_end(&self, ended: &Ended, trace: &mut Trace<C>) {
        let (outcome, code) = match &ended.result {
            Ok(answer) => (answer.outcome, answer.code),
            Err(PeerError::Unreachable) => (Outcome::NotRun, Code::NoMember),
            Err(PeerError::Silent) => (Outcome::MayHaveRun, Code::PeerSilent),
        };
        trace.emit(Event::ForwardEnded { to: Arc::clone(&ended.host), outcome, code });
        if ended.result.is_err() {
            drop(self.control.try_send(ToControl::Silent(Arc::clone(&ended.host))));
        }
    }
}
