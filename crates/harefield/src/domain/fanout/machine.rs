//! The state machine of one fan-out: what it is told and what it answers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use super::cut::Rules;
use super::hand::Hand;
use super::judge::Ending;
use super::judge::Finished;
use super::judge::judge;
use super::shard::Action;
use super::shard::AttemptEnd;
use super::shard::Cancel;
use super::shard::Flight;
use super::shard::Shard;
use super::step::Step;
use crate::domain::admission::Crowd;
use crate::domain::admission::Progress;
use crate::domain::event::Cause;
use crate::domain::event::Drop;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::ids::AttemptId;
use crate::domain::ids::ShardId;
use crate::domain::outcome::Contribution;
use crate::domain::outcome::Coverage;
use crate::domain::outcome::Gap;
use crate::domain::outcome::MissingShard;
use crate::domain::reply::Reply;
use crate::domain::routing::Router;
use crate::domain::time::micros;
use crate::domain::view::Plan;
use crate::domain::view::ShardPlan;

/// The fan-out of one request at one snapshot.
#[derive(Debug)]
pub struct Fanout {
    pub(super) plan: Arc<Plan>,
    pub(super) rules: Rules,
    pub(super) shards: Vec<Shard>,
    pub(super) next: AttemptId,
    contributed: usize,
    /// When it began, and when half of its shards and enough for an answer were in.
    begun: Option<Instant>,
    half: Option<Instant>,
    enough: Option<Instant>,
    /// The shards that this daemon asks first itself.
    own: Vec<usize>,
    /// The groups that are out.
    pub(super) handed: Vec<Hand>,
    open: usize,
    cut: bool,
    /// Whether an upstream may have ended while it had the request.
    pub(super) lost: bool,
    /// The shards that wait for a sign that the request does not end who runs it.
    pub(super) held: BTreeSet<usize>,
    /// How many upstreams were asked alone after that.
    pub(super) trials: u32,
}

impl Fanout {
    /// Creates a fan-out over a plan; `first` numbers its first attempt.
    #[must_use]
    pub fn new(plan: Arc<Plan>, rules: Rules, first: AttemptId) -> Self {
        let shard = |plan: &ShardPlan| Shard { limit: plan.limit.clone(), ..Shard::default() };
        let shards: Vec<_> = plan.shards.iter().map(shard).collect();
        let open = shards.len();
        let own = (0..open).collect();
        Self {
            plan,
            rules,
            shards,
            next: first,
            contributed: 0,
            begun: None,
            half: None,
            enough: None,
            own,
            handed: Vec::new(),
            open,
            cut: false,
            lost: false,
            held: BTreeSet::new(),
            trials: 0,
        }
    }

    /// Returns the plan.
    #[must_use]
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    /// Returns how it found the upstreams.
    #[must_use]
    pub fn crowd(&self, now: Instant) -> Crowd {
        let waited = self.shards.iter().filter(|shard| shard.waited).count();
        let progress = self.rules.cut.zip(self.begun).map(|(cut, begun)| Progress {
            half: self.half.unwrap_or(now).saturating_duration_since(begun),
            enough: self.enough.unwrap_or(now).saturating_duration_since(begun),
            allowed: cut.saturating_duration_since(self.rules.start),
        });
        Crowd { waited, shards: self.shards.len(), objective: self.rules.objective.is_some(), progress }
    }

