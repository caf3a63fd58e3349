//! One request forwarded to one daemon: the message, the count of requests in flight there, and the
//! outcome.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;

use super::find::ResolvedRequest;
use super::message::LookupRequest;
use super::message::ToControl;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::Edition;
use crate::domain::ids::HostId;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::domain::query::Query;
use crate::domain::time::micros;
use crate::domain::time::millis;
use crate::ports::Clock;
use crate::ports::Forward;
use crate::ports::ForwardAnswer;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// The most members that a request is forwarded to.
pub(super) const MAX_TRIES: usize = 3;

/// How long after the deadline another daemon's answer may still arrive.
pub(super) const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(50);

/// How long an edition that was seen on another daemon holds requests up here. Users require a
/// configuration to spread through other daemons within 15 s.
const EDITION_EXPIRY: Duration = Duration::from_secs(15);

/// How a request forwarded to one daemon ended.
pub(super) struct ForwardOutcome {
    pub host: HostId,
    pub result: Result<Answer, PeerError>,
}

/// The progress of a request that is forwarded to members of the cell.
pub(super) struct ForwardState {
    pub tried: Vec<HostId>,
    tasks: Vec<Task<()>>,
    pub in_flight: usize,
    /// Whether a member was sent the request and did not answer.
    pub unanswered: bool,
    /// Whether a member declined the request in favour of other members.
    pub redirected: bool,
    sender: Sender<ForwardOutcome>,
    pub outcomes: Receiver<ForwardOutcome>,
}

/// Counts a request as forwarded to a daemon until dropped.
struct ForwardGuard<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    host: HostId,
    start: Instant,
}

impl<U: Upstreams, P: Peers, C: Clock> Drop for ForwardGuard<U, P, C> {
    fn drop(&mut self) {
        self.worker.remove_forward(&self.host, self.start);
    }
}

/// Returns whether a daemon that answered with this code declined the request, so that another
/// member is to run it.
pub(super) fn is_redirect(code: Code) -> bool {
    matches!(code, Code::NotMember | Code::OlderView | Code::Stopping)
}

impl ForwardState {
    pub fn new() -> Self {
        let (sender, outcomes) = async_channel::bounded(MAX_TRIES);
        Self {
            tried: Vec::new(),
            tasks: Vec::new(),
            in_flight: 0,
            unanswered: false,
            redirected: false,
            sender,
            outcomes,
        }
    }

    /// Returns whether an answer says "not run" although another member may have run the request,
    /// or may be running it.
    fn may_contradict(&self, answer: &Answer) -> bool {
        answer.outcome == Outcome::NotRun && (self.unanswered || self.in_flight > 0)
    }

