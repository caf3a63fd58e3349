//! Admission by the queueing delays of shards.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use harefield::domain::admission::Admission;
use harefield::domain::admission::Arrival;
use harefield::domain::admission::Gate;
use harefield::domain::admission::GateLimits;
use harefield::domain::admission::Room;
use harefield::domain::admission::RoomDecision;
use harefield::domain::admission::RoomRequest;
use harefield::domain::ids::ShardId;
use harefield::domain::resources::Urgency;
use harefield::domain::view::ShardPlan;

/// The usual time of a request on a shard, in milliseconds.
const USUAL_MS: u64 = 10;

/// By how much an admitted request delays the next one, in milliseconds.
const WORK_MS: u64 = 5;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn shard(number: usize) -> ShardId {
    format!("s/{number:03}").into()
}

fn plan(shards: usize) -> Vec<ShardPlan> {
    let plan = |number| ShardPlan {
        shard: shard(number),
        replicas: Vec::new(),
        outside_regions: false,
        limit: None,
    };
    (0..shards).map(plan).collect()
}

/// Decides on a request over ten shards of which `lack` may be missing.
fn decide(room: &mut Room, rank: u32, left: u64, lack: usize, now: Instant) -> RoomDecision {
    let shards = plan(10);
    let request =
        RoomRequest { shards: &shards, rank, left: ms(left), work: ms(WORK_MS), min_shards: 10 - lack };
    room.decide(&request, |_| Duration::ZERO, |_| ms(USUAL_MS), now)
}

fn admit(leave_out: &[usize]) -> RoomDecision {
    RoomDecision::Admit { leave_out: leave_out.to_vec() }
}

/// Returns a room in which each of the shards has a delay for rank 0.
fn room(delays: &[(usize, u64)], now: Instant) -> Room {
    let mut room = Room::default();
    for (number, delay) in delays {
        room.record(&shard(*number), 0, ms(*delay), now);
    }
    room
}

#[test]
fn short_past_cutoff() {
    // A shard that still answers in time must be queried, and one that does not must not be.
    let now = Instant::now();
    assert_eq!(decide(&mut room(&[(3, 90)], now), 0, 100, 1, now), admit(&[]));
    assert_eq!(decide(&mut room(&[(3, 91)], now), 0, 100, 1, now), admit(&[3]));
}

#[test]
fn refused_beyond_share() {
    // No more shards may be left out than the answer may lack.
    let now = Instant::now();
    let delays = [(1, 100), (4, 130), (7, 160)];
    assert_eq!(decide(&mut room(&delays, now), 0, 100, 3, now), admit(&[1, 4, 7]));
    let RoomDecision::Refuse { wait, short, longest } = decide(&mut room(&delays, now), 0, 100, 2, now)
    else {
        panic!("one too many is short")
    };
    assert_eq!(wait, ms(20), "the shard that is short by the least has to drain");
    assert_eq!(short, 3);
    assert_eq!(longest.iter().map(|short| short.at).collect::<Vec<_>>(), [7, 4, 1]);
}

#[test]
fn local_delay_counts() {
    // The shards that a daemon carries itself are in no group's answer.
    let now = Instant::now();
    let shards = plan(2);
    let request = RoomRequest { shards: &shards, rank: 0, left: ms(100), work: ms(5), min_shards: 1 };
    let local = |plan: &ShardPlan| if plan.shard == shard(1) { ms(200) } else { Duration::ZERO };
    let decision = Room::default().decide(&request, local, |_| ms(USUAL_MS), now);
    assert_eq!(decision, admit(&[1]));
}

#[test]
fn idle_shards_admitted() {
    // A usual time that was learned too long must not refuse every request: none would run that
    // could correct it.
    let now = Instant::now();
    assert_eq!(decide(&mut Room::default(), 0, USUAL_MS - 1, 0, now), admit(&[]));
    let mut room = room(&[(2, 30)], now);
    let RoomDecision::Refuse { wait, .. } = decide(&mut room, 0, USUAL_MS - 1, 0, now) else { panic!() };
    assert_eq!(wait, ms(60), "the request runs once nothing waits there");
    assert_eq!(decide(&mut room, 0, USUAL_MS - 1, 0, now + wait), admit(&[]));
}

