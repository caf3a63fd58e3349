//! Fan-outs of a scheduled index whose shards wait for free capacity: the load is replayed over the
//! state machines in virtual time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::value::RawValue;

use crate::scheduled::rules;
use crate::support::at;
use crate::support::items;
use crate::support::values;
use crate::support::view;
use harefield::domain::event::Cause;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::AttemptEnd;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::SendAttempt;
use harefield::domain::reply::Reply;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::AttemptOutcome;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Report;
use harefield::domain::routing::Router;
use harefield::domain::routing::Scheduling;
use harefield::domain::topology::Topology;
use harefield::domain::view::Plan;

/// How many requests for a shard are in flight at once: two at each of three replicas. All of them
/// are in the region of this daemon, so that no request waits for a nearer one.
const SLOTS: usize = 6;

/// The deadline of all requests, far off.
const DEADLINE_MS: u64 = 10_000;

struct Request {
    fanout: Fanout,
    rank: u32,
    work: u64,
    begun: u64,
    sent: Option<u64>,
}

/// One shard of a scheduled index with the requests for it.
struct Load {
    router: Router,
    plan: Arc<Plan>,
    start: Instant,
    now: u64,
    requests: Vec<Request>,
    /// Attempts with their request and when they end.
    in_flight: Vec<(u64, usize, SendAttempt)>,
    /// Whether notifications are delivered.
    notifies: bool,
}

impl Load {
    fn new(scheduled: bool) -> Self {
        let start = Instant::now();
        let mut values = values(40, 3, &[7]);
        for (key, value) in &mut values {
            if key.starts_with("upstreams/") {
                // Two of them may be used, so that the window never exceeds the slots.
                value["connections"] = json!(3);
                value["zone"] = json!(["a", "b", "c"][usize::from(key.as_bytes()[key.len() - 1] - b'0')]);
            }
        }
        let lookup = values.get_mut("lookups/l").expect("it is there");
        lookup["attempts"] = json!(2);
        lookup["objective-ms"] = json!(80);
        let view = view(&Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid")));
        let regions = [("a", "x"), ("b", "x"), ("c", "x"), ("d", "y"), ("e", "z")];
        let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
        let topology = Topology { zone: "a".into(), regions: regions.into() };
        let mut router = Router::new(Policy::Cost, Budgets::single(1.0), 7, start)
            .with_topology(topology)
            .with_scheduling(Scheduling::new(scheduled, &[8, 4, 2, 1]));
        router.apply(&view, start);
        assert_eq!(router.schedules("i"), scheduled);
        let whole = &view.lookups["l"].plans[0];
        let plan = Arc::new(whole.single_shard(&whole.shards[0]));
        Self { router, plan, start, now: 0, requests: Vec::new(), in_flight: Vec::new(), notifies: true }
    }

    fn time(&self) -> Instant {
        at(self.start, self.now)
    }

    /// Begins a request that takes `work` milliseconds at an upstream; returns its number.
    fn begin(&mut self, rank: u32, work: u64) -> usize {
        let now = self.time();
        let rules = AnswerRules {
            kind: format!("l{rank}").into(),
            rank,
            deadline: at(now, DEADLINE_MS),
            objective: None,
            cutoff: None,
            min_share: 0.0,
            trials: 0,
            ..rules(now)
        };
        let mut fanout = Fanout::new(Arc::clone(&self.plan), rules, 0);
        let actions = fanout.start(now, &mut self.router, &mut Vec::new());
        self.requests.push(Request { fanout, rank, work, begun: self.now, sent: None });
        let number = self.requests.len() - 1;
        self.carry_out(number, actions);
        number
    }

    fn carry_out(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(send) = action else { continue };
            let request = &mut self.requests[number];
            request.sent.get_or_insert(self.now);
            self.in_flight.push((self.now + request.work, number, send));
        }
    }

    /// Delivers the notifications until there are no more.
    fn deliver(&mut self) {
        loop {
            let ready = self.router.dispatch_mut().take_ready();
            if ready.is_empty() || !self.notifies {
                return;
            }
            for ticket in ready {
                let found = self.requests.iter().position(|r| r.fanout.id() == Some(ticket.fanout));
                let number = found.expect("only requests with tickets are notified");
                let now = self.time();
                let fanout = &mut self.requests[number].fanout;
                let actions = fanout.on_turn(ticket.shard, now, &mut self.router, &mut Vec::new());
                self.carry_out(number, actions);
            }
        }
    }