    /// Records how one forward ended. Returns its answer unless another member is to give one.
    pub fn record(&mut self, result: Result<Answer, PeerError>) -> Option<Answer> {
        self.in_flight -= 1;
        match result {
            Ok(answer) if is_redirect(answer.code) || self.may_contradict(&answer) => {
                self.redirected = true;
            }
            Ok(answer) => return Some(answer),
            Err(PeerError::Unreachable) => {}
            Err(PeerError::Silent) => self.unanswered = true,
        }
        None
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Forwards a request to one daemon and no other.
    pub(super) async fn forward_to(
        self: &Rc<Self>,
        host: &HostId,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Result<Answer, PeerError> {
        let mut state = ForwardState::new();
        self.start_forward(&mut state, Arc::clone(host), request, resolved, trace);
        let outcome = state.outcomes.recv().await.map_err(|_closed| PeerError::Silent)?;
        self.record_end(&outcome, trace);
        outcome.result
    }

    /// Starts to forward a request to a daemon, as a task of its own.
    pub(super) fn start_forward(
        self: &Rc<Self>,
        state: &mut ForwardState,
        host: HostId,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) {
        let left = resolved.deadline.saturating_duration_since(self.ports.clock.now());
        trace.emit(Event::Forwarded { to: Arc::clone(&host) });
        resolved.passed_on.set();
        let message = self.forward_message(request, resolved, &host, state, trace);
        state.tried.push(Arc::clone(&host));
        state.in_flight += 1;
        let start = self.ports.clock.now();
        self.forwards.borrow_mut().entry(Arc::clone(&host)).or_default().push(start);
        let guard = ForwardGuard { worker: Rc::clone(self), host, start };
        let sender = state.sender.clone();
        let task = async move {
            let ForwardGuard { worker, host, .. } = &guard;
            let result = worker.ports.peers.forward(host, &message, left + TRANSIT_ALLOWANCE).await;
            let result = result.map(|forwarded| {
                worker.receive_stamp(forwarded.stamp);
                worker.record_edition(&forwarded);
                forwarded.answer
            });
            let outcome = ForwardOutcome { host: Arc::clone(host), result };
            let _ = sender.try_send(outcome).is_ok();
        };
        state.tasks.push(self.executor.spawn(task));
    }

    fn forward_message(
        &self,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        host: &HostId,
        state: &ForwardState,
        trace: &Trace<C>,
    ) -> Forward {
        let now = self.ports.clock.now();
        let opaque = match &request.query {
            Query::Opaque(query) => Some((**query).clone()),
            Query::Json(_) => None,
        };
        let return_time = self.return_allowance(host);
        let gather = |objective: Instant| micros(objective.saturating_duration_since(now + return_time));
        Forward {
            from: Arc::clone(&self.settings.host),
            stamp: trace.stamp(),
            request: trace.request().map(ToString::to_string).unwrap_or_default(),
            lookup: request.lookup.clone(),
            query: request.query.json().to_vec(),
            gather: resolved.objective.filter(|_| opaque.is_some()).map(gather),
            opaque,
            ticket: request.ticket.clone(),
            remaining: millis(resolved.deadline.saturating_duration_since(now)),
            edition: self.newest_edition(),
            again: state.unanswered || state.in_flight > 0,
            late: resolved.late,
            suspects: self.reports(&resolved.work),
            asker: resolved.requester.clone(),
        }
    }

    /// Returns the newest edition that a request of this daemon may have run under.
    pub(super) fn newest_edition(&self) -> Edition {
        self.view.borrow().edition.max(self.seen_edition())
    }

    /// Returns the newest edition under which other daemons answered callers of this one; 0 if that
    /// was longer than [`EDITION_EXPIRY`] ago, since an edition that has not arrived by then was
    /// withdrawn.
    pub(super) fn seen_edition(&self) -> Edition {
        let now = self.ports.clock.now();
        let seen = self.seen_edition.get();
        let recent = seen.filter(|(_, at)| now.saturating_duration_since(*at) < EDITION_EXPIRY);
        recent.map_or(0, |(edition, _)| edition)
    }

    /// Records the edition under which another daemon ran a request of this one: callers have seen
    /// it here, and must not see an older one here afterwards.
    fn record_edition(&self, forwarded: &ForwardAnswer) {
        if !is_redirect(forwarded.answer.code) {
            let newest = self.seen_edition().max(forwarded.edition);
            self.seen_edition.set(Some((newest, self.ports.clock.now())));
        }
    }

    /// Emits how a forward ended, and reports a daemon that did not answer to the control duty.
    pub(super) fn record_end(&self, end: &ForwardOutcome, trace: &mut Trace<C>) {
        let (outcome, code) = match &end.result {
            Ok(answer) => (answer.outcome, answer.code),
            Err(PeerError::Unreachable) => (Outcome::NotRun, Code::NoMember),
            Err(PeerError::Silent) => (Outcome::MayHaveRun, Code::PeerSilent),
        };
        trace.emit(Event::ForwardEnded { to: Arc::clone(&end.host), outcome, code });
        if end.result.is_err() {
            drop(self.control.try_send(ToControl::Unresponsive(Arc::clone(&end.host))));
        }
    }

    /// Takes one request off those counted as forwarded to a daemon.
    fn remove_forward(&self, host: &HostId, start: Instant) {
        let mut forwards = self.forwards.borrow_mut();
        let Some(starts) = forwards.get_mut(host) else { return };
        if let Some(at) = starts.iter().position(|held| *held == start) {
            starts.swap_remove(at);
        }
        if starts.is_empty() {
            forwards.remove(host);
        }
    }
}
