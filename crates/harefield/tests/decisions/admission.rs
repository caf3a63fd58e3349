//! The admission gate of an index.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use harefield::domain::admission::Admission;
use harefield::domain::admission::Arrival;
use harefield::domain::admission::Congestion;
use harefield::domain::admission::Dequeued;
use harefield::domain::admission::Gate;
use harefield::domain::admission::GateLimits;
use harefield::domain::admission::WaiterId;
use harefield::domain::code::Code;
use harefield::domain::resources::Urgency;

const LIMITS: GateLimits = GateLimits { running: 32, waiting: 8 };

fn arrival(urgency: Urgency, team: &str, deadline: Instant) -> Arrival {
    Arrival { urgency, team: team.into(), deadline, due: None, late: false }
}

/// Fills a gate until no further request is admitted immediately; returns how many run.
fn full_gate(now: Instant) -> (Gate, usize) {
    let mut gate = Gate::new(LIMITS);
    let mut running = 0;
    loop {
        let next = arrival(Urgency::Ordinary, "t", at(now, 10_000));
        match gate.arrive(&next, now) {
            Admission::Run => running += 1,
            Admission::Wait(id) => {
                gate.cancel(id);
                return (gate, running);
            }
            Admission::Refuse(code, _) => panic!("{code}"),
        }
    }
}

fn end_one(gate: &mut Gate, now: Instant) -> Vec<Dequeued> {
    gate.complete(&"t".into(), Duration::from_millis(10), Congestion::default(), now)
}

#[test]
fn abandoned_keep_limit() {
    // Requests whose callers go away early must not change the limit, and must free their place
    // for the next waiter.
    let now = Instant::now();
    let (mut gate, running) = full_gate(now);
    let before = gate.limit();
    for _ in 1..running {
        gate.abandon(&"t".into(), at(now, 100));
    }
    assert!((gate.limit() - before).abs() < f64::EPSILON, "{} {before}", gate.limit());
    assert_eq!(gate.running(), 1);
    let (mut gate, _) = full_gate(now);
    let Admission::Wait(id) = gate.arrive(&arrival(Urgency::Urgent, "t", at(now, 10_000)), now) else {
        panic!()
    };
    assert_eq!(gate.abandon(&"t".into(), now), [Dequeued::Run(id)], "the freed place goes to the waiter");
}

#[test]
fn late_requests_last() {
    // Requests whose objective has passed must leave the capacity to those that can still meet
    // theirs.
    let now = Instant::now();
    let mut gate = Gate::new(LIMITS);
    let late = Arrival { late: true, ..arrival(Urgency::Urgent, "t", at(now, 10_000)) };
    let fresh = arrival(Urgency::Bulk, "t", at(now, 10_000));
    assert_eq!(gate.arrive(&late, now), Admission::Run, "no other request is here");
    assert_eq!(gate.arrive(&fresh, now), Admission::Run);
    let Admission::Wait(waits) = gate.arrive(&late, now) else { panic!("two run") };
    assert_eq!(gate.arrive(&fresh, now), Admission::Run, "it does not queue behind the late one");
    assert_eq!(end_one(&mut gate, now), [], "two still run");
    assert_eq!(end_one(&mut gate, now), [Dequeued::Run(waits)]);
}

#[test]
fn late_requests_served() {
    // A daemon that is never idle must still serve late requests now and then.
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let late = Arrival { late: true, ..arrival(Urgency::Ordinary, "t", at(now, 10_000)) };
    let Admission::Wait(waits) = gate.arrive(&late, now) else { panic!("it is full") };
    let mut ends = 0;
    loop {
        let dequeued = end_one(&mut gate, now);
        ends += 1;
        if dequeued == [Dequeued::Run(waits)] {
            break;
        }
        assert!(ends < 100, "it is never admitted");
        let next = arrival(Urgency::Ordinary, "t", at(now, 10_000));
        assert_eq!(gate.arrive(&next, now), Admission::Run, "another request takes the capacity");
    }
    assert!(gate.running() > 2, "others run at the same time");
}

