//! The fan-out under generated schedules of replies, losses and pauses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::value::RawValue;

use crate::support::at;
use crate::support::cases;
use crate::support::replica;
use crate::support::router;
use crate::support::set;
use crate::support::view;
use harefield::domain::code::Code;
use harefield::domain::event::Cause;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Echo;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::Finished;
use harefield::domain::fanout::MOST_ATTEMPTS;
use harefield::domain::fanout::Rules;
use harefield::domain::fanout::Send;
use harefield::domain::fanout::verify;
use harefield::domain::outcome::Gap;
use harefield::domain::outcome::Outcome;
use harefield::domain::reply::Reply;
use harefield::domain::resources::Preference;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::routing::Verdict;
use harefield::domain::view::Plan;
use harefield::domain::word::Word;
use harefield::domain::word::WordStamp;

/// What the world does next to a fan-out.
#[derive(Clone, Copy, Debug)]
enum Step {
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

fn step() -> impl Strategy<Value = Step> {
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
struct World {
    fanout: Fanout,
    router: Router,
    plan: Arc<Plan>,
    now: Instant,
    start: Instant,
    flying: Vec<Send>,
    told: Vec<(Send, AttemptEnd)>,
    sent: Vec<Send>,
    drained: BTreeSet<String>,
    events: Vec<Event>,
    repeatable: bool,
}

impl World {
    fn new(shards: usize, replicas: usize, repeatable: bool, prefer: Preference) -> Self {
        Self::with(shards, replicas, repeatable, |rules, _| rules.prefer = prefer)
    }

    /// Begins a fan-out whose rules and router a test has changed.
    fn with(
        shards: usize,
        replicas: usize,
        repeatable: bool,
        change: impl FnOnce(&mut Rules, &mut Router),
    ) -> Self {
        let start = Instant::now();
        let view = view(&set(shards, replicas, &[7]));
        let plan = Arc::clone(&view.lookups["l"].plans[0]);
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
            grouped: false,
            least_share: 0.0,
            attempts: MOST_ATTEMPTS,
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

    fn act(&mut self, actions: Vec<Action>) {
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
    fn assert_only_attempt(&self, next: &Send) {
        for earlier in self.sent.iter().filter(|send| send.shard == next.shard) {
            let end = self.told.iter().find(|(send, _)| send.attempt == earlier.attempt);
            let ran = end.is_none_or(|(_, end)| end.may_have_run());
            assert!(!ran, "a second attempt while the first may have run");
        }
    }

    fn end(&mut self, place: usize, end: AttemptEnd, verdict: Verdict) {
        if self.flying.is_empty() {
            return;
        }
        let send = self.flying.swap_remove(place % self.flying.len());
        self.router.end(&send.upstream, send.start, verdict, &Report::default(), self.now);
        self.told.push((send.clone(), end.clone()));
        self.tell(&send, end);
    }

    fn tell(&mut self, send: &Send, end: AttemptEnd) {
        let place = (send.shard, send.attempt);
        let actions = self.fanout.on_end(place, end, self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.router.lease_mut().renew(self.now);
        let actions = self.fanout.on_time(self.now, &mut self.router, &mut self.events);
        self.act(actions);
    }

    fn answer(&mut self, place: usize) {
        if self.flying.is_empty() {
            return;
        }
        let place = place % self.flying.len();
        let body = body_of(&self.flying[place]);
        self.end(place, AttemptEnd::Answered(Reply::Json(body)), Verdict::Good);
    }

    fn take(&mut self, step: Step) {
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

    fn drain(&mut self, shard: usize, number: usize) {
        let name = replica(shard, number);
        let word = Word { stamp: WordStamp { start: 1, change: 1 }, draining: true, held: None };
        if self.router.hear(&name, &word) {
            self.drained.insert(name.to_string());
        }
    }

    fn run(mut self, steps: &[Step]) -> (Finished, Vec<(Send, AttemptEnd)>, Vec<Send>) {
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

proptest! {
    #![proptest_config(cases(600))]

    /// Coverage names every shard of the snapshot once, on the side where it belongs.
    #[test]
    fn coverage_true(
        shards in 1_usize..8,
        replicas in 1_usize..4,
        repeatable in any::<bool>(),
        coverage in any::<bool>(),
        steps in prop::collection::vec(step(), 0..60),
    ) {
        let prefer = if coverage { Preference::Coverage } else { Preference::Time };
        let world = World::new(shards, replicas, repeatable, prefer);
        let plan = Arc::clone(&world.plan);
        let (finished, told, flying) = world.run(&steps);

        let contributed: BTreeSet<_> = finished.coverage.contributed.iter().cloned().collect();
        let missing: BTreeSet<_> = finished.coverage.missing.iter().map(|m| Arc::clone(&m.shard)).collect();
        let asked: BTreeSet<_> = plan.shards.iter().map(|s| Arc::clone(&s.shard)).collect();
        prop_assert!(contributed.is_disjoint(&missing));
        prop_assert_eq!(contributed.union(&missing).cloned().collect::<BTreeSet<_>>(), asked);
        prop_assert_eq!(contributed.len() + missing.len(), plan.shards.len());
        prop_assert_eq!(finished.coverage.whole, missing.is_empty());

        // Each contribution is a reply that was told for that very shard.
        let answers: BTreeMap<String, usize> = told.iter().filter_map(|(send, end)| match end {
            AttemptEnd::Answered(body) => Some((body.get().to_owned(), send.shard)),
            _ => None,
        }).collect();
        prop_assert_eq!(finished.parts.len(), contributed.len());
        for part in &finished.parts {
            let shard = answers.get(part.reply.get()).expect("the reply was told");
            prop_assert_eq!(&plan.shards[*shard].shard, &part.shard);
        }
        // An answered shard is never called missing, unless cut before.
        for missing in &finished.coverage.missing {
            let place = plan.shards.iter().position(|s| s.shard == missing.shard).expect("it is asked");
            let ran = told.iter().any(|(send, end)| send.shard == place && end.may_have_run())
                || flying.iter().any(|send| send.shard == place);
            prop_assert_eq!(missing.ran, ran, "{:?}", missing);
        }
    }

    /// "Not run" is said only when nothing can have run anywhere.
    #[test]
    fn not_run_true(
        shards in 1_usize..5,
        replicas in 1_usize..3,
        repeatable in any::<bool>(),
        steps in prop::collection::vec(step(), 0..40),
    ) {
        let world = World::new(shards, replicas, repeatable, Preference::Coverage);
        let (finished, told, flying) = world.run(&steps);
        let ran = told.iter().any(|(_, end)| end.may_have_run()) || !flying.is_empty();
        if finished.outcome == Outcome::NotRun {
            prop_assert!(!ran);
        }
        if !ran {
            prop_assert_eq!(finished.outcome, Outcome::NotRun);
        }
        if !repeatable && finished.outcome == Outcome::Answered {
            prop_assert!(finished.coverage.missing.iter().all(|missing| !missing.ran));
        }
    }
}

/// A fan-out over the small plan, answered up to one shard.
fn almost_whole(shards: usize, prefer: Preference) -> World {
    let mut world = World::new(shards, 2, true, prefer);
    for _ in 1..shards {
        let place = world.flying.iter().position(|send| send.shard != 0).expect("others fly");
        world.answer(place);
    }
    world
}

#[test]
fn all_answer() {
    let mut world = World::new(3, 2, true, Preference::Time);
    for _ in 0..3 {
        world.answer(0);
    }
    let (finished, _, _) = world.run(&[]);
    assert_eq!(finished.code, Code::Whole);
    assert_eq!(finished.outcome, Outcome::Answered);
}

#[test]
fn hedge_slow() {
    let mut world = almost_whole(40, Preference::Coverage);
    world.pass(Duration::from_millis(60));
    let hedges =
        world.events.iter().filter(|event| matches!(event, Event::Sent { cause: Cause::Hedge, .. })).count();
    assert_eq!(hedges, 1, "the one slow shard is hedged once");
    let (first, second) = (&world.sent[0], world.sent.last().expect("a hedge left"));
    assert_eq!(first.shard, second.shard);
    assert_ne!(first.upstream, second.upstream);
}

#[test]
fn hedge_loser_dropped() {
    let mut world = almost_whole(40, Preference::Coverage);
    world.pass(Duration::from_millis(60));
    let place = world.flying.iter().position(|send| send.attempt != 0).expect("the hedge flies");
    world.answer(place);
    assert!(world.fanout.is_done());
    world.answer(0);
    let dropped = |event: &Event| matches!(event, Event::ReplyDropped { attempt: 0, .. });
    assert!(world.events.iter().any(dropped));
    let finished = world.fanout.finish();
    assert_eq!(finished.parts.len(), 40);
}

#[test]
fn late_after_cut() {
    let mut world = World::new(2, 1, true, Preference::Coverage);
    world.answer(0);
    world.pass(Duration::from_millis(100));
    assert!(world.fanout.is_done(), "the deadline cuts");
    world.answer(0);
    let finished = world.fanout.finish();
    assert_eq!(finished.coverage.contributed.len(), 1);
    assert_eq!(finished.coverage.missing[0].why, Gap::Late);
    assert!(finished.coverage.missing[0].ran);
}

#[test]
fn time_first_cut() {
    let mut early = almost_whole(20, Preference::Time);
    early.pass(Duration::from_millis(60));
    assert!(early.fanout.is_done(), "most contributed, half the time is over");
    let mut patient = almost_whole(20, Preference::Coverage);
    patient.pass(Duration::from_millis(60));
    assert!(!patient.fanout.is_done(), "coverage goes first");
}

#[test]
fn dead_ends_at_once() {
    let mut world = World::new(1, 2, true, Preference::Coverage);
    world.drain(0, 0);
    world.drain(0, 1);
    let end = AttemptEnd::Refused { why: Gap::Leaving, begun: false };
    world.end(0, end, Verdict::Declined);
    assert!(world.fanout.is_done(), "no replica is left, so nothing is awaited");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::NotRun);
    assert_eq!(finished.code, Code::NoReplica);
}

#[test]
fn budget_bounds_hedges() {
    let mut world = World::new(200, 2, true, Preference::Coverage);
    for _ in 0..90 {
        world.pass(Duration::from_millis(1));
    }
    let extra = world.sent.len() - 200;
    assert!(extra > 0, "some hedges leave");
    assert!(extra <= 16 + 10, "{extra} hedges for 200 requests at 5%");
}

#[test]
fn echo_must_match() {
    let asked = Echo { request: "r.1".into(), shard: "s/0".into(), version: 7 };
    assert_eq!(verify(&asked, Some(&asked.clone())), Ok(()));
    let crossed = Echo { request: "r.2".into(), ..asked.clone() };
    assert_eq!(verify(&asked, Some(&crossed)), Err(Gap::ReplyCrossed));
    let moved = Echo { shard: "s/1".into(), ..asked.clone() };
    assert_eq!(verify(&asked, Some(&moved)), Err(Gap::ReplyCrossed));
    let other = Echo { version: 8, ..asked.clone() };
    assert_eq!(verify(&asked, Some(&other)), Err(Gap::SnapshotWrong));
    assert_eq!(verify(&asked, None), Err(Gap::ReplyCrossed));
}

/// Makes replica 1 of every shard one that takes much longer, seen a second ago.
fn slow_second(shards: usize, rules: &mut Rules, router: &mut Router) {
    let past = rules.start;
    for shard in 0..shards {
        for (number, millis) in [(0, 4), (1, 60)] {
            let name = replica(shard, number);
            for _ in 0..20 {
                router.begin(&name, past);
                router.end(&name, past, Verdict::Good, &Report::default(), at(past, millis));
            }
        }
    }
    for step in 1..=10 {
        router.lease_mut().renew(at(past, step * 100));
    }
    rules.start = at(past, 1000);
    rules.deadline = at(past, 1100);
}

proptest! {
    #![proptest_config(cases(64))]

    /// No more upstreams are asked for a shard than the lookup allows, probes
    /// included.
    #[test]
    fn attempts_kept(steps in proptest::collection::vec(step(), 0..40), attempts in 1_u32..4) {
        let mut world = World::with(6, 3, true, |rules, router| {
            slow_second(6, rules, router);
            rules.attempts = attempts;
        });
        for step in steps {
            if world.fanout.is_done() {
                break;
            }
            world.take(step);
        }
        for shard in 0..6 {
            let sent = world.sent.iter().filter(|send| send.shard == shard).count();
            prop_assert!(sent <= usize::try_from(attempts).expect("it is small"), "{} attempts", sent);
        }
    }
}

#[test]
fn objective_cuts() {
    let objective = |rules: &mut Rules, least| {
        rules.objective = Some(at(rules.start, 50));
        rules.least_share = least;
    };
    let mut world = World::with(20, 2, true, |rules, _| objective(rules, 0.89));
    for _ in 0..17 {
        world.answer(0);
    }
    world.pass(Duration::from_millis(50));
    assert!(!world.fanout.is_done(), "17 of 20 are too few");
    world.answer(0);
    world.pass(Duration::ZERO);
    assert!(world.fanout.is_done(), "18 of 20 are enough, and it is time");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::Answered);
    assert_eq!(finished.coverage.contributed.len(), 18);
    assert_eq!(finished.coverage.missing.len(), 2);
}

#[test]
fn objective_waits_for_all() {
    let mut world = World::with(20, 2, true, |rules, _| {
        rules.objective = Some(at(rules.start, 50));
        rules.least_share = 0.5;
    });
    for _ in 0..19 {
        world.answer(0);
    }
    world.pass(Duration::from_millis(49));
    assert!(!world.fanout.is_done(), "there is time for the last");
    world.pass(Duration::from_millis(1));
    assert!(world.fanout.is_done());
}

#[test]
fn hopeless_ends_early() {
    let mut world = World::with(4, 1, true, |rules, _| {
        rules.least_share = 0.75;
        rules.attempts = 1;
    });
    for _ in 0..2 {
        assert!(!world.fanout.is_done());
        world.end(0, AttemptEnd::Lost { why: Gap::ReplyLost }, Verdict::Broken);
    }
    assert!(world.fanout.is_done(), "two of four are lost, and three are needed");
    let finished = world.fanout.finish();
    assert_eq!(finished.outcome, Outcome::MayHaveRun);
}