    /// Lets a millisecond pass.
    fn step(&mut self) {
        self.now += 1;
        let now = self.time();
        self.router.lease_mut().renew(now);
        while let Some(ended) = self.in_flight.iter().position(|(end, ..)| *end <= self.now) {
            let (_, number, send) = self.in_flight.swap_remove(ended);
            self.router.end(&send.upstream, send.start, AttemptOutcome::Succeeded, &Report::default(), now);
            let kind = format!("l{}", self.requests[number].rank).into();
            self.router.record_latency(&kind, &send.upstream, now - send.start);
            let body = RawValue::from_string("1".to_owned()).expect("it is JSON");
            let end = AttemptEnd::Answered(Reply::Json(body));
            let fanout = &mut self.requests[number].fanout;
            fanout.on_attempt_end((0, send.attempt), end, now, &mut self.router, &mut Vec::new());
            self.deliver();
        }
        for number in 0..self.requests.len() {
            let fanout = &mut self.requests[number].fanout;
            if !fanout.is_done() && fanout.next_wake() <= now {
                let actions = fanout.on_timer(now, &mut self.router, &mut Vec::new());
                self.carry_out(number, actions);
            }
        }
        self.deliver();
    }

    /// Returns how long a request waited until it was sent; at least until now if it wasn't.
    fn waited(&self, number: usize) -> u64 {
        self.requests[number].sent.unwrap_or(self.now) - self.requests[number].begun
    }
}

/// Returns the longest wait, in milliseconds, of urgent short requests that arrive among ten times
/// as many long ones, which are more than the shard has the capacity for.
fn longest_urgent_wait(scheduled: bool) -> u64 {
    let mut load = Load::new(scheduled);
    let mut urgent = Vec::new();
    for step in 0..400 {
        // 0.5 long requests of 15 ms a millisecond: 7.5 at once, for 6 slots.
        if step % 2 == 0 {
            load.begin(1, 15);
        }
        if step % 20 == 19 {
            urgent.push(load.begin(0, 5));
        }
        load.step();
    }
    let waits = urgent.iter().filter(|number| load.requests[**number].begun < 350);
    waits.map(|number| load.waited(*number)).max().expect("there were urgent requests")
}

/// Guards against urgent requests that wait for capacity in the order in which fan-outs happen to
/// check for it.
#[test]
fn urgent_first() {
    let longest = longest_urgent_wait(true);
    println!("longest wait with scheduling: {longest} ms");
    assert!(longest <= 15, "an urgent request waited for {longest} ms, longer than one in service takes");
    let before = longest_urgent_wait(false);
    println!("longest wait without scheduling: {before} ms");
    assert!(before > 15, "the load does not compete for the shard: {before} ms without scheduling");
}

/// Guards against capacity that stays unused when a notification is lost.
#[test]
fn lost_notification() {
    let mut load = Load::new(true);
    load.notifies = false;
    for _ in 0..SLOTS {
        load.begin(0, 25);
    }
    let waiting = load.begin(0, 5);
    (0..40).for_each(|_| load.step());
    assert!(load.requests[waiting].sent.is_some(), "it checks on its own");
    assert!((25..=35).contains(&load.waited(waiting)), "{} ms", load.waited(waiting));
}

/// Guards against a new request that overtakes those that wait already.
#[test]
fn newcomer_waits() {
    let mut load = Load::new(true);
    load.notifies = false;
    for _ in 0..SLOTS {
        load.begin(1, 4);
    }
    let first = load.begin(1, 5);
    (0..4).for_each(|_| load.step());
    let second = load.begin(1, 5);
    assert_eq!(load.requests[second].sent, None, "another request waits, though there is capacity");
    load.notifies = true;
    (0..10).for_each(|_| load.step());
    let sent = |number: usize| load.requests[number].sent;
    assert!(sent(first).is_some() && sent(first) <= sent(second), "they are sent in order");
    assert!(sent(second).is_some(), "sending the first one notifies the second one");
}