    /// Returns whether it only waits for its last shards: its objective has passed, and
    /// most shards have contributed. It then loads few upstreams, and must not keep
    /// others from the rest.
    ///
    /// Over 15 played days credit of the kind with the shortest objective rose from 0.893
    /// to 0.898 by giving its permit back.
    #[must_use]
    pub fn is_straggling(&self, now: Instant) -> bool {
        let passed = self.rules.objective.is_some_and(|objective| now >= objective);
        passed && self.contributed * 2 >= self.shards.len()
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

    /// Hands on what other daemons are to ask; [`Fanout::start`] asks the rest.
    ///
    /// Groups leave before this daemon chooses among the replicas of its own shards: they
    /// have a hop and another daemon's work before them.
    pub fn start_groups(&mut self, now: Instant, router: &mut Router, sink: &mut impl Sink) -> Vec<Action> {
        let mut step = Step::new(now, router, sink);
        self.begun = Some(now);
        self.own = self.hand_on(&mut step);
        step.actions
    }

    /// Asks every shard that was not handed on for the first time.
    pub fn start(&mut self, now: Instant, router: &mut Router, sink: &mut impl Sink) -> Vec<Action> {
        let mut step = Step::new(now, router, sink);
        for shard in std::mem::take(&mut self.own) {
            if self.shards[shard].is_open() {
                self.attempt(shard, Cause::First, &mut step);
            }
        }
        step.actions
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
        let mut step = Step::new(now, router, sink);
        if let Some(flight) = self.land(shard, attempt) {
            self.take_end(shard, flight, end, &mut step);
        }
        self.settle_held(&mut step);
        step.actions
    }

    /// Takes the passing of time: retries, hedges and the cut that are due.
    pub fn on_time(&mut self, now: Instant, router: &mut Router, sink: &mut impl Sink) -> Vec<Action> {
        let mut step = Step::new(now, router, sink);
        if self.is_done() {
            return step.actions;
        }
        if now >= self.rules.cut_at(self.contributed, self.shards.len()) {
            self.cut(&mut step);
            return step.actions;
        }
        for shard in 0..self.shards.len() {
            if !self.shards[shard].is_open() {
                continue;
            }
            if self.shards[shard].retry_at.is_some_and(|at| at <= now) {
                self.retry_or_hold(shard, &mut step);
            } else if self.shards[shard].hedge_at().is_some_and(|at| at <= now) {
                self.hedge(shard, &mut step);
            }
        }
        self.settle_held(&mut step);
        step.actions
    }

    /// Returns when time next matters.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let cut = self.rules.cut_at(self.contributed, self.shards.len());
        let open = self.shards.iter().filter(|shard| shard.is_open());
        let times = open.flat_map(|shard| [shard.retry_at, shard.hedge_at()]);
        times.flatten().fold(cut, Instant::min)
    }

    /// Returns whether an upstream has answered.
    pub(super) fn is_answered(&self) -> bool {
        self.contributed > 0
    }

    /// Gives the result; what was not answered by now counts as missing.
    #[must_use]
    pub fn finish(self) -> Finished {
        let mut coverage = Coverage::default();
        let mut parts = Vec::new();
        let mut ran = false;
        let mut failure = None;
        let mut sent = Vec::new();
        for (plan, shard) in self.plan.shards.iter().zip(self.shards) {
            let name = Arc::clone(&plan.shard);
            let may_have_run = shard.may_have_run();
            if let Some(reply) = shard.part {
                coverage.contributed.push(Arc::clone(&name));
                parts.push(Contribution { shard: name, reply });
                continue;
            }
            failure = failure.or(shard.failure);
            ran |= may_have_run;
            sent.push(shard.sent);
            let why = shard.gap.unwrap_or(Gap::NotAsked);
            coverage.missing.push(MissingShard { shard: name, why, ran: may_have_run });
        }
        coverage.whole = coverage.missing.is_empty();
        let least = self.rules.least(self.plan.shards.len());
        let ending = Ending { ran, cut: self.cut, repeatable: self.rules.repeatable, least };
        let (outcome, code) = judge(&coverage, ending);
        Finished { outcome, code, coverage, parts, failure, sent }
    }

    pub(super) fn name(&self, shard: usize) -> ShardId {
        Arc::clone(&self.plan.shards[shard].shard)
    }

    pub(super) fn land(&mut self, shard: usize, attempt: AttemptId) -> Option<Flight> {
        let flights = &mut self.shards.get_mut(shard)?.flights;
        let at = flights.iter().position(|flight| flight.attempt == attempt)?;
        Some(flights.swap_remove(at))
    }

