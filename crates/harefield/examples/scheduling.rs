//! Measures the decisions of the scheduling under overload and prints the tables for
//! `docs/CAPACITY.md`: `cargo run --release --example scheduling`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use harefield::domain::admission::Room;
use harefield::domain::admission::RoomRequest;
use harefield::domain::cell::CellSize;
use harefield::domain::cold::ColdBounds;
use harefield::domain::dispatch::Dispatch;
use harefield::domain::dispatch::Ticket;
use harefield::domain::dispatch::Waiter;
use harefield::domain::feed::Items;
use harefield::domain::hosts::HostList;
use harefield::domain::ids::ShardId;
use harefield::domain::resources::ResourceSet;
use harefield::domain::revision::Revision;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::CarrierCandidate;
use harefield::domain::routing::Carriers;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Router;
use harefield::domain::routing::Scheduling;
use harefield::domain::topology::Topology;
use harefield::domain::view::Plan;
use harefield::domain::view::ShardPlan;
use harefield::domain::view::View;
use harefield::domain::view::ViewInputs;

const SHARDS: usize = 210;
const REGIONS: usize = 3;
const CANDIDATES: usize = 16;

/// The weights of the ranks that are the default of a daemon.
const SHARES: [u32; 4] = [64, 32, 16, 1];

/// How often each decision is measured.
const RUNS: u32 = 2000;

fn main() {
    let (plan, router) = index();
    println!("| decision over {SHARDS} shards | us |");
    println!("|---|---|");
    carriers(&plan);
    queue();
    for delayed in [0, 10, SHARDS] {
        decide(&plan, &router, delayed, Duration::from_secs(10), "admitted");
    }
    decide(&plan, &router, SHARDS, Duration::from_millis(50), "refused");
    // A daemon carries at most 1.2 times its part: 32 shards of one of eight.
    let mut router = router;
    for (count, name) in [(32, "a waiter at 32 here, admitted"), (SHARDS, "a waiter at each here, admitted")]
    {
        add_waiters(&plan, &mut router, count);
        decide(&plan, &router, 0, Duration::from_secs(10), name);
    }
    println!("\n| memory | KiB |");
    println!("|---|---|");
    memory(&plan);
}

/// Returns the plan of a scheduled index, and the router of a daemon that has it.
fn index() -> (Arc<Plan>, Router) {
    let mut items = Items::new();
    let mut put = |key: String, value: serde_json::Value| {
        items.insert(key.into(), value.to_string().into());
    };
    let mut held = serde_json::Map::new();
    for shard in 0..SHARDS {
        let names: Vec<String> = (0..REGIONS).map(|region| format!("up-{shard}-{region}")).collect();
        for (region, name) in names.iter().enumerate() {
            let address = format!("10.{region}.0.{shard}:9000");
            let zone = format!("z{region}");
            put(
                format!("upstreams/{name}"),
                json!({ "address": address, "zone": zone, "slots": 2, "connections": 25 }),
            );
        }
        held.insert(format!("{shard:03}"), json!(names));
    }
    let names: Vec<&String> = held.keys().collect();
    put("indexes/i".to_owned(), json!({ "snapshots": [{ "version": 1, "shards": { "s": names } }] }));
    put("services/s".to_owned(), json!({ "shards": held }));
    let lookup = json!({
        "index": "i", "urgency": "urgent", "deadline-ms": 2000, "repeatable": true, "prefer": "coverage",
        "attempts": 2, "objective-ms": 300,
    });
    put("lookups/l".to_owned(), lookup);
    let set = Arc::new(ResourceSet::parse(&items).expect("the values are valid"));
    let view = View::default().next(&ViewInputs {
        own: &"127.0.0.1:7200".into(),
        revision: Some(Revision::first(1)),
        set: &set,
        hosts_revision: None,
        hosts: &HostList::default(),
        fleet: &[],
        size: CellSize::default(),
        topology: &Topology::default(),
        cold: ColdBounds::default(),
        require_keys: false,
    });
    let regions = (0..REGIONS).map(|n| (format!("z{n}").into(), format!("r{n}").into()));
    let topology = Topology { zone: "z0".into(), regions: regions.collect() };
    let now = Instant::now();
    let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 7, now)
        .with_topology(topology)
        .with_scheduling(Scheduling::new(true, &SHARES));
    router.apply(&view, now);
    assert!(router.schedules("i"));
    (Arc::clone(&view.lookups["l"].plans[0]), router)
}

/// Prints the mean time of `run`, which is passed a new state from `prepare` each time.
fn measure<T>(name: &str, mut prepare: impl FnMut() -> T, mut run: impl FnMut(&mut T)) {
    let mut total = Duration::ZERO;
    for _ in 0..RUNS {
        let mut state = prepare();
        let start = Instant::now();
        run(black_box(&mut state));
        total += start.elapsed();
    }
    println!("| {name} | {:.2} |", (total / RUNS).as_secs_f64() * 1e6);
}

