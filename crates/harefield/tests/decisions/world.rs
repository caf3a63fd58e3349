//! A fan-out with a world around it that answers, fails and pauses as it is told.

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
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::Finished;
use harefield::domain::fanout::MOST_ATTEMPTS;
use harefield::domain::fanout::MOST_TRIALS;
use harefield::domain::fanout::Rules;
use harefield::domain::fanout::Send;
use harefield::domain::outcome::Gap;
use harefield::domain::reply::Reply;
use harefield::domain::resources::Preference;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::routing::Verdict;
use harefield::domain::view::Plan;
use harefield::domain::view::ReplicaLimit;

/// What the world does next to a fan-out.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The attempt at this place among those under way is answered.
    Answer(usize),
    /// It is refused; the flag says whether after it began.
    Refuse(usize, bool),
    /// Nothing of it was written.
    Unsent(usize),
    /// Its reply is lost.
    Lose(usize),
    /// Its reply is for another version.
    Wrong(usize),
    /// An end that was told already is told again.
    Repeat(usize),
    /// Time passes.
    Wait(u64),
    /// The process pauses for long.
    Pause,
    /// A replica says that it drains.
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

/// A fan-out with all that was sent and told, to hold its result against.
pub struct World {
    pub fanout: Fanout,
    pub router: Router,
    pub plan: Arc<Plan>,
    pub now: Instant,
    pub start: Instant,
    pub flying: Vec<Send>,
    pub told: Vec<(Send, AttemptEnd)>,
    pub sent: Vec<Send>,
    pub drained: BTreeSet<String>,
    pub events: Vec<Event>,
    pub repeatable: bool,
}

impl World {
    pub fn new(shards: usize, replicas: usize, repeatable: bool, prefer: Preference) -> Self {
        Self::with(shards, replicas, repeatable, |rules, _| rules.prefer = prefer)
    }

    /// Begins a fan-out whose rules and router a test has changed.
    pub fn with(
        shards: usize,
        replicas: usize,
        repeatable: bool,
        change: impl FnOnce(&mut Rules, &mut Router),
    ) -> Self {
        Self::limited(shards, replicas, repeatable, |_| None, change)
    }

    /// Begins a fan-out in which the replicas that may be asked are limited by shard.
    pub fn limited(
        shards: usize,
        replicas: usize,
        repeatable: bool,
        limit: impl Fn(usize) -> Option<ReplicaLimit>,
        change: impl FnOnce(&mut Rules, &mut Router),
    ) -> Self {
        let start = Instant::now();
        let view = view(&set(shards, replicas, &[7]));
        let mut plan = (*view.lookups["l"].plans[0]).clone();
        for (at, shard) in plan.shards.iter_mut().enumerate() {
            shard.limit = limit(at);
        }
        let plan = Arc::new(plan);
        let mut router = router(&view, start);
        let mut rules = Rules {
            kind: "l".into(),
            repeatable,
            prefer: Preference::Coverage,
            start,
            deadline: at(start, 100),
            hedge: Some(1.0),
            fixed: None,
            objective: None,
            cut: None,
            possible: None,
            grouped: false,
            again: false,
            least_share: 0.0,
            attempts: MOST_ATTEMPTS,
            trials: MOST_TRIALS,
        };
        change(&mut rules, &mut router);
        let start = rules.start;
        let mut world = Self {
            fanout: Fanout::new(Arc::clone(&plan), rules, 0),
            router,
            plan,
            now: start,
            start,
            flying: Vec::new(),
            told: Vec::new(),
            sent: Vec::new(),
            drained: BTreeSet::new(),
            events: Vec::new(),
            repeatable,
        };
        let actions = world.fanout.start(world.now, &mut world.router, &mut world.events);
        world.act(actions);
        world
    }

