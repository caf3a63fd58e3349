//! A fan-out in a simulated environment that answers, fails and pauses on command.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::value::RawValue;

use crate::support::at;
use crate::support::replica;
use crate::support::router;
use crate::support::set;
use crate::support::view;
use harefield::domain::announcement::Announcement;
use harefield::domain::announcement::AnnouncementStamp;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::FanoutResult;
use harefield::domain::fanout::MAX_ATTEMPTS;
use harefield::domain::fanout::MAX_TRIALS;
use harefield::domain::fanout::SendAttempt;
use harefield::domain::outcome::Gap;
use harefield::domain::reply::Reply;
use harefield::domain::resources::Preference;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::view::Plan;
use harefield::domain::view::ReplicaLimit;

/// The next step of the environment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The attempt at this position among those in flight is answered.
    Answer(usize),
    /// It is refused; the flag says whether after it had begun.
    Refuse(usize, bool),
    /// Nothing of it was written.
    Unsent(usize),
    /// Its reply is lost.
    Lose(usize),
    /// Its reply is for another version.
    Wrong(usize),
    /// An end that was already reported is reported again.
    Repeat(usize),
    /// This many milliseconds pass.
    Wait(u64),
    /// The process is paused for two seconds.
    Pause,
    /// A replica announces that it is draining.
    Drain(usize, usize),
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<usize>().prop_map(Step::Answer),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, begun)| Step::Refuse(n, begun)),
        1 => any::<usize>().prop_map(Step::Unsent),
        2 => any::<usize>().prop_map(Step::Lose),
        1 => any::<usize>().prop_map(Step::Wrong),
        1 => any::<usize>().prop_map(Step::Repeat),
        4 => (1_u64..15).prop_map(Step::Wait),
        1 => Just(Step::Pause),
        1 => (0_usize..8, 0_usize..3).prop_map(|(shard, number)| Step::Drain(shard, number)),
    ]
}

/// A fan-out with everything that was sent and reported, to compare its result with.
pub struct World {
    pub fanout: Fanout,
    pub router: Router,
    pub plan: Arc<Plan>,
    pub now: Instant,
    pub start: Instant,
    pub in_flight: Vec<SendAttempt>,
    pub ended: Vec<(SendAttempt, AttemptEnd)>,
    pub sent: Vec<SendAttempt>,
    pub drained: BTreeSet<String>,
    pub events: Vec<Event>,
    pub repeatable: bool,
}

impl World {
    pub fn new(shards: usize, replicas: usize, repeatable: bool, prefer: Preference) -> Self {
        Self::with(shards, replicas, repeatable, |rules, _| rules.prefer = prefer)
    }

    /// Starts a fan-out whose rules and router a test has changed.
    pub fn with(
        shards: usize,
        replicas: usize,
        repeatable: bool,
        change: impl FnOnce(&mut AnswerRules, &mut Router),
    ) -> Self {
        Self::limited(shards, replicas, repeatable, |_| None, change)
    }

    /// Starts a fan-out with limits, by shard, on the replicas that may be queried.
    pub fn limited(
        shards: usize,
        replicas: usize,
        repeatable: bool,
        limit: impl Fn(usize) -> Option<ReplicaLimit>,
        change: impl FnOnce(&mut AnswerRules, &mut Router),
    ) -> Self {
        let start = Instant::now();
        let view = view(&set(shards, replicas, &[7]));
        let mut plan = (*view.lookups["l"].plans[0]).clone();
        for (at, shard) in plan.shards.iter_mut().enumerate() {
            shard.limit = limit(at);
        }
        let plan = Arc::new(plan);
        let mut router = router(&view, start);
        let mut rules = AnswerRules {
            kind: "l".into(),
            rank: 0,
            repeatable,
            prefer: Preference::Coverage,
            start,
            deadline: at(start, 100),
            hedge_factor: Some(1.0),
            fixed_delay: None,
            objective: None,
            cutoff: None,
            min_possible: None,
            grouped: false,
            repeated: false,
            min_share: 0.0,
            attempts: MAX_ATTEMPTS,
            left_out: Vec::new(),
            trials: MAX_TRIALS,
        };
        change(&mut rules, &mut router);
        let start = rules.start;
        let mut world = Self {
            fanout: Fanout::new(Arc::clone(&plan), rules, 0),
            router,
            plan,
            now: start,
            start,
            in_flight: Vec::new(),
            ended: Vec::new(),
            sent: Vec::new(),
            drained: BTreeSet::new(),
            events: Vec::new(),
            repeatable,
        };
        let actions = world.fanout.start(world.now, &mut world.router, &mut world.events);
        world.apply_actions(actions);
        world
    }