    pub(super) fn take_end<S: Sink>(
        &mut self,
        shard: usize,
        flight: Flight,
        end: AttemptEnd,
        step: &mut Step<'_, S>,
    ) {
        let Flight { attempt, upstream, start, .. } = flight;
        let name = self.name(shard);
        if !self.shards[shard].is_open() {
            self.shards[shard].ran |= end.may_have_run();
            let why = if self.cut { Drop::Late } else { Drop::Duplicate };
            step.emit(Event::ReplyDropped { shard: name, upstream, attempt, why });
            return;
        }
        match end {
            AttemptEnd::Answered(body) => {
                let took = step.now.saturating_duration_since(start);
                step.emit(Event::ReplyTaken { shard: name, upstream, attempt, micros: micros(took) });
                self.contribute(shard, body, step);
            }
            failed => {
                let (why, ran) = (failed.gap().unwrap_or(Gap::Failed), failed.may_have_run());
                self.note_lost(why);
                self.shards[shard].note_failure(&upstream, &failed);
                step.emit(Event::AttemptFailed { shard: name, upstream, attempt, why, ran });
                self.after_failure(shard, step);
            }
        }
    }

    fn contribute<S: Sink>(&mut self, shard: usize, body: Reply, step: &mut Step<'_, S>) {
        self.shards[shard].part = Some(body);
        self.contributed += 1;
        if self.half.is_none() && self.contributed * 2 >= self.shards.len() {
            self.half = Some(step.now);
        }
        if self.enough.is_none() && self.contributed >= self.rules.least(self.shards.len()) {
            self.enough = Some(step.now);
        }
        self.open -= 1;
        self.cancel_flights(shard, step);
    }

    /// Cancels what is under way, but for probes: they are to show how a
    /// replica does.
    fn cancel_flights<S: Sink>(&self, shard: usize, step: &mut Step<'_, S>) {
        let flights = &self.shards[shard].flights;
        for flight in flights.iter().filter(|flight| flight.cause != Cause::Probe) {
            let (attempt, upstream) = (flight.attempt, Arc::clone(&flight.upstream));
            let shard = self.name(shard);
            step.emit(Event::Cancelled { shard, upstream: Arc::clone(&upstream), attempt });
            step.actions.push(Action::Cancel(Cancel { attempt, upstream }));
        }
    }

    fn cut<S: Sink>(&mut self, step: &mut Step<'_, S>) {
        self.cut = true;
        let awaited = self.open;
        for shard in 0..self.shards.len() {
            if !self.shards[shard].is_open() {
                continue;
            }
            self.cancel_flights(shard, step);
            if !self.shards[shard].flights.is_empty() {
                self.shards[shard].gap = Some(Gap::Late);
            }
            self.close(shard, Gap::NotAsked, step);
        }
        step.emit(Event::AnswerCut { contributed: self.contributed, awaited });
    }

    pub(super) fn close<S: Sink>(&mut self, shard: usize, gap: Gap, step: &mut Step<'_, S>) {
        let name = self.name(shard);
        let state = &mut self.shards[shard];
        state.close(gap);
        self.open -= 1;
        let why = state.gap.unwrap_or(gap);
        step.emit(Event::ShardMissing { shard: name, why, ran: state.may_have_run() });
        self.give_up_early(step);
    }

    /// Ends the fan-out once too few shards are left to make an answer.
    fn give_up_early<S: Sink>(&mut self, step: &mut Step<'_, S>) {
        let least = self.rules.possible.unwrap_or_else(|| self.rules.least(self.plan.shards.len()));
        if self.rules.repeatable && !self.cut && self.open > 0 && self.contributed + self.open < least {
            self.cut(step);
        }
    }

    fn retry_or_hold<S: Sink>(&mut self, shard: usize, step: &mut Step<'_, S>) {
        if self.is_suspect() && self.is_paid(shard, step) {
            self.hold(shard);
        } else {
            self.retry(shard, step);
        }
    }

    /// Says whether the budget would pay for asking for a shard now; where it does not, there
    /// is nothing to wait for.
    fn is_paid<S: Sink>(&self, shard: usize, step: &mut Step<'_, S>) -> bool {
        self.shards[shard].sent == 0 || step.router.budget(&self.plan.shards[shard].shard).has_retry()
    }

    fn after_failure<S: Sink>(&mut self, shard: usize, step: &mut Step<'_, S>) {
        let state = &self.shards[shard];
        if state.is_awaited() {
            return;
        }
        let spent = !self.may_send(shard);
        let once = !self.rules.repeatable && state.ran;
        if spent || once {
            self.close(shard, Gap::Failed, step);
            return;
        }
        self.retry_or_hold(shard, step);
    }
}
