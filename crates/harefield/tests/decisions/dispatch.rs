//! The order in which waiting requests are sent to the shards.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use harefield::domain::dispatch::Dispatch;
use harefield::domain::dispatch::Ticket;
use harefield::domain::dispatch::Waiter;
use harefield::domain::ids::ShardId;

const SHARES: [u32; 4] = [8, 4, 2, 1];

/// A dispatch with one shard, and its waiters by the number of their fan-out.
struct OneShard {
    dispatch: Dispatch,
    shard: ShardId,
    waiters: Vec<Waiter>,
}

impl OneShard {
    fn new(shares: &[u32]) -> Self {
        Self { dispatch: Dispatch::new(shares), shard: "s/000".into(), waiters: Vec::new() }
    }

    /// Adds a waiter; returns its number.
    fn wait(&mut self, rank: u32, due: Option<Instant>, cost_ms: u64, now: Instant) -> usize {
        let number = self.waiters.len();
        let ticket = Ticket { fanout: number as u64, shard: 0 };
        let waiter = Waiter { ticket, rank, due, cost: Duration::from_millis(cost_ms) };
        self.waiters.push(waiter);
        self.dispatch.wait(&self.shard, waiter, now);
        number
    }

    /// Serves the first waiter; returns its number.
    fn serve(&mut self, now: Instant) -> usize {
        self.dispatch.notify(&self.shard, now);
        let ready = self.dispatch.take_ready();
        let ticket = *ready.last().expect("a waiter is ready");
        let number = usize::try_from(ticket.fanout).expect("it is small");
        let waiter = self.waiters[number];
        assert!(self.dispatch.goes_first(&self.shard, &waiter, now), "the notified waiter goes first");
        self.dispatch.start(&self.shard, &waiter, now);
        number
    }
}

/// Guards against a rank that gets more or less of a shard than the stated shares.
#[test]
fn fair_shares() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    for _ in 0..200 {
        for rank in 0..5 {
            one.wait(rank, None, if rank == 1 { 5 } else { 10 }, now);
        }
    }
    let mut work = [0; 4];
    for _ in 0..180 {
        let served = one.serve(now);
        let served = one.waiters[served];
        work[served.rank.min(3) as usize] += served.cost.as_millis();
    }
    let total: u128 = work.iter().sum();
    for (found, share) in work.iter().zip(SHARES) {
        let expected = total * u128::from(share) / 15;
        assert!(found.abs_diff(expected) <= 20, "{work:?} is not in the proportions of {SHARES:?}");
    }
}

/// Guards against requests that are served in the order of their arrival although a later one has
/// less time left.
#[test]
fn earliest_due() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    for due in [300, 100, 200] {
        one.wait(0, Some(at(now, due)), 10, now);
    }
    let order: Vec<usize> = (0..3).map(|_| one.serve(now)).collect();
    assert_eq!(order, [1, 2, 0]);
}

/// Guards against a late request that takes the place of those that can still be in time, and
/// against one that is dropped.
#[test]
fn late_demoted() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    let late = one.wait(0, Some(at(now, 10)), 10, now);
    let others: Vec<usize> = (0..4).map(|n| one.wait(0, Some(at(now, 200 + n)), 10, now)).collect();
    let order: Vec<usize> = (0..5).map(|_| one.serve(at(now, 20))).collect();
    assert_eq!(order[0], others[0], "one in time goes before it");
    assert!(order.contains(&late), "it is served nevertheless");
    assert!(one.dispatch.is_empty(), "an empty queue is dropped");
}

/// Guards against an urgent request that waits behind the backlog of less urgent ones, and against
/// delays that don't tell the two apart.
#[test]
fn urgent_overtakes() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    for _ in 0..100 {
        one.wait(1, None, 20, now);
    }
    one.serve(now);
    assert!(one.dispatch.delay(&one.shard, 0, 2) <= Duration::from_millis(20));
    assert_eq!(one.dispatch.delay(&one.shard, 1, 2), Duration::from_millis(99 * 20 / 2));
    let urgent = one.wait(0, None, 5, now);
    assert_eq!(one.serve(now), urgent);
}