#[test]
fn urgent_first() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let later = at(now, 10_000);
    let Admission::Wait(_) = gate.arrive(&arrival(Urgency::Ordinary, "t", later), now) else { panic!() };
    let Admission::Wait(urgent) = gate.arrive(&arrival(Urgency::Urgent, "t", later), now) else { panic!() };
    let dequeued = end_one(&mut gate, now);
    assert_eq!(dequeued.first(), Some(&Dequeued::Run(urgent)));
}

#[test]
fn ordinary_not_starved() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let later = at(now, 100_000);
    let mut ordinary = Vec::new();
    for _ in 0..4 {
        if let Admission::Wait(id) = gate.arrive(&arrival(Urgency::Ordinary, "t", later), now) {
            ordinary.push(id);
        }
    }
    let mut ran = 0;
    for _ in 0..12 {
        while let Admission::Wait(_) = gate.arrive(&arrival(Urgency::Urgent, "t", later), now) {}
        let dequeued = end_one(&mut gate, now);
        ran += dequeued.iter().filter(|c| matches!(c, Dequeued::Run(id) if ordinary.contains(id))).count();
    }
    assert!(ran >= 2, "{ran} ordinary requests ran while the urgent queue was full");
}

#[test]
fn hopeless_rejected() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let rejected = gate.arrive(&arrival(Urgency::Urgent, "t", at(now, 1)), now);
    assert!(matches!(rejected, Admission::Refuse(Code::TooLate, _)), "{rejected:?}");
}

#[test]
fn queue_bounded() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let next = arrival(Urgency::Urgent, "t", at(now, 100_000));
    let mut waiting = 0;
    let code = loop {
        match gate.arrive(&next, now) {
            Admission::Wait(_) => waiting += 1,
            Admission::Refuse(code, wait) => {
                assert!(wait > Duration::ZERO, "the caller is told when to retry");
                break code;
            }
            Admission::Run => panic!("the gate is full"),
        }
    };
    assert_eq!(waiting, LIMITS.waiting);
    assert_eq!(code, Code::QueueFull);
}

#[test]
fn team_keeps_share() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let greedy = arrival(Urgency::Urgent, "greedy", at(now, 100_000));
    let mut held = 0;
    while let Admission::Wait(_) = gate.arrive(&greedy, now) {
        held += 1;
    }
    assert_eq!(
        held,
        LIMITS.waiting / 2,
        "another team has running requests, so half of the queue is left to it"
    );
    let other = gate.arrive(&arrival(Urgency::Urgent, "t", at(now, 100_000)), now);
    assert!(matches!(other, Admission::Wait(_)));
}

#[test]
fn capacity_reserved() {
    let now = Instant::now();
    let mut gate = Gate::new(LIMITS);
    let later = at(now, 10_000);
    assert_eq!(gate.arrive(&arrival(Urgency::Urgent, "t", later), now), Admission::Run);
    let mut ordinary = 0;
    while gate.arrive(&arrival(Urgency::Ordinary, "t", later), now) == Admission::Run {
        ordinary += 1;
    }
    assert!(ordinary < 16, "{ordinary}: capacity is reserved while urgent requests arrive");
    let urgent = gate.arrive(&arrival(Urgency::Urgent, "t", later), now);
    assert_eq!(urgent, Admission::Run, "the reserved capacity admits urgent requests immediately");
}

#[test]
fn slow_phase_ends() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let soon = |now| arrival(Urgency::Urgent, "t", at(now, 250));
    let Admission::Wait(_) = gate.arrive(&soon(now), now) else { panic!("it waits") };
    let later = at(now, 200);
    end_one(&mut gate, later);
    let admission = gate.arrive(&soon(later), later);
    assert!(
        matches!(admission, Admission::Wait(_)),
        "one long wait must not cause rejections for ever: {admission:?}"
    );
}

