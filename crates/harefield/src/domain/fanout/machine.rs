//! The state machine of one fan-out.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::cut::Rules;
use super::shard::Action;
use super::shard::AttemptEnd;
use super::shard::Cancel;
use super::shard::Flight;
use super::shard::Hedge;
use super::shard::Send;
use super::shard::Shard;
use crate::domain::admission::Crowd;
use crate::domain::code::Code;
use crate::domain::event::Cause;
use crate::domain::event::Drop;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::AttemptId;
use crate::domain::outcome::Coverage;
use crate::domain::outcome::Gap;
use crate::domain::outcome::Missing;
use crate::domain::outcome::Outcome;
use crate::domain::outcome::Part;
use crate::domain::routing::Ask;
use crate::domain::routing::Bar;
use crate::domain::routing::Choice;
use crate::domain::routing::Router;
use crate::domain::routing::Until;
use crate::domain::view::Plan;

/// The most attempts on one shard.
const MOST_ATTEMPTS: u32 = 6;

/// How often a shard that waits for room asks again.
const POLL_EVERY: Duration = Duration::from_millis(1);

/// What a finished fan-out found.
#[derive(Debug)]
pub struct Finished {
    /// What became of the request.
    pub outcome: Outcome,
    /// The result code.
    pub code: Code,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// Their contributions.
    pub parts: Vec<Part>,
}

/// The fan-out of one request at one snapshot.
#[derive(Debug)]
pub struct Fanout {
    plan: Arc<Plan>,
    rules: Rules,
    shards: Vec<Shard>,
    next: AttemptId,
    contributed: usize,
    open: usize,
    cut: bool,
}

impl Fanout {
    /// Creates a fan-out over a plan; `first` numbers its first attempt.
    #[must_use]
    pub fn new(plan: Arc<Plan>, rules: Rules, first: AttemptId) -> Self {
        let shards: Vec<_> = plan.shards.iter().map(|_| Shard::default()).collect();
        let open = shards.len();
        Self {
            plan,
            rules,
            shards,
            next: first,
            contributed: 0,
            open,
            cut: false,
        }
    }

    /// Returns the plan.
    #[must_use]
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns how many shards had to wait for room.
    #[must_use]
    pub fn crowd(&self) -> Crowd {
        let waited = self.shards.iter().filter(|shard| shard.waited).count();
        Crowd {
            waited,
            shards: self.shards.len(),
        }
    }

    /// Returns the number that the next attempt would have.
    #[must_use]
    pub fn next_attempt(&self) -> AttemptId {
        self.next
    }