    pub fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(send) = action else { continue };
            assert!(!self.drained.contains(&*send.upstream), "new work for a leaving upstream");
            assert!(self.router.lease().held(self.now), "new work without a lease");
            if !self.repeatable {
                self.assert_only_attempt(&send);
            }
            self.sent.push(send.clone());
            self.flying.push(send);
        }
    }

    /// A once-only attempt leaves only when all earlier ones did not run.
    pub fn assert_only_attempt(&self, next: &Send) {
        for earlier in self.sent.iter().filter(|send| send.shard == next.shard) {
            let end = self.told.iter().find(|(send, _)| send.attempt == earlier.attempt);
            let ran = end.is_none_or(|(_, end)| end.may_have_run());
            assert!(!ran, "a second attempt while the first may have run");
        }
    }

    pub fn end(&mut self, place: usize, end: AttemptEnd, verdict: Verdict) {
        if self.flying.is_empty() {
            return;
        }
        let send = self.flying.swap_remove(place % self.flying.len());
        self.router.end(&send.upstream, send.start, verdict, &Report::default(), self.now);
        self.told.push((send.clone(), end.clone()));
        self.tell(&send, end);
    }

    pub fn tell(&mut self, send: &Send, end: AttemptEnd) {
        let place = (send.shard, send.attempt);
        let actions = self.fanout.on_end(place, end, self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        self.router.lease_mut().renew(self.now);
        let actions = self.fanout.on_time(self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    pub fn answer(&mut self, place: usize) {
        if self.flying.is_empty() {
            return;
        }
        let place = place % self.flying.len();
        let body = body_of(&self.flying[place]);
        self.end(place, AttemptEnd::Answered(Reply::Json(body)), Verdict::Good);
    }

    pub fn take(&mut self, step: Step) {
        match step {
            Step::Answer(place) => self.answer(place),
            Step::Refuse(place, begun) => {
                let end = AttemptEnd::Refused { why: Gap::Overloaded, begun };
                self.end(place, end, Verdict::Full(None));
            }
            Step::Unsent(place) => {
                let end = AttemptEnd::NotSent { why: Gap::Unreachable };
                self.end(place, end, Verdict::Broken);
            }
            Step::Lose(place) => {
                self.end(place, AttemptEnd::Lost { why: Gap::ReplyLost }, Verdict::Broken);
            }
            Step::Wrong(place) => {
                self.end(place, AttemptEnd::Lost { why: Gap::SnapshotWrong }, Verdict::Declined);
            }
            Step::Repeat(place) if !self.told.is_empty() => {
                let (send, end) = self.told[place % self.told.len()].clone();
                self.tell(&send, end);
            }
            Step::Repeat(_) => {}
            Step::Wait(millis) => self.pass(Duration::from_millis(millis)),
            Step::Pause => self.pass(Duration::from_secs(2)),
            Step::Drain(shard, number) => self.drain(shard, number),
        }
    }

    pub fn drain(&mut self, shard: usize, number: usize) {
        let name = replica(shard, number);
        let word =
            Announcement { stamp: AnnouncementStamp { start: 1, change: 1 }, draining: true, held: None };
        if self.router.hear(&name, &word) {
            self.drained.insert(name.to_string());
        }
    }

    pub fn run(mut self, steps: &[Step]) -> (Finished, Vec<(Send, AttemptEnd)>, Vec<Send>) {
        for step in steps {
            if self.fanout.is_done() {
                break;
            }
            self.take(*step);
        }
        while !self.fanout.is_done() {
            let wait = self.fanout.next_wake().saturating_duration_since(self.now);
            self.pass(wait.max(Duration::from_millis(1)));
            assert!(self.now < at(self.start, 60_000), "the fan-out never ends");
        }
        (self.fanout.finish(), self.told, self.flying)
    }
}

/// Returns a body that names the very attempt it is for.
fn body_of(send: &Send) -> Box<RawValue> {
    RawValue::from_string(format!("[{},{}]", send.shard, send.attempt)).expect("it is JSON")
}

/// A fan-out over the small plan, answered up to one shard.
pub fn almost_whole(shards: usize, prefer: Preference) -> World {
    let mut world = World::new(shards, 2, true, prefer);
    for _ in 1..shards {
        let place = world.flying.iter().position(|send| send.shard != 0).expect("others fly");
        world.answer(place);
    }
    world
}
