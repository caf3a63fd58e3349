//! Handing a request to a member of the cell.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::message::LookupRequest;
use super::message::ToControl;
use super::run::Found;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::HostId;
use crate::domain::membership::PeerState;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
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

/// Spare time that the member's answer has to travel.
const TRAVEL: Duration = Duration::from_millis(50);

impl<U, P, C> Worker<U, P, C>
where
    U: Upstreams + Clone + 'static,
    P: Peers + Clone + 'static,
    C: Clock + Copy + 'static,
{
    /// Hands a request to members of the cell until one answers.
    ///
    /// A member that was sent a once-only request and did not answer ends the
    /// tries: it may have run.
    pub(super) async fn forward(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let mut tried: Vec<HostId> = Vec::new();
        let mut sent = false;
        while tried.len() < MOST_TRIES {
            let Some(host) = self.pick_member(&found.plan.lookup.index, &tried) else {
                break;
            };
            tried.push(Arc::clone(&host));
            match self.hand_to(&host, request, found, trace).await {
                Ok(answer) => return answer,
                Err(PeerError::Unreachable) => {}
                Err(PeerError::Silent) => sent = true,
            }
            let late = self.ports.clock.now() >= found.deadline;
            if (sent && !found.plan.lookup.repeatable) || late {
                break;
            }
        }
        if sent {
            let id = trace.request().map_or("", |id| id);
            return Answer::may_have_run(id, Code::PeerSilent);
        }
        refuse(trace, Code::NoMember, COME_BACK)
    }

    /// Hands a request to one daemon.
    pub(super) async fn hand_to(
        self: &Rc<Self>,
        host: &HostId,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Result<Answer, PeerError> {
        let now = self.ports.clock.now();
        let left = found.deadline.saturating_duration_since(now);
        let repeatable = found.plan.lookup.repeatable;
        let limit = if repeatable {
            left * 2 / 3
        } else {
            left + TRAVEL
        };
        trace.emit(Event::Forwarded {
            to: Arc::clone(host),
        });
        let message = Forward {
            from: Arc::clone(&self.settings.host),
            stamp: trace.stamp(),
            request: trace.request().map(ToString::to_string).unwrap_or_default(),
            lookup: request.lookup.clone(),
            query: request.query.to_vec(),
            ticket: request.ticket.clone(),
            remaining: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        *self
            .forwards
            .borrow_mut()
            .entry(Arc::clone(host))
            .or_default() += 1;
        let ended = self.ports.peers.forward(host, &message, limit).await;
        if let Some(count) = self.forwards.borrow_mut().get_mut(host) {
            *count = count.saturating_sub(1);
        }
        let (outcome, code) = match &ended {
            Ok(answer) => (answer.outcome, answer.code),
            Err(PeerError::Unreachable) => (Outcome::NotRun, Code::NoMember),
            Err(PeerError::Silent) => (Outcome::MayHaveRun, Code::PeerSilent),
        };
        trace.emit(Event::ForwardEnded {
            to: Arc::clone(host),
            outcome,
            code,
        });
        if ended.is_err() {
            drop(self.control.try_send(ToControl::Silent(Arc::clone(host))));
        }
        ended
    }

    /// Picks a member: not known to be gone, in the own availability zone if
    /// there is one, the one of two with fewer requests handed to it.
    fn pick_member(&self, index: &str, tried: &[HostId]) -> Option<HostId> {
        let view = self.view.borrow();
        let cell = view.cells.get(index)?;
        let untried: Vec<&HostId> = cell.iter().filter(|host| !tried.contains(host)).collect();
        let live: Vec<&HostId> = untried
            .iter()
            .copied()
            .filter(|host| self.is_live(host))
            .collect();
        let near: Vec<&HostId> = live
            .iter()
            .copied()
            .filter(|host| self.is_near(host))
            .collect();
        let pool = [near, live, untried]
            .into_iter()
            .find(|hosts| !hosts.is_empty())?;
        let mut random = rand::rng();
        let draws = [
            random.random_range(0..pool.len()),
            random.random_range(0..pool.len()),
        ];
        let forwards = self.forwards.borrow();
        let load = |at: &usize| forwards.get(pool[*at]).copied().unwrap_or(0);
        draws
            .iter()
            .min_by_key(|at| load(at))
            .map(|at| Arc::clone(pool[*at]))
    }

    fn is_live(&self, host: &HostId) -> bool {
        let peers = self.peers.borrow();
        let row = peers.rows.iter().find(|row| row.host == *host);
        row.is_none_or(|row| row.state == PeerState::Live)
    }

    fn is_near(&self, host: &HostId) -> bool {
        let peers = self.peers.borrow();
        peers
            .rows
            .iter()
            .any(|row| row.host == *host && row.zone == self.settings.zone)
    }
}