#[test]
fn old_reports_expire() {
    // Reports from a daemon that is gone must refuse nobody, nor stay in memory.
    let now = Instant::now();
    let mut room = room(&[(0, 5000), (1, 700), (2, 700)], now);
    assert!(matches!(decide(&mut room, 0, 100, 1, now), RoomDecision::Refuse { .. }));
    assert_eq!(decide(&mut room, 0, 100, 1, at(now, 1400)), admit(&[]));
    assert_eq!(room.len(), 1, "drained shards are dropped");
    assert_eq!(decide(&mut room, 0, 100, 0, at(now, 2000)), admit(&[]));
    assert_eq!(decide(&mut room, 0, 100, 0, at(now, 2600)), admit(&[]));
    assert!(room.is_empty());
}

#[test]
fn long_delay_bounded() {
    // A wrong report must not refuse requests for as long as it states: while all are refused, none
    // brings a new report.
    let now = Instant::now();
    let mut room = room(&[(0, 600_000)], now);
    assert!(matches!(decide(&mut room, 0, 100, 0, at(now, 1800)), RoomDecision::Refuse { .. }));
    assert_eq!(decide(&mut room, 0, 100, 0, at(now, 2000)), admit(&[]));
}

#[test]
fn bounds_less_urgent() {
    // A delay of one rank bounds the less urgent ranks from below. It does not bound the more
    // urgent ones: neither must a backlog of bulk requests refuse an urgent one, nor a short wait
    // of a rank whose share is unused hide the backlog of an urgent rank.
    let now = Instant::now();
    let mut room = Room::default();
    room.record(&shard(0), 1, ms(200), now);
    let delay = |room: &Room, rank| room.delay(&shard(0), rank, now);
    assert_eq!((delay(&room, 0), delay(&room, 1), delay(&room, 7)), (ms(0), ms(200), ms(200)));
    room.record(&shard(0), 2, ms(20), now);
    assert_eq!((delay(&room, 1), delay(&room, 2)), (ms(200), ms(200)));
    room.record(&shard(0), 1, ms(0), now);
    assert_eq!((delay(&room, 1), delay(&room, 2)), (ms(0), ms(20)));
}

#[test]
fn admitted_use_room() {
    // Requests admitted between two reports must not all count on the same room.
    let now = Instant::now();
    let mut room = room(&[(0, 70)], now);
    let admitted = (0..50).take_while(|_| decide(&mut room, 0, 100, 0, now) == admit(&[])).count();
    assert_eq!(admitted, 5, "the delay rises from 70 ms past 90 ms in steps of 5 ms");
    room.record(&shard(0), 0, ms(80), now);
    assert_eq!(decide(&mut room, 0, 100, 0, now), admit(&[]), "a report replaces the estimate");
    assert_eq!(room.delay(&shard(0), 3, now), ms(85), "less urgent requests wait for it as well");
}

#[test]
fn left_out_rotate() {
    // A shard that is left out must be queried again after a while, or nobody would learn that it
    // has drained early.
    let now = Instant::now();
    let mut room = room(&[(0, 5000), (1, 400)], now);
    assert_eq!(decide(&mut room, 0, 100, 2, at(now, 499)), admit(&[0, 1]));
    assert_eq!(decide(&mut room, 0, 100, 2, at(now, 500)), admit(&[]), "both are queried once");
    assert_eq!(decide(&mut room, 0, 100, 2, at(now, 501)), admit(&[0, 1]), "only by one request");
    room.record(&shard(0), 0, ms(20), at(now, 520));
    assert_eq!(decide(&mut room, 0, 100, 2, at(now, 521)), admit(&[1]), "its reply said that it drained");
    assert_eq!(decide(&mut room, 0, 100, 2, at(now, 720)), admit(&[]), "its estimate fell");
}

/// Guards against a shard that is mistaken for the one at the same position of another plan, or of
/// the same plan before drained shards were dropped.
#[test]
fn plans_alternate() {
    let now = Instant::now();
    let mut room = room(&[(1, 30), (2, 200), (7, 400)], now);
    let (mut forward, mut backward) = (plan(10), plan(10));
    backward.reverse();
    for step in 0..8 {
        let now = at(now, step * 60);
        for (shards, reversed) in [(&forward, false), (&backward, true)] {
            let request = RoomRequest { shards, rank: 0, left: ms(20), work: Duration::ZERO, min_shards: 0 };
            let decision = room.decide(&request, |_| Duration::ZERO, |_| ms(USUAL_MS), now);
            let RoomDecision::Admit { leave_out } = decision else { panic!("{decision:?}") };
            let position = |number: usize| if reversed { 9 - number } else { number };
            let short = (0..10).filter(|n| room.delay(&shard(*n), 0, now) >= ms(20 - USUAL_MS) + ms(1));
            let mut expected: Vec<usize> = short.map(position).collect();
            expected.sort_unstable();
            assert_eq!(leave_out, expected, "after {} ms", step * 60);
        }
        // The plans of a later view have their own copies of the names.
        (forward, backward) = (plan(10), plan(10));
        backward.reverse();
    }
}