    pub fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(send) = action else { continue };
            assert!(!self.drained.contains(&*send.upstream), "a draining upstream gets no new requests");
            assert!(self.router.lease().held(self.now), "nothing is sent without a lease");
            if !self.repeatable {
                self.assert_only_attempt(&send);
            }
            self.sent.push(send.clone());
            self.in_flight.push(send);
        }
    }

    /// Asserts that a once-only request is attempted again only if all earlier attempts did not
    /// run.
    pub fn assert_only_attempt(&self, next: &SendAttempt) {
        for earlier in self.sent.iter().filter(|send| send.shard == next.shard) {
            let end = self.ended.iter().find(|(send, _)| send.attempt == earlier.attempt);
            let ran = end.is_none_or(|(_, end)| end.may_have_run());
            assert!(!ran, "no second attempt while the first may have run");
        }
    }

    pub fn end(&mut self, index: usize, end: AttemptEnd, outcome: AttemptOutcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let send = self.in_flight.swap_remove(index % self.in_flight.len());
        self.router.end(&send.upstream, send.start, outcome, &Report::default(), self.now);
        self.ended.push((send.clone(), end.clone()));
        self.report_end(&send, end);
    }

    pub fn report_end(&mut self, send: &SendAttempt, end: AttemptEnd) {
        let attempt = (send.shard, send.attempt);
        let actions = self.fanout.on_attempt_end(attempt, end, self.now, &mut self.router, &mut self.events);
        self.apply_actions(actions);
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.router.lease_mut().renew(self.now);
        let actions = self.fanout.on_timer(self.now, &mut self.router, &mut self.events);
        self.apply_actions(actions);
    }

    pub fn answer(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let body = body_of(&self.in_flight[index]);
        self.end(index, AttemptEnd::Answered(Reply::Json(body)), AttemptOutcome::Succeeded);
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Answer(index) => self.answer(index),
            Step::Refuse(index, begun) => {
                let end = AttemptEnd::Refused { why: Gap::Overloaded, begun };
                self.end(index, end, AttemptOutcome::Rejected(None));
            }
            Step::Unsent(index) => {
                let end = AttemptEnd::NotSent { why: Gap::Unreachable };
                self.end(index, end, AttemptOutcome::Failed);
            }
            Step::Lose(index) => {
                self.end(index, AttemptEnd::Lost { why: Gap::ReplyLost }, AttemptOutcome::Failed);
            }
            Step::Wrong(index) => {
                self.end(index, AttemptEnd::Lost { why: Gap::SnapshotWrong }, AttemptOutcome::Declined);
            }
            Step::Repeat(index) if !self.ended.is_empty() => {
                let (send, end) = self.ended[index % self.ended.len()].clone();
                self.report_end(&send, end);
            }
            Step::Repeat(_) => {}
            Step::Wait(millis) => self.advance(Duration::from_millis(millis)),
            Step::Pause => self.advance(Duration::from_secs(2)),
            Step::Drain(shard, number) => self.drain(shard, number),
        }
    }

    pub fn drain(&mut self, shard: usize, number: usize) {
        let name = replica(shard, number);
        let announcement =
            Announcement { stamp: AnnouncementStamp { start: 1, change: 1 }, draining: true, held: None };
        if self.router.merge_announcement(&name, &announcement) {
            self.drained.insert(name.to_string());
        }
    }

    pub fn run(mut self, steps: &[Step]) -> (FanoutResult, Vec<(SendAttempt, AttemptEnd)>, Vec<SendAttempt>) {
        for step in steps {
            if self.fanout.is_done() {
                break;
            }
            self.apply(*step);
        }
        while !self.fanout.is_done() {
            let wait = self.fanout.next_wake().saturating_duration_since(self.now);
            self.advance(wait.max(Duration::from_millis(1)));
            assert!(self.now < at(self.start, 60_000), "the fan-out never ends");
        }
        (self.fanout.finish(), self.ended, self.in_flight)
    }
}

/// Returns a body that identifies the attempt it answers.
fn body_of(send: &SendAttempt) -> Box<RawValue> {
    RawValue::from_string(format!("[{},{}]", send.shard, send.attempt)).expect("it is JSON")
}

/// Returns a fan-out with two replicas per shard in which all shards but the first have answered.
pub fn all_but_one(shards: usize, prefer: Preference) -> World {
    let mut world = World::new(shards, 2, true, prefer);
    for _ in 1..shards {
        let index =
            world.in_flight.iter().position(|send| send.shard != 0).expect("other attempts are in flight");
        world.answer(index);
    }
    world
}