    /// Returns whether the answer can be given.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.cut || self.open == 0
    }

    /// Asks every shard for the first time.
    pub fn start(
        &mut self,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
    ) -> Vec<Action> {
        let mut actions = Vec::with_capacity(self.shards.len());
        for shard in 0..self.shards.len() {
            self.attempt(shard, Cause::First, now, router, sink, &mut actions);
        }
        actions
    }

    /// Takes the end of an attempt.
    pub fn on_end(
        &mut self,
        (shard, attempt): (usize, AttemptId),
        end: AttemptEnd,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(flight) = self.land(shard, attempt) else {
            return actions;
        };
        let name = Arc::clone(&self.plan.shards[shard].shard);
        if !self.shards[shard].is_open() {
            self.shards[shard].ran |= end.may_have_run();
            let why = if self.cut {
                Drop::Late
            } else {
                Drop::Duplicate
            };
            sink.emit(Event::ReplyDropped {
                shard: name,
                upstream: flight.upstream,
                attempt,
                why,
            });
            return actions;
        }
        match end {
            AttemptEnd::Answered(body) => {
                let took = now.saturating_duration_since(flight.start);
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                sink.emit(Event::ReplyTaken {
                    shard: name,
                    upstream: flight.upstream,
                    attempt,
                    micros,
                });
                self.contribute(shard, body, sink, &mut actions);
            }
            failed => {
                let (why, ran) = (failed.gap().unwrap_or(Gap::Failed), failed.may_have_run());
                let upstream = Arc::clone(&flight.upstream);
                sink.emit(Event::AttemptFailed {
                    shard: name,
                    upstream,
                    attempt,
                    why,
                    ran,
                });
                self.shards[shard].note_failure(&flight.upstream, &failed);
                self.after_failure(shard, now, router, sink, &mut actions);
            }
        }
        actions
    }

    /// Takes the passing of time: retries, hedges and the cut that are due.
    pub fn on_time(
        &mut self,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_done() {
            return actions;
        }
        if now >= self.rules.cut_at(self.contributed, self.shards.len()) {
            self.cut(sink, &mut actions);
            return actions;
        }
        for shard in 0..self.shards.len() {
            if !self.shards[shard].is_open() {
                continue;
            }
            if self.shards[shard].retry_at.is_some_and(|at| at <= now) {
                self.retry(shard, now, router, sink, &mut actions);
            } else if self.shards[shard].hedge_at().is_some_and(|at| at <= now) {
                self.hedge(shard, now, router, sink, &mut actions);
            }
        }
        actions
    }

    /// Returns when time next matters.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let cut = self.rules.cut_at(self.contributed, self.shards.len());
        let open = self.shards.iter().filter(|shard| shard.is_open());
        let times = open.flat_map(|shard| [shard.retry_at, shard.hedge_at()]);
        times.flatten().fold(cut, Instant::min)
    }

    /// Gives the result; what was not answered by now counts as missing.
    #[must_use]
    pub fn finish(self) -> Finished {
        let mut coverage = Coverage::default();
        let mut parts = Vec::new();
        let mut ran = false;
        for (plan, shard) in self.plan.shards.iter().zip(self.shards) {
            let name = Arc::clone(&plan.shard);
            let may_have_run = shard.may_have_run();
            if let Some(reply) = shard.part {
                coverage.contributed.push(Arc::clone(&name));
                parts.push(Part { shard: name, reply });
                continue;
            }
            ran |= may_have_run;
            let why = shard.gap.unwrap_or(Gap::NotAsked);
            coverage.missing.push(Missing {
                shard: name,
                why,
                ran: may_have_run,
            });
        }
        coverage.whole = coverage.missing.is_empty();
        let (outcome, code) = judge(&coverage, ran, self.cut, self.rules.repeatable);
        Finished {
            outcome,
            code,
            coverage,
            parts,
        }
    }

    fn land(&mut self, shard: usize, attempt: AttemptId) -> Option<Flight> {
        let flights = &mut self.shards.get_mut(shard)?.flights;
        let at = flights
            .iter()
            .position(|flight| flight.attempt == attempt)?;
        Some(flights.swap_remove(at))
    }

    fn contribute(
        &mut self,
        shard: usize,
        body: Box<serde_json::value::RawValue>,
        sink: &mut impl Sink,
        actions: &mut Vec<Action>,
    ) {
        self.shards[shard].part = Some(body);
        self.contributed += 1;
        self.open -= 1;
        self.cancel_flights(shard, sink, actions);
    }

    fn cancel_flights(&mut self, shard: usize, sink: &mut impl Sink, actions: &mut Vec<Action>) {
        for flight in &self.shards[shard].flights {
            let (attempt, upstream) = (flight.attempt, Arc::clone(&flight.upstream));
            let name = Arc::clone(&self.plan.shards[shard].shard);
            sink.emit(Event::Cancelled {
                shard: name,
                upstream: Arc::clone(&upstream),
                attempt,
            });
            actions.push(Action::Cancel(Cancel { attempt, upstream }));
        }
    }

    fn cut(&mut self, sink: &mut impl Sink, actions: &mut Vec<Action>) {
        let awaited = self.open;
        for shard in 0..self.shards.len() {
            if !self.shards[shard].is_open() {
                continue;
            }
            self.cancel_flights(shard, sink, actions);
            let late = !self.shards[shard].flights.is_empty();
            if late {
                self.shards[shard].gap = Some(Gap::Late);
            }
            self.close(shard, Gap::NotAsked, sink);
        }
        self.cut = true;
        sink.emit(Event::AnswerCut {
            contributed: self.contributed,
            awaited,
        });
    }

    fn close(&mut self, shard: usize, gap: Gap, sink: &mut impl Sink) {
        let state = &mut self.shards[shard];
        state.close(gap);
        self.open -= 1;
        let why = state.gap.unwrap_or(gap);
        let name = Arc::clone(&self.plan.shards[shard].shard);
        sink.emit(Event::ShardMissing {
            shard: name,
            why,
            ran: state.may_have_run(),
        });
    }

    fn after_failure(
        &mut self,
        shard: usize,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
        actions: &mut Vec<Action>,
    ) {
        let state = &mut self.shards[shard];
        if !state.flights.is_empty() {
            return;
        }
        let spent = state.sent >= MOST_ATTEMPTS;
        let once = !self.rules.repeatable && state.ran;
        if spent || once {
            self.close(shard, Gap::Failed, sink);
            return;
        }
        self.retry(shard, now, router, sink, actions);
    }

    fn retry(
        &mut self,
        shard: usize,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
        actions: &mut Vec<Action>,
    ) {
        let cause = if self.shards[shard].sent == 0 {
            Cause::First
        } else {
            Cause::Retry
        };
        self.attempt(shard, cause, now, router, sink, actions);
    }

    /// Asks a replica, or notes when to try again, or gives the shard up.
    fn attempt(
        &mut self,
        shard: usize,
        cause: Cause,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
        actions: &mut Vec<Action>,
    ) {
        self.shards[shard].retry_at = None;
        let mut chosen = self.choose(shard, now, router);
        if chosen.is_err() && !self.shards[shard].failed.is_empty() {
            self.shards[shard].failed.clear();
            chosen = self.choose(shard, now, router);
        }
        match chosen {
            Ok(_) if cause == Cause::Retry && !router.budget().spend_retry() => {
                self.close(shard, Gap::Overloaded, sink);
            }
            Ok(choice) => self.send(shard, choice, cause, now, router, sink, actions),
            Err(bar) => self.wait(shard, bar, now, sink),
        }
    }

    fn choose(&self, shard: usize, now: Instant, router: &mut Router) -> Result<Choice, Bar> {
        let plan = &self.plan.shards[shard];
        let tried = self.shards[shard].tried();
        let ask = Ask {
            replicas: &plan.replicas,
            tried: &tried,
            version: self.plan.version,
            index: &self.plan.index,
        };
        router.choose(&ask, now)
    }

    fn wait(&mut self, shard: usize, bar: Bar, now: Instant, sink: &mut impl Sink) {
        let cut = self.rules.deadline;
        let again = match bar.until {
            Until::Soon => Some(now + POLL_EVERY),
            Until::At(at) => Some(at),
            Until::Never => None,
        };
        let state = &mut self.shards[shard];
        state.waited |= bar.gap == Gap::Overloaded;
        if bar.gap != Gap::NoReplica || state.gap.is_none() {
            let news = state.gap != Some(bar.gap);
            state.gap = Some(bar.gap);
            if news {
                let name = Arc::clone(&self.plan.shards[shard].shard);
                sink.emit(Event::Waiting {
                    shard: name,
                    why: bar.gap,
                });
            }
        }
        match again.filter(|at| *at < cut) {
            Some(at) => state.retry_at = Some(at),
            None => self.close(shard, bar.gap, sink),
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one step of the machine, called twice"
    )]
    fn send(
        &mut self,
        shard: usize,
        choice: Choice,
        cause: Cause,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
        actions: &mut Vec<Action>,
    ) {
        let attempt = self.next;
        self.next += 1;
        let Choice { upstream, scores } = choice;
        router.begin(&upstream, now);
        if cause == Cause::First {
            router.budget().earn();
        }
        let hedge = self.hedge_time(now, router).map_or(Hedge::Off, Hedge::Due);
        let name = Arc::clone(&self.plan.shards[shard].shard);
        let state = &mut self.shards[shard];
        state.sent += 1;
        if state.hedge != Hedge::Sent {
            state.hedge = hedge;
        }
        state.flights.push(Flight {
            attempt,
            upstream: Arc::clone(&upstream),
            start: now,
        });
        sink.emit(Event::ReplicaChosen {
            shard: Arc::clone(&name),
            upstream: Arc::clone(&upstream),
            scores,
        });
        sink.emit(Event::Sent {
            shard: name,
            upstream: Arc::clone(&upstream),
            attempt,
            cause,
        });
        actions.push(Action::Send(Send {
            shard,
            upstream,
            attempt,
            cause,
            start: now,
        }));
    }

    fn hedge_time(&self, now: Instant, router: &Router) -> Option<Instant> {
        if !self.rules.repeatable {
            return None;
        }
        if let Some(fixed) = self.rules.fixed {
            return Some(now + fixed);
        }
        let slow = router.pace(&self.plan.index).slow();
        self.rules.hedge.map(|factor| now + slow.mul_f64(factor))
    }

    fn hedge(
        &mut self,
        shard: usize,
        now: Instant,
        router: &mut Router,
        sink: &mut impl Sink,
        actions: &mut Vec<Action>,
    ) {
        self.shards[shard].hedge = Hedge::Off;
        let Ok(choice) = self.choose(shard, now, router) else {
            self.shards[shard].hedge = Hedge::Due(now + POLL_EVERY);
            return;
        };
        if self.rules.fixed.is_none() && !router.budget().spend_hedge() {
            let name = Arc::clone(&self.plan.shards[shard].shard);
            sink.emit(Event::HedgeDenied { shard: name });
            self.shards[shard].hedge = Hedge::Due(now + POLL_EVERY * 2);
            return;
        }
        self.shards[shard].hedge = Hedge::Sent;
        self.send(shard, choice, Cause::Hedge, now, router, sink, actions);
    }
}

/// Says what became of a request; `ran` tells whether a shard that did not
/// contribute may have run it.
fn judge(coverage: &Coverage, ran: bool, cut: bool, repeatable: bool) -> (Outcome, Code) {
    if coverage.whole {
        return (Outcome::Answered, Code::Whole);
    }
    let some = !coverage.contributed.is_empty();
    if some && (repeatable || !ran) {
        return (Outcome::Answered, Code::Partial);
    }
    if ran && cut {
        return (Outcome::MayHaveRun, Code::DeadlinePassed);
    }
    if ran {
        return (Outcome::MayHaveRun, Code::ReplyLost);
    }
    (Outcome::NotRun, refusal(coverage))
}

fn refusal(coverage: &Coverage) -> Code {
    let all = |gaps: &[Gap]| {
        coverage
            .missing
            .iter()
            .all(|missing| gaps.contains(&missing.why))
    };
    if all(&[Gap::Unconfirmed]) {
        Code::Unconfirmed
    } else if all(&[
        Gap::NoReplica,
        Gap::Leaving,
        Gap::SnapshotMissing,
        Gap::Unreachable,
    ]) {
        Code::NoReplica
    } else {
        Code::AllRefused
    }
}
