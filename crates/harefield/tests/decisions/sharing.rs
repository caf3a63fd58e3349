//! Wide fan-outs that several daemons carry, on hosts with a small part of a core.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::MOST_TRIALS;
use harefield::domain::fanout::Rules;
use harefield::domain::ids::HostId;
use harefield::domain::membership::MemberRow;
use harefield::domain::resources::Preference;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::Allowance;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Carrier;
use harefield::domain::routing::Own;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Portion;
use harefield::domain::routing::Router;
use harefield::domain::routing::Wanted;
use harefield::domain::routing::share;
use harefield::domain::topology::Topology;

use crate::support::at;
use crate::support::cases;
use crate::support::items;
use crate::support::row;
use crate::support::values;
use crate::support::view;

/// The time of one shard on a whole core, in the model.
const SHARD_TIME: Duration = Duration::from_micros(60);

/// What handing a group on costs its sender in the model, in shards.
const GROUP_COST: usize = 4;

/// A small host, in thousandths of a core: a shard takes it half a millisecond.
const SMALL: u32 = 120;

/// A fleet in which zones `a` and `b` are one region and `c` another; all replicas stand in
/// `a`, or those of every other shard in `b`.
struct Fleet {
    rows: Vec<MemberRow>,
    shards: usize,
    objective: u64,
    spread: bool,
}

/// A request under way at one daemon.
struct World {
    now: Instant,
    router: Router,
    fanout: Fanout,
    actions: Vec<Action>,
}

impl World {
    /// Lets time pass; returns how many groups were taken back, and shards asked.
    fn pass(&mut self, millis: u64) -> (usize, usize) {
        self.now = at(self.now, millis);
        self.router.lease_mut().renew(self.now);
        let actions = self.fanout.on_time(self.now, &mut self.router, &mut Vec::new());
        let revoked = actions.iter().filter(|action| matches!(action, Action::Revoke(_))).count();
        let sent = actions.iter().filter(|action| matches!(action, Action::Send(_))).count();
        (revoked, sent)
    }
}

/// What one request made of its shards: by daemon, in the order of leaving.
struct Shared {
    own: usize,
    groups: Vec<(HostId, Vec<usize>)>,
}

impl Fleet {
    fn new(shards: usize, objective: u64, zones: &[(&str, u32)]) -> Self {
        let row = |(number, (zone, capacity)): (usize, &(&str, u32))| MemberRow {
            capacity: *capacity,
            ..row(number, zone)
        };
        Self { rows: zones.iter().enumerate().map(row).collect(), shards, objective, spread: false }
    }

    /// Asks a daemon; those in `silent` have left groups unanswered.
    fn ask(&self, daemon: usize, silent: &[usize]) -> Shared {
        let mut shared = Shared { own: 0, groups: Vec::new() };
        for action in self.start(daemon, silent).actions {
            match action {
                Action::Send(_) => shared.own += 1,
                Action::Hand(hand) => shared.groups.push((hand.host, hand.shards)),
                Action::Revoke(_) | Action::Cancel(_) => {}
            }
        }
        shared
    }

    /// Starts a request at a daemon.
    fn start(&self, daemon: usize, silent: &[usize]) -> World {
        let now = Instant::now();
        let mut values = values(self.shards, 1, &[7]);
        for at in (1..self.shards).step_by(2).filter(|_| self.spread) {
            let upstream = values.get_mut(&format!("upstreams/u{at}-0")).expect("it is there");
            upstream["zone"] = "b".into();
        }
        let set = Arc::new(ResourceSet::parse(&items(values)).expect("the values are valid"));
        let view = view(&set);
        let own = &self.rows[daemon];
        let regions =
            [("a", "r1"), ("b", "r1"), ("c", "r2")].map(|(zone, region)| (zone.into(), region.into()));
        let places = Topology { zone: Arc::clone(&own.zone), regions: BTreeMap::from(regions) };
        let own = Own { host: Arc::clone(&own.host), capacity: own.capacity, ..Own::default() };
        let mut router = Router::new(Policy::Cost, Budgets::one(0.05), 7, now).at(places).of(own.clone());
        router.apply(&view, now);
        router.see_daemons(self.rows.iter().filter(|row| row.host != own.host));
        for row in silent.iter().map(|number| &self.rows[*number]) {
            router.relays_mut().begin(&row.host, now);
        }
        let now = at(now, 900);
        router.lease_mut().renew(now);
        let rules = Rules {
            kind: "l".into(),
            repeatable: true,
            prefer: Preference::Coverage,
            start: now,
            deadline: at(now, 1000),
            hedge: None,
            fixed: None,
            objective: Some(at(now, self.objective)),
            cut: Some(at(now, self.objective)),
            least_share: 0.85,
            possible: None,
            grouped: true,
            again: false,
            attempts: 2,
            trials: MOST_TRIALS,
        };
        let mut fanout = Fanout::new(Arc::clone(&view.lookups["l"].plans[0]), rules, 0);
        let mut events: Vec<Event> = Vec::new();
        let mut actions = fanout.start_groups(now, &mut router, &mut events);
        actions.extend(fanout.start(now, &mut router, &mut events));
        World { now, router, fanout, actions }
    }