/// Guards against a waiter that can't use the free capacity and blocks the others, and against one
/// that is never notified again.
#[test]
fn blocked_passed() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    let first = one.wait(0, Some(at(now, 100)), 10, now);
    one.wait(0, Some(at(now, 200)), 10, now);
    one.dispatch.notify(&one.shard, now);
    assert_eq!(one.dispatch.take_ready(), [one.waiters[first].ticket]);
    one.dispatch.wait(&one.shard, one.waiters[first], now);
    one.dispatch.pass(&one.shard, one.waiters[first].ticket, now);
    assert_eq!(one.dispatch.take_ready(), [one.waiters[1].ticket]);
    assert!(one.dispatch.goes_first(&one.shard, &one.waiters[1], now));
    assert_eq!(one.serve(now), first, "it is first again once more capacity is free");
}

/// Guards against the loss of a notification when the notified request goes away.
#[test]
fn caller_gone() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    one.wait(0, None, 10, now);
    one.wait(0, None, 10, now);
    one.dispatch.notify(&one.shard, now);
    one.dispatch.leave_all(0, now);
    assert_eq!(one.dispatch.take_ready(), [one.waiters[1].ticket]);
    one.dispatch.leave_all(1, now);
    assert!(one.dispatch.is_empty(), "nothing is kept of requests that are gone");
}

/// Guards against decisions that take long where many requests wait: 5 µs are allowed in a release
/// build, of which a debug build takes some ten times as many.
#[test]
fn decision_cost() {
    let now = Instant::now();
    let mut one = OneShard::new(&SHARES);
    let count = 20_000_u32;
    for number in 0..500 {
        one.wait(number % 5, Some(at(now, u64::from(number) * 7 % 300 + 1)), 10, now);
    }
    let started = Instant::now();
    for number in 0..count {
        one.wait(number % 5, Some(at(now, u64::from(number) * 7 % 300 + 1)), 10, now);
        one.serve(now);
    }
    let each = started.elapsed() / count;
    println!("{each:?} to wait, to be notified, to be checked and to be sent among 500 waiters");
    assert!(each < Duration::from_micros(50), "{each:?}");
}

proptest! {
    #![proptest_config(cases(64))]

    /// Guards against a waiter that others overtake again and again. Once it is past its due time
    /// it is preceded in the last class only by those that arrived before that time, and the last
    /// class gets its share of the work.
    #[test]
    fn none_starves(
        shares in prop::collection::vec(1_u32..9, 1..5),
        (rank, due) in (0_u32..6, prop::option::of(0_u64..200)),
        others in prop::collection::vec((0_u32..6, prop::option::of(0_u64..200), 1_u64..30), 20..60),
    ) {
        let start = Instant::now();
        let mut one = OneShard::new(&shares);
        let watched = one.wait(rank, due.map(|due| at(start, due)), 10, start);
        let due = due.unwrap_or(1000);
        let (mut now, mut before, mut after) = (0, 30, 0);
        for (rank, wait, cost) in others.iter().cycle() {
            // Twice as much arrives as is served.
            for _ in 0..2 {
                one.wait(*rank, wait.map(|wait| at(start, now + wait)), *cost, at(start, now));
                before += if now <= due { *cost } else { 0 };
            }
            let served = one.serve(at(start, now));
            if served == watched {
                break;
            }
            let took = u64::try_from(one.waiters[served].cost.as_millis()).expect("it is short");
            after += if now > due { took } else { 0 };
            now += took;
            let (all, last) = (shares.iter().sum::<u32>(), shares[shares.len() - 1]);
            let bound = (before + 60) * u64::from(all) / u64::from(last) + 30 * shares.len() as u64;
            prop_assert!(after <= bound, "{after} ms of others served after it was due, {bound} allowed");
        }
    }
}