#[test]
fn returns_spread() {
    // Callers that are refused together wait for the same shards. They must not return together,
    // nor must an urgent one wait for the turns of less urgent ones.
    let now = Instant::now();
    let mut gate = Gate::new(GateLimits { running: 32, waiting: 8 });
    let arrival = Arrival {
        urgency: Urgency::Urgent,
        team: "t".into(),
        deadline: at(now, 1000),
        due: None,
        late: false,
    };
    assert_eq!(gate.arrive(&arrival, now), Admission::Run);
    let bulk: Vec<Duration> = (0..50).map(|_| gate.retry_after_room(2, ms(300), now)).collect();
    // A new gate lets 16 requests run for 10 ms each.
    let interval = Duration::from_micros(625);
    assert_eq!(bulk[0], ms(300), "the first one returns once there is room");
    assert!(bulk.windows(2).all(|pair| pair[1] >= pair[0] + interval), "{bulk:?}");
    assert_eq!(gate.retry_after_room(0, ms(300), now), ms(300));
    assert!(gate.retry_after_room(2, ms(300), now) > bulk[49], "the bulk requests keep their order");
    assert_eq!(gate.retry_after_room(2, ms(9000), now), ms(2000), "the load has changed by then");
    let limit = gate.limit();
    gate.abandon(&"t".into(), at(now, 5));
    assert!((gate.limit() - limit).abs() < f64::EPSILON, "a refusal is no sign of congestion");
}

#[derive(Clone, Debug)]
enum Step {
    Report(usize, u32, u64),
    Request(u32, u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_usize..10, 0_u32..4, 0_u64..400).prop_map(|(at, rank, delay)| Step::Report(at, rank, delay)),
        2 => (0_u32..4, 20_u64..300).prop_map(|(rank, left)| Step::Request(rank, left)),
        1 => (1_u64..300).prop_map(Step::Wait),
    ]
}

/// Returns a room after some steps, and the time.
fn after(steps: &[Step]) -> (Room, Instant) {
    let (mut room, mut now) = (Room::default(), Instant::now());
    for step in steps {
        match *step {
            Step::Report(at, rank, delay) => room.record(&shard(at), rank, ms(delay), now),
            Step::Request(rank, left) => drop(decide(&mut room, rank, left, 3, now)),
            Step::Wait(millis) => now += ms(millis),
        }
    }
    (room, now)
}

proptest! {
    #![proptest_config(cases(400))]

    /// With equal time limits, a more urgent request is admitted whenever a less urgent one is, and
    /// with all of its shards.
    #[test]
    fn urgent_first(
        steps in prop::collection::vec(step(), 0..60),
        (urgent, bulk) in (0_u32..4, 0_u32..6),
        left in 0_u64..300,
        lack in 0_usize..5,
    ) {
        let (room, now) = after(&steps);
        let (urgent, bulk) = (urgent.min(bulk), urgent.max(bulk));
        let decided = |rank| decide(&mut room.clone(), rank, left, lack, now);
        if let RoomDecision::Admit { leave_out: bulk } = decided(bulk) {
            let RoomDecision::Admit { leave_out } = decided(urgent) else {
                return Err(TestCaseError::fail("the more urgent request is refused"));
            };
            let bulk: BTreeSet<usize> = bulk.into_iter().collect();
            prop_assert!(leave_out.len() <= lack);
            prop_assert!(leave_out.iter().all(|at| bulk.contains(at)));
        }
    }

    /// After the wait that a refused request was given, and not before, it is admitted if nothing
    /// else has arrived.
    #[test]
    fn wait_exact(
        steps in prop::collection::vec(step(), 0..60),
        rank in 0_u32..4,
        left in 0_u64..200,
        lack in 0_usize..5,
    ) {
        let (room, now) = after(&steps);
        if let RoomDecision::Refuse { wait, .. } = decide(&mut room.clone(), rank, left, lack, now) {
            let decided = |at| decide(&mut room.clone(), rank, left, lack, at);
            prop_assert!(matches!(decided(now + wait), RoomDecision::Admit { .. }), "{:?}", wait);
            let early = now + wait.saturating_sub(Duration::from_micros(1));
            prop_assert!(matches!(decided(early), RoomDecision::Refuse { .. }), "{:?}", wait);
        }
    }
}