    /// Returns when the last request of all daemons has left, by their own pace alone.
    fn last_sent(&self, daemon: usize, shared: &Shared) -> Duration {
        let pace = |row: &MemberRow, shards: usize| {
            SHARD_TIME * u32::try_from(shards).expect("they are few") * 1000 / row.capacity
        };
        let own = pace(&self.rows[daemon], shared.own + GROUP_COST * shared.groups.len());
        let others = shared.groups.iter().enumerate().map(|(number, (host, shards))| {
            let row = self.rows.iter().find(|row| row.host == *host).expect("it is of the fleet");
            pace(&self.rows[daemon], GROUP_COST * (number + 1)) + pace(row, shards.len())
        });
        others.fold(own, Duration::max)
    }
}

/// Three small hosts in each availability zone.
fn small_fleet(shards: usize, objective: u64) -> Fleet {
    let zones = ["a", "a", "a", "b", "b", "b", "c", "c", "c"].map(|zone| (zone, SMALL));
    Fleet::new(shards, objective, &zones)
}

#[test]
fn quick_kind_in_time() {
    // 180 shards on one small host take 90 ms of an objective of 100.
    let fleet = small_fleet(180, 86);
    for daemon in 0..6 {
        let shared = fleet.ask(daemon, &[]);
        let took = fleet.last_sent(daemon, &shared);
        assert!(took < Duration::from_millis(35), "{daemon}: {took:?}");
    }
}

#[test]
fn widest_in_time() {
    let fleet = small_fleet(270, 86);
    let took = fleet.last_sent(0, &fleet.ask(0, &[]));
    assert!(took < Duration::from_millis(45), "{took:?}");
}

#[test]
fn slow_kind_stays_beside() {
    // With 286 ms the daemons beside the replicas are enough: bytes stay in the zone.
    let fleet = small_fleet(120, 286);
    let shared = fleet.ask(0, &[]);
    let beside = |host: &HostId| fleet.rows[..3].iter().any(|row| row.host == *host);
    assert_eq!(shared.groups.len(), 2);
    assert!(shared.groups.iter().all(|(host, _)| beside(host)));
}

#[test]
fn narrow_stays_alone() {
    let zones = ["a", "a", "b", "b", "c", "c"].map(|zone| (zone, 250));
    for shards in [20, 30] {
        let shared = Fleet::new(shards, 60, &zones).ask(0, &[]);
        assert_eq!((shared.own, shared.groups.len()), (shards, 0));
    }
}

#[test]
fn other_zone_shared() {
    // A daemon without replicas beside it hands all on, to more than one.
    let fleet = small_fleet(60, 200);
    let shared = fleet.ask(3, &[]);
    assert_eq!((shared.own, shared.groups.len()), (0, 3));
    let far = fleet.ask(6, &[]);
    assert_eq!((far.own, far.groups.len()), (0, 3), "nor one of another region");
}

#[test]
fn one_message_each() {
    // Shards of two availability zones of a region are shared out together.
    let fleet = Fleet { spread: true, ..small_fleet(180, 86) };
    let shared = fleet.ask(0, &[]);
    let hosts: BTreeSet<&HostId> = shared.groups.iter().map(|(host, _)| host).collect();
    assert_eq!((shared.groups.len(), hosts.len()), (5, 5));
    assert!(fleet.last_sent(0, &shared) < Duration::from_millis(35));
}

#[test]
fn backlog_not_doubled() {
    // All groups are overdue at once: asking 150 shards again from one small host takes 75 ms
    // more, and whatever else it has to do waits behind them.
    let mut world = small_fleet(180, 86).start(0, &[]);
    let (revoked, _) = world.pass(150);
    assert_eq!(revoked, 0);
    let (_, sent) = world.pass(5);
    assert_eq!(sent, 0);
    let (revoked, _) = world.pass(200);
    assert!(revoked > 0, "a daemon that is gone is not awaited for long");
}

#[test]
fn by_capacity() {
    let fleet = Fleet::new(270, 86, &[("a", 500), ("a", 500), ("a", SMALL), ("b", 500), ("b", SMALL)]);
    let shared = fleet.ask(0, &[]);
    let count = |number: usize| {
        let host = &fleet.rows[number].host;
        shared.groups.iter().find(|(other, _)| other == host).map_or(0, |(_, shards)| shards.len())
    };
    assert!(count(1) > 3 * count(2), "{} {}", count(1), count(2));
    assert!(fleet.last_sent(0, &shared) < Duration::from_millis(20));
}

#[test]
fn silent_takes_none() {
    let fleet = small_fleet(180, 86);
    let shared = fleet.ask(0, &[1]);
    assert!(shared.groups.iter().all(|(host, _)| *host != fleet.rows[1].host));
    assert_eq!(shared.own + shared.groups.iter().map(|(_, shards)| shards.len()).sum::<usize>(), 180);
}

