//! Forwards a request to members of the cell until one answers. The exchange with each member is in
//! `forward_attempt`.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;

use super::find::ResolvedRequest;
use super::forward_attempt::ForwardOutcome;
use super::forward_attempt::ForwardState;
use super::forward_attempt::MAX_TRIES;
use super::forward_attempt::is_redirect;
use super::message::LookupRequest;
use super::run::CONFIG_RETRY;
use super::run::may_have_run;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::outcome::Answer;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How long a caller is told to wait when no member could be reached.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The interval between rounds of forwarding while daemons' views of the cell differ.
const REFORWARD_EVERY: Duration = Duration::from_millis(20);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Forwards a request to a member of the cell, and to others where that one fails or, for
    /// repeatable requests and within a budget, is slow.
    ///
    /// A member that was sent a once-only request and did not answer ends the tries: the request
    /// may have run.
    pub(super) async fn forward(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        loop {
            let answer = self.forward_once(request, resolved, trace).await;
            // The members tried have another view of the cell or an older configuration. Either
            // theirs or this daemon's is about to change, and nothing has run.
            let is_over = self.ports.clock.now() >= resolved.halfway() || self.is_member(resolved);
            if !is_redirect(answer.code) || is_over {
                return answer;
            }
            self.ports.clock.sleep(REFORWARD_EVERY).await;
        }
    }

    async fn forward_once(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        let mut state = ForwardState::new();
        self.forward_next(&mut state, request, resolved, trace);
        // Once this time has passed, only outcomes are awaited, which arrive without a timer.
        let mut hedge_at = Some(resolved.halfway());
        while state.in_flight > 0 {
            let Some(outcome) = self.next_outcome(&state, hedge_at).await else {
                hedge_at = None;
                if self.may_hedge(resolved) {
                    self.forward_next(&mut state, request, resolved, trace);
                }
                continue;
            };
            self.record_end(&outcome, trace);
            if let Some(answer) = state.record(outcome.result) {
                return answer;
            }
            if self.may_retry(&state, resolved) {
                self.forward_next(&mut state, request, resolved, trace);
            }
        }
        unanswered(&state, resolved, trace)
    }

    /// Returns the next outcome; none if `until` passes first.
    async fn next_outcome(&self, state: &ForwardState, until: Option<Instant>) -> Option<ForwardOutcome> {
        let timed = async {
            match until {
                Some(until) => self.ports.clock.sleep_until(until).await,
                None => std::future::pending().await,
            }
            None
        };
        async { state.outcomes.recv().await.ok() }.or(timed).await
    }

    /// Returns whether a request may be forwarded to a second member while the first still runs it.
    /// It may not where its lookup limits the number of upstreams queried, since the two members
    /// would choose theirs independently.
    fn may_hedge(&self, resolved: &ResolvedRequest) -> bool {
        let in_time = self.ports.clock.now() < resolved.deadline;
        let lookup = &resolved.plan.lookup;
        let may = lookup.repeatable && lookup.attempts.is_none();
        in_time && may
    }

    fn may_retry(&self, state: &ForwardState, resolved: &ResolvedRequest) -> bool {
        let in_time = self.ports.clock.now() < resolved.deadline;
        let safe = resolved.plan.lookup.repeatable || !state.unanswered;
        in_time && safe && state.in_flight == 0
    }

    /// Forwards a request to one more member, if there is one.
    fn forward_next(
        self: &Rc<Self>,
        state: &mut ForwardState,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) {
        if state.tried.len() >= MAX_TRIES {
            return;
        }
        if let Some(host) = self.choose_member(resolved, &state.tried) {
            self.start_forward(state, host, request, resolved, trace);
        }
    }
}

/// Returns the answer to a request that no member answered.
fn unanswered<C: Clock>(state: &ForwardState, resolved: &ResolvedRequest, trace: &mut Trace<C>) -> Answer {
    if state.unanswered {
        return may_have_run(trace, Code::PeerSilent);
    }
    if state.tried.is_empty() && !resolved.regions.is_empty() {
        return refuse(trace, Code::NoRegion, CONFIG_RETRY);
    }
    let code = if state.redirected { Code::NotMember } else { Code::NoMember };
    refuse(trace, code, RETRY_AFTER)
}