/// Guards against tickets that outlive a fan-out, and against the delay that they would report.
#[test]
fn tickets_removed() {
    let mut load = Load::new(true);
    for _ in 0..SLOTS {
        load.begin(0, 50);
    }
    let waiting: Vec<usize> = (0..3).map(|_| load.begin(0, 5)).collect();
    let shard = Arc::clone(&load.plan.shards[0].shard);
    let delay = load.router.shard_delay(&shard, 0, load.time());
    // Each of the three replicas counts with its two slots.
    let mean = load.router.latency(&"l0".into()).mean();
    assert_eq!(delay, mean * 3 / 6);
    assert_eq!(load.router.dispatch().waiting(), [3, 0, 0, 0]);
    let now = load.time();
    for number in waiting {
        let id = load.requests[number].fanout.id().expect("it has tickets");
        load.router.dispatch_mut().leave_all(id, now);
    }
    assert!(load.router.dispatch().is_empty());
    assert_eq!(load.router.shard_delay(&shard, 0, now), Duration::ZERO);
}

/// Guards against a request that is admitted by the short wait of its own rank while a more urgent
/// one has a backlog, or that counts the backlog of a less urgent one.
#[test]
fn longest_of_ranks() {
    let mut load = Load::new(true);
    for _ in 0..SLOTS {
        load.begin(0, 50);
    }
    for rank in [0, 0, 0, 1, 2, 2, 2, 2, 5] {
        load.begin(rank, 5);
    }
    let (shard, now) = (Arc::clone(&load.plan.shards[0].shard), load.time());
    for rank in 0..7 {
        let expected = (0..=rank).map(|rank| load.router.shard_delay(&shard, rank, now)).max();
        let longest = load.router.longest_shard_delay(&shard, rank, now);
        assert_eq!(Some(longest), expected, "rank {rank}");
        assert!(longest > Duration::ZERO, "rank {rank}");
    }
}

/// Guards against tickets that are kept when the answer is cut.
#[test]
fn cut_leaves() {
    let mut load = Load::new(true);
    for _ in 0..SLOTS {
        load.begin(0, 50);
    }
    let waiting = load.begin(0, 5);
    let late = at(load.start, DEADLINE_MS);
    load.requests[waiting].fanout.on_timer(late, &mut load.router, &mut Vec::new());
    assert!(load.requests[waiting].fanout.is_done());
    assert!(load.router.dispatch().is_empty());
}

/// Guards against hedges that use the capacity that requests wait for, here while no notification
/// arrives.
#[test]
fn hedges_yield() {
    let mut load = Load::new(true);
    load.notifies = false;
    // Far longer than the latency assumed at first, so that hedges are due.
    for _ in 0..SLOTS - 1 {
        load.begin(1, 400);
    }
    load.begin(1, 35);
    let waiting = load.begin(1, 400);
    (0..100).for_each(|_| load.step());
    assert_eq!(load.requests[waiting].sent, Some(40), "it is sent at its next check");
    let hedges = load.in_flight.iter().filter(|(.., send)| send.cause == Cause::Hedge).count();
    assert_eq!(hedges, 0, "the slot wasn't free for a hedge");
}

/// Guards against a slot that stays unused until the next check after a request has ended.
#[test]
fn end_notifies() {
    let mut load = Load::new(true);
    for _ in 0..SLOTS {
        load.begin(1, 25);
    }
    let waiting = load.begin(1, 5);
    (0..30).for_each(|_| load.step());
    assert_eq!(load.requests[waiting].sent, Some(25));
}

/// Guards against changes for indexes that are not scheduled: they check for capacity every
/// millisecond and have no tickets.
#[test]
fn unscheduled_polls() {
    let mut load = Load::new(false);
    for _ in 0..SLOTS {
        load.begin(0, 50);
    }
    let waiting = load.begin(0, 5);
    let fanout = &load.requests[waiting].fanout;
    assert_eq!(fanout.id(), None);
    assert_eq!(fanout.next_wake(), at(load.start, 1));
    assert!(load.router.dispatch().is_empty());
}