#[test]
fn same_daemon_whoever_asks() {
    // Else each daemon needs connections to all replicas, of which most rest.
    let fleet = small_fleet(180, 86);
    let places = |shared: &Shared| -> BTreeMap<usize, HostId> {
        let pairs = shared.groups.iter().flat_map(|(host, shards)| shards.iter().map(move |at| (*at, host)));
        pairs.map(|(at, host)| (at, Arc::clone(host))).collect()
    };
    let (one, other) = (places(&fleet.ask(0, &[])), places(&fleet.ask(1, &[])));
    let both: Vec<_> = one.keys().filter(|at| other.contains_key(at)).collect();
    let same = both.iter().filter(|at| one[**at] == other[**at]).count();
    assert!(same * 10 >= both.len() * 8, "{same} of {}", both.len());
}

#[test]
fn effort_is_learnt() {
    let mut router = Router::new(Policy::Cost, Budgets::one(0.05), 7, Instant::now()).of(Own {
        host: "10.0.0.1:1".into(),
        capacity: 500,
        ..Own::default()
    });
    for _ in 0..100 {
        router.sample_sending(100, Duration::from_millis(20));
        router.sample_sending(2, Duration::from_secs(1));
    }
    // 0.2 ms a shard on half a core are 0.1 ms on a whole one, and as much for its reply.
    let learnt = router.shard_time();
    assert!(learnt > Duration::from_micros(190) && learnt < Duration::from_micros(210), "{learnt:?}");
    router.sample_sending(100, Duration::from_secs(10));
    assert!(router.shard_time() < Duration::from_micros(300), "a pause shows little");
}

proptest! {
    #![proptest_config(cases(200))]

    /// Whatever daemons there are, each shard goes to exactly one of them.
    #[test]
    fn each_shard_once(
        shards in 0_usize..300,
        capacities in proptest::collection::vec((50_u32..1000, any::<bool>()), 0..24),
        own in any::<Option<u32>>(),
        micros in 0_u64..40_000,
    ) {
        let carrier = |number: usize, capacity: u32, own: bool, beside: bool| Carrier {
            host: format!("10.0.0.{number}:1").into(), own, capacity, zone: if beside { "a" } else { "b" }.into(),
        };
        let mut carriers: Vec<Carrier> = capacities.iter().enumerate()
            .map(|(number, (capacity, beside))| carrier(number, *capacity, false, *beside)).collect();
        carriers.extend(own.map(|draw| carrier(99, draw % 1000, true, draw % 2 == 0)));
        let wanted = |at: usize| Wanted {
            at, shard: format!("s/{at:03}").into(), zone: if at.is_multiple_of(3) { "c" } else { "a" }.into(),
        };
        let wanted: Vec<Wanted> = (0..shards).map(wanted).collect();
        let allowance =
            Allowance { shard: SHARD_TIME, allowed: Duration::from_micros(micros), affinity: false };
        if let Some(portions) = share(&wanted, &carriers, allowance) {
            let places: Vec<usize> = portions.iter().flat_map(|portion| portion.shards.iter().map(|wanted| wanted.at)).collect();
            prop_assert_eq!(places.len(), shards);
            prop_assert_eq!(places.iter().collect::<BTreeSet<_>>().len(), shards);
        }
    }
}

#[test]
fn shard_affinity() {
    // Strong daemons that could each carry a fan-out alone: a shard's requests go to the
    // same one of them, whoever sends them, where it has more replicas than may be asked.
    let zones = ["a", "a", "a", "a", "b", "b", "b", "b"];
    let allowance = Allowance::new(Duration::from_micros(40), Duration::from_millis(300));
    let wanted: Vec<Wanted> =
        (0..180).map(|at| Wanted { at, shard: format!("s{at}/all").into(), zone: "a".into() }).collect();
    let carriers = |sender: usize| -> Vec<Carrier> {
        let carrier = |(number, zone): (usize, &&str)| Carrier {
            host: format!("10.1.0.{number}:8503").into(),
            own: number == sender,
            capacity: 500,
            zone: (*zone).into(),
        };
        zones.iter().enumerate().map(carrier).collect()
    };
    let mut met: Vec<BTreeMap<HostId, usize>> = vec![BTreeMap::new(); wanted.len()];
    for sender in 0..zones.len() {
        let carriers = carriers(sender);
        assert!(share(&wanted, &carriers, allowance).is_none(), "one of them could carry it");
        let portions = share(&wanted, &carriers, Allowance { affinity: true, ..allowance });
        for Portion { carrier, shards } in portions.expect("it is shared") {
            for shard in shards {
                *met[shard.at].entry(Arc::clone(&carrier.host)).or_default() += 1;
            }
        }
    }
    let most: usize = met.iter().filter_map(|hosts| hosts.values().max()).sum();
    assert!(most * 100 >= wanted.len() * zones.len() * 90, "{most} of {}", wanted.len() * zones.len());
}