#[test]
fn rejected_retries_spread() {
    // Callers that are rejected together must not be told to retry together.
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let hopeless = arrival(Urgency::Ordinary, "t", at(now, 1));
    let rejected = |gate: &mut Gate, now: Instant| match gate.arrive(&hopeless, now) {
        Admission::Refuse(_, wait) => wait,
        other => panic!("{other:?}"),
    };
    let waits: Vec<Duration> = (0..50).map(|_| rejected(&mut gate, now)).collect();
    assert!(waits.is_sorted_by(|a, b| a < b), "each has its own retry time: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(2)));
    let later = at(now, 1000);
    assert!(rejected(&mut gate, later) < waits[49], "retry times that have passed are free again");
}

#[test]
fn objective_not_congestion() {
    // A fan-out with an objective takes as long as its slowest shards and its cut allow; that
    // alone must not shrink the limit.
    let now = Instant::now();
    let (mut gate, running) = full_gate(now);
    let before = gate.limit();
    let congestion = Congestion { waited: 0, shards: 20, objective: true, progress: None };
    for number in 0..running {
        let took = Duration::from_millis(if number == 0 { 10 } else { 190 });
        gate.complete(&"t".into(), took, congestion, at(now, 200));
    }
    assert!(gate.limit() >= before, "{} {before}", gate.limit());
}

#[test]
fn limit_follows_congestion() {
    let now = Instant::now();
    let (mut gate, _) = full_gate(now);
    let before = gate.limit();
    let congestion = Congestion { waited: 5, shards: 20, objective: false, progress: None };
    gate.complete(&"t".into(), Duration::from_millis(10), congestion, now);
    assert!(gate.limit() < before);
    let shrunk = gate.limit();
    for _ in 0..20 {
        end_one(&mut gate, now);
        let _entry = gate.arrive(&arrival(Urgency::Urgent, "t", at(now, 10_000)), now);
        let _entry = gate.arrive(&arrival(Urgency::Urgent, "t", at(now, 10_000)), now);
    }
    assert!(gate.limit() > shrunk);
}

/// An event at a gate.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(u8, u8, u64),
    Leave(usize, usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0_u8..3, 0_u8..3, 1_u64..400).prop_map(|(c, t, d)| Step::Arrive(c, t, d)),
        3 => (any::<usize>(), 0_usize..30).prop_map(|(n, w)| Step::Leave(n, w)),
        1 => (1_u64..50).prop_map(Step::Wait),
    ]
}

fn urgency(number: u8) -> Urgency {
    [Urgency::Urgent, Urgency::Ordinary, Urgency::Bulk][usize::from(number)]
}

proptest! {
    #![proptest_config(cases(300))]

    /// No request is lost: each runs, waits, is rejected or is dequeued exactly once, and the
    /// bounds hold.
    #[test]
    fn no_request_lost(steps in prop::collection::vec(step(), 1..200)) {
        let mut now = Instant::now();
        let mut gate = Gate::new(LIMITS);
        let mut waiting: BTreeMap<WaiterId, Arc<str>> = BTreeMap::new();
        let mut running: Vec<Arc<str>> = Vec::new();
        for step in steps {
            match step {
                Step::Arrive(class, team, deadline) => {
                    let team: Arc<str> = team.to_string().into();
                    let next = arrival(urgency(class), &team, at(now, deadline));
                    match gate.arrive(&next, now) {
                        Admission::Run => running.push(team),
                        Admission::Wait(id) => prop_assert!(waiting.insert(id, team).is_none()),
                        Admission::Refuse(code, _) => prop_assert!((2000..3000).contains(&code.number())),
                    }
                }
                Step::Leave(n, waited) if !running.is_empty() => {
                    let team = running.swap_remove(n % running.len());
                    let congestion = Congestion { waited, shards: 20, objective: false, progress: None };
                    for dequeued in gate.complete(&team, Duration::from_millis(20), congestion, now) {
                        let (Dequeued::Run(id) | Dequeued::Refuse(id, _)) = dequeued;
                        let team = waiting.remove(&id).expect("it was waiting");
                        if matches!(dequeued, Dequeued::Run(_)) {
                            running.push(team);
                        }
                    }
                }
                Step::Leave(..) => {}
                Step::Wait(millis) => now += Duration::from_millis(millis),
            }
            prop_assert_eq!(gate.running(), running.len());
            prop_assert_eq!(gate.waiting(), waiting.len());
            prop_assert!(gate.waiting() <= LIMITS.waiting * 3);
            prop_assert!(gate.running() <= LIMITS.running);
        }
    }
}
