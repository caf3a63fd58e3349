//! One request handed to one daemon: the message, the account of what is under way
//! there, and how it ended.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;

use super::find::Found;
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

/// How many members are tried.
pub(super) const MOST_TRIES: usize = 3;

/// Spare time that another daemon's answer has to travel past the deadline.
pub(super) const TRAVEL: Duration = Duration::from_millis(50);

/// How long an edition that was seen elsewhere holds requests up here. The users' bound
/// for a configuration that travels by other daemons is 15 s.
const SEEN_FOR: Duration = Duration::from_secs(15);

/// How a request handed to one daemon ended.
pub(super) struct Ended {
    pub host: HostId,
    pub result: Result<Answer, PeerError>,
}

/// A request on its way through members of the cell.
pub(super) struct Handed {
    pub tried: Vec<HostId>,
    tasks: Vec<Task<()>>,
    pub under_way: usize,
    /// Whether a member was sent it, and did not answer.
    pub sent: bool,
    /// Whether a member left it to others.
    pub disagreed: bool,
    sender: Sender<Ended>,
    pub ends: Receiver<Ended>,
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
pub(super) fn is_elsewhere(code: Code) -> bool {
    matches!(code, Code::NotMember | Code::OlderView)
}

impl Handed {
    /// Creates the account of a request that nobody has yet.
    pub fn new() -> Self {
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

    /// Says whether an answer says "not run" of a request that another member may have run,
    /// or may be running.
    fn may_contradict(&self, answer: &Answer) -> bool {
        answer.outcome == Outcome::NotRun && (self.sent || self.under_way > 0)
    }

    /// Takes how one handing ended; returns the answer where there is one that is
    /// not left to others.
    pub fn take(&mut self, result: Result<Answer, PeerError>) -> Option<Answer> {
        self.under_way -= 1;
        match result {
            Ok(answer) if is_elsewhere(answer.code) || self.may_contradict(&answer) => {
                self.disagreed = true;
            }
            Ok(answer) => return Some(answer),
            Err(PeerError::Unreachable) => {}
            Err(PeerError::Silent) => self.sent = true,
        }
        None
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
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

    /// Hands a request to a daemon, as a task of its own.
    pub(super) fn start_handing(
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
                worker.note_edition(&forwarded);
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
            Query::Opaque(query) => Some((**query).clone()),
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
            edition: self.newest_edition(),
            again: handed.sent || handed.under_way > 0,
            late: found.late,
            suspects: self.reports(&found.work),
            asker: found.asker.clone(),
        }
    }

    /// Returns the newest edition that a request of this daemon may have run under.
    pub(super) fn newest_edition(&self) -> Edition {
        self.view.borrow().edition.max(self.seen_edition())
    }

    /// Returns the newest edition that callers have seen here by way of others; 0
    /// where that was long ago: what has not come here by then was taken back.
    pub(super) fn seen_edition(&self) -> Edition {
        let now = self.ports.clock.now();
        let seen = self.seen_edition.get();
        let recent = seen.filter(|(_, at)| now.saturating_duration_since(*at) < SEEN_FOR);
        recent.map_or(0, |(edition, _)| edition)
    }

    /// Notes the edition that another daemon ran a request of this one under: callers
    /// have seen it here, and must not see an older one here any more.
    fn note_edition(&self, forwarded: &ForwardAnswer) {
        if !is_elsewhere(forwarded.answer.code) {
            let newest = self.seen_edition().max(forwarded.edition);
            self.seen_edition.set(Some((newest, self.ports.clock.now())));
        }
    }

    /// Notes how a handing ended, and whether the daemon was silent.
    pub(super) fn note_end(&self, ended: &Ended, trace: &mut Trace<C>) {
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

    /// Takes one request less as handed to a daemon.
    fn forget_forward(&self, host: &HostId, start: Instant) {
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