fn carriers(plan: &Plan) {
    let host = |n: usize| CarrierCandidate { host: format!("10.0.0.{n}:7200").into(), capacity: 500 };
    let hosts: Vec<CarrierCandidate> = (0..CANDIDATES).map(host).collect();
    let shards: Vec<ShardId> = plan.shards.iter().map(|plan| Arc::clone(&plan.shard)).collect();
    let name = format!("assign to {CANDIDATES} candidates, when the members change");
    measure(&name, || (), |()| drop(black_box(Carriers::assign(black_box(&shards), &hosts))));
    let assigned = Carriers::assign(&shards, &hosts);
    let look_up = |(): &mut ()| {
        for shard in &shards {
            black_box(assigned.carrier(shard, |_| true));
        }
    };
    measure("look up the carriers of all", || (), look_up);
    measure(
        "look up one carrier",
        || (),
        |()| drop(black_box(assigned.carrier(&shards[7], |_| true).cloned())),
    );
}

fn waiter(number: u64, now: Instant) -> Waiter {
    Waiter {
        ticket: Ticket { fanout: number, shard: 0 },
        rank: u32::try_from(number % 4).unwrap_or(0),
        due: Some(now + Duration::from_millis(1000 + number * 7 % 300)),
        cost: Duration::from_millis(10),
    }
}

/// Measures one request that waits, is notified and is sent, among 500 others for the shard.
fn queue() {
    let (shard, now): (ShardId, _) = ("s/000".into(), Instant::now());
    let mut dispatch = Dispatch::new(&SHARES);
    let mut waiting: Vec<Waiter> = Vec::new();
    for number in 0..500 {
        waiting.push(waiter(number, now));
        dispatch.wait(&shard, waiter(number, now), now);
    }
    let mut next = 500;
    let one = |new: &mut Waiter| {
        dispatch.wait(&shard, *new, now);
        waiting.push(*new);
        dispatch.notify(&shard, now);
        for ticket in dispatch.take_ready() {
            let at = usize::try_from(ticket.fanout).unwrap_or(0);
            if dispatch.goes_first(&shard, &waiting[at], now) {
                dispatch.start(&shard, &waiting[at], now);
            }
        }
    };
    let new = || {
        next += 1;
        waiter(next - 1, now)
    };
    measure("wait, notify and start one among 500 waiters", new, one);
}

/// Adds a waiter for each of the first shards of a plan.
fn add_waiters(plan: &Plan, router: &mut Router, count: usize) {
    let now = Instant::now();
    for (number, shard) in (0..).zip(&plan.shards).take(count) {
        router.dispatch_mut().wait(&shard.shard, waiter(number, now), now);
    }
}

/// Returns a room in which the first shards of a plan have a delay for two ranks.
fn room(plan: &Plan, delayed: usize, now: Instant) -> Room {
    let mut room = Room::default();
    for shard in plan.shards.iter().take(delayed) {
        room.record(&shard.shard, 0, Duration::from_millis(150), now);
        room.record(&shard.shard, 1, Duration::from_millis(200), now);
    }
    room
}

/// Measures a decision on a request of rank 1 with `left` until its cutoff, with the same look-ups
/// as the engine makes for it.
fn decide(plan: &Plan, router: &Router, delayed: usize, left: Duration, outcome: &str) {
    const RANK: u32 = 1;
    let now = Instant::now();
    // So little that the runs don't make shards short.
    let work = Duration::from_micros(1);
    let request = RoomRequest { shards: &plan.shards, rank: RANK, left, work, min_shards: SHARDS * 95 / 100 };
    let local = |shard: &ShardPlan| router.longest_shard_delay(&shard.shard, RANK, now);
    let slow = Duration::from_millis(30);
    let usual = |shard: &ShardPlan| slow * 2 + router.nearest_rtt(&shard.replicas);
    let name = format!("decide with {delayed} delayed, {outcome}");
    let mut room = room(plan, delayed, now);
    measure(&name, || (), |()| drop(black_box(room.decide(&request, local, usual, now))));
}

/// Returns the resident memory of the process in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|size| size.parse().ok()).unwrap_or(0)
}

/// Prints the growth of the resident memory by the state of one worker, as the mean of many.
fn memory(plan: &Plan) {
    const COPIES: u64 = 200;
    let now = Instant::now();
    let before = resident();
    let rooms: Vec<Room> = (0..COPIES).map(|_| room(plan, SHARDS, now)).collect();
    println!("| Room with {SHARDS} shards, two ranks each | {} |", (resident() - before) / COPIES);
    let before = resident();
    let mut all = Vec::new();
    for _ in 0..COPIES {
        let mut dispatch = Dispatch::new(&SHARES);
        for number in 0..1000 {
            let at = usize::try_from(number).unwrap_or(0) % SHARDS;
            dispatch.wait(&plan.shards[at].shard, waiter(number, now), now);
        }
        all.push(dispatch);
    }
    println!("| Dispatch with 1,000 waiters over {SHARDS} shards | {} |", (resident() - before) / COPIES);
    println!(
        "\nsize_of, in bytes: Waiter {}, Ticket {}, Dispatch {}, Room {}",
        size_of::<Waiter>(),
        size_of::<Ticket>(),
        size_of::<Dispatch>(),
        size_of::<Room>()
    );
    drop(black_box((rooms, all)));
}
