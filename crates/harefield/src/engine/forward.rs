//! Handing a request to members of the cell, until one answers it; what goes to each
//! stands in `handing`.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;

use super::find::Found;
use super::handing::Ended;
use super::handing::Handed;
use super::handing::MOST_TRIES;
use super::handing::is_elsewhere;
use super::message::LookupRequest;
use super::run::CHANGE_AWAITED;
use super::run::may_have_run;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::outcome::Answer;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// When to come back where no member could be reached.
const COME_BACK: Duration = Duration::from_millis(500);

/// How often a request is handed on again while views of the cell differ.
const AGREE_EVERY: Duration = Duration::from_millis(20);

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
        loop {
            let answer = self.forward_once(request, found, trace).await;
            // Those asked have another view of the cell or an older configuration:
            // one of the two is about to change, and nothing has run.
            if !is_elsewhere(answer.code) || self.ports.clock.now() >= found.halfway() {
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
        self.hand_on(&mut handed, request, found, trace);
        // Once that time has passed, only ends are awaited, which come by themselves.
        let mut hedge_at = Some(found.halfway());
        while handed.under_way > 0 {
            let Some(ended) = self.next_end(&handed, hedge_at).await else {
                hedge_at = None;
                if self.may_hedge(found) {
                    self.hand_on(&mut handed, request, found, trace);
                }
                continue;
            };
            self.note_end(&ended, trace);
            if let Some(answer) = handed.take(ended.result) {
                return answer;
            }
            if self.may_retry(&handed, found) {
                self.hand_on(&mut handed, request, found, trace);
            }
        }
        unanswered(&handed, found, trace)
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
        in_time && may
    }

    fn may_retry(&self, handed: &Handed, found: &Found) -> bool {
        let in_time = self.ports.clock.now() < found.deadline;
        let safe = found.plan.lookup.repeatable || !handed.sent;
        in_time && safe && handed.under_way == 0
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
        if let Some(host) = self.pick_member(found, &handed.tried) {
            self.start_handing(handed, host, request, found, trace);
        }
    }
}

/// Returns the answer of a request that no member answered.
fn unanswered<C: Clock>(handed: &Handed, found: &Found, trace: &mut Trace<C>) -> Answer {
    if handed.sent {
        return may_have_run(trace, Code::PeerSilent);
    }
    if handed.tried.is_empty() && !found.regions.is_empty() {
        return refuse(trace, Code::NoRegion, CHANGE_AWAITED);
    }
    let code = if handed.disagreed { Code::NotMember } else { Code::NoMember };
    refuse(trace, code, COME_BACK)
}
