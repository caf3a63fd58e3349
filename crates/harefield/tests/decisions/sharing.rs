//! Wide fan-outs that are shared by several daemons, on hosts with a fraction of a core.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::support::at;
use crate::support::cases;
use crate::support::items;
use crate::support::row;
use crate::support::values;
use crate::support::view;
use harefield::domain::event::Event;
use harefield::domain::fanout::Action;
use harefield::domain::fanout::AnswerRules;
use harefield::domain::fanout::Fanout;
use harefield::domain::fanout::MAX_TRIALS;
use harefield::domain::ids::HostId;
use harefield::domain::membership::MemberRow;
use harefield::domain::resources::Preference;
use harefield::domain::resources::ResourceSet;
use harefield::domain::routing::Assignment;
use harefield::domain::routing::Budgets;
use harefield::domain::routing::Delegate;
use harefield::domain::routing::DelegationLimits;
use harefield::domain::routing::LocalDaemon;
use harefield::domain::routing::PendingShard;
use harefield::domain::routing::Policy;
use harefield::domain::routing::Router;
use harefield::domain::routing::assign_shards;
use harefield::domain::topology::Topology;

/// The time of one shard on a whole core, in the model.
const SHARD_TIME: Duration = Duration::from_micros(60);

/// The cost of delegating a group for its sender in the model, in shards.
const GROUP_COST: usize = 4;

/// A small host, in thousandths of a core: a shard takes it half a millisecond.
const SMALL: u32 = 120;

/// A fleet in which zones `a` and `b` are one region and `c` another. All replicas are in `a`,
/// or with `spread` those of every other shard in `b`.
struct Fleet {
    rows: Vec<MemberRow>,
    shards: usize,
    objective: u64,
    spread: bool,
}

/// A request in flight at one daemon.
struct World {
    now: Instant,
    router: Router,
    fanout: Fanout,
    actions: Vec<Action>,
}

impl World {
    /// Advances the time; returns how many groups were revoked and how many attempts were sent.
    fn pass(&mut self, millis: u64) -> (usize, usize) {
        self.now = at(self.now, millis);
        self.router.lease_mut().renew(self.now);
        let actions = self.fanout.on_timer(self.now, &mut self.router, &mut Vec::new());
        let revoked = actions.iter().filter(|action| matches!(action, Action::Revoke(_))).count();
        let sent = actions.iter().filter(|action| matches!(action, Action::Send(_))).count();
        (revoked, sent)
    }
}

/// How the shards of one request were shared: those of the daemon itself, and the groups in the
/// order in which they were sent.
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

    /// Sends a request to a daemon; those in `silent` haven't answered a group for long.
    fn request(&self, daemon: usize, silent: &[usize]) -> Shared {
        let mut shared = Shared { own: 0, groups: Vec::new() };
        for action in self.start(daemon, silent).actions {
            match action {
                Action::Send(_) => shared.own += 1,
                Action::Delegate(group) => shared.groups.push((group.host, group.shards)),
                Action::Revoke(_) | Action::Cancel(_) => {}
            }
        }
        shared
    }

    /// Starts a request at a daemon, see [`Self::request`].
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
        let topology = Topology { zone: Arc::clone(&own.zone), regions: BTreeMap::from(regions) };
        let own =
            LocalDaemon { host: Arc::clone(&own.host), capacity: own.capacity, ..LocalDaemon::default() };
        let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 7, now)
            .with_topology(topology)
            .with_local(own.clone());
        router.apply(&view, now);
        router.update_daemons(self.rows.iter().filter(|row| row.host != own.host));
        for row in silent.iter().map(|number| &self.rows[*number]) {
            router.relays_mut().begin(&row.host, now);
        }
        let now = at(now, 900);
        router.lease_mut().renew(now);
        let rules = AnswerRules {
            kind: "l".into(),
            rank: 0,
            repeatable: true,
            prefer: Preference::Coverage,
            start: now,
            deadline: at(now, 1000),
            hedge_factor: None,
            fixed_delay: None,
            objective: Some(at(now, self.objective)),
            cutoff: Some(at(now, self.objective)),
            min_share: 0.85,
            min_possible: None,
            grouped: true,
            repeated: false,
            attempts: 2,
            left_out: Vec::new(),
            trials: MAX_TRIALS,
        };
        let mut fanout = Fanout::new(Arc::clone(&view.lookups["l"].plans[0]), rules, 0);
        let mut events: Vec<Event> = Vec::new();
        let mut actions = fanout.start_groups(now, &mut router, &mut events);
        actions.extend(fanout.start(now, &mut router, &mut events));
        World { now, router, fanout, actions }
    }

    /// Returns when the last attempt of all daemons is sent, by their CPU time alone.
    fn last_sent(&self, daemon: usize, shared: &Shared) -> Duration {
        let cpu_time = |row: &MemberRow, shards: usize| {
            SHARD_TIME * u32::try_from(shards).expect("they are few") * 1000 / row.capacity
        };
        let own = cpu_time(&self.rows[daemon], shared.own + GROUP_COST * shared.groups.len());
        let others = shared.groups.iter().enumerate().map(|(number, (host, shards))| {
            let row = self.rows.iter().find(|row| row.host == *host).expect("it is of the fleet");
            cpu_time(&self.rows[daemon], GROUP_COST * (number + 1)) + cpu_time(row, shards.len())
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
    // 180 shards on one small host would take 90 ms of an objective of 100 ms.
    let fleet = small_fleet(180, 86);
    for daemon in 0..6 {
        let shared = fleet.request(daemon, &[]);
        let took = fleet.last_sent(daemon, &shared);
        assert!(took < Duration::from_millis(35), "{daemon}: {took:?}");
    }
}

#[test]
fn widest_in_time() {
    let fleet = small_fleet(270, 86);
    let took = fleet.last_sent(0, &fleet.request(0, &[]));
    assert!(took < Duration::from_millis(45), "{took:?}");
}

#[test]
fn slow_kind_stays_local() {
    // Within 286 ms the daemons in the zone of the replicas are enough, so that no bytes leave
    // the zone.
    let fleet = small_fleet(120, 286);
    let shared = fleet.request(0, &[]);
    let nearby = |host: &HostId| fleet.rows[..3].iter().any(|row| row.host == *host);
    assert_eq!(shared.groups.len(), 2);
    assert!(shared.groups.iter().all(|(host, _)| nearby(host)));
}

#[test]
fn narrow_stays_alone() {
    let zones = ["a", "a", "b", "b", "c", "c"].map(|zone| (zone, 250));
    for shards in [20, 30] {
        let shared = Fleet::new(shards, 60, &zones).request(0, &[]);
        assert_eq!((shared.own, shared.groups.len()), (shards, 0));
    }
}

#[test]
fn other_zone_shared() {
    // A daemon without replicas in its zone delegates all shards, to several daemons.
    let fleet = small_fleet(60, 200);
    let shared = fleet.request(3, &[]);
    assert_eq!((shared.own, shared.groups.len()), (0, 3));
    let far = fleet.request(6, &[]);
    assert_eq!((far.own, far.groups.len()), (0, 3), "the same for a daemon of another region");
}

#[test]
fn one_message_each() {
    // Shards in two availability zones of a region are assigned together, with one group for each
    // daemon.
    let fleet = Fleet { spread: true, ..small_fleet(180, 86) };
    let shared = fleet.request(0, &[]);
    let hosts: BTreeSet<&HostId> = shared.groups.iter().map(|(host, _)| host).collect();
    assert_eq!((shared.groups.len(), hosts.len()), (5, 5));
    assert!(fleet.last_sent(0, &shared) < Duration::from_millis(35));
}

#[test]
fn backlog_not_doubled() {
    // All groups are overdue at once. Querying 150 shards again from one small host takes another
    // 75 ms, and all its other work waits behind them.
    let mut world = small_fleet(180, 86).start(0, &[]);
    let (revoked, _) = world.pass(150);
    assert_eq!(revoked, 0);
    let (_, sent) = world.pass(5);
    assert_eq!(sent, 0);
    let (revoked, _) = world.pass(200);
    assert!(revoked > 0, "groups of a daemon that is gone are revoked");
}

#[test]
fn by_capacity() {
    let fleet = Fleet::new(270, 86, &[("a", 500), ("a", 500), ("a", SMALL), ("b", 500), ("b", SMALL)]);
    let shared = fleet.request(0, &[]);
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
    let shared = fleet.request(0, &[1]);
    assert!(shared.groups.iter().all(|(host, _)| *host != fleet.rows[1].host));
    assert_eq!(shared.own + shared.groups.iter().map(|(_, shards)| shards.len()).sum::<usize>(), 180);
}

#[test]
fn same_daemon_assigned() {
    // Otherwise each daemon would need connections to all replicas, most of them idle.
    let fleet = small_fleet(180, 86);
    let places = |shared: &Shared| -> BTreeMap<usize, HostId> {
        let pairs = shared.groups.iter().flat_map(|(host, shards)| shards.iter().map(move |at| (*at, host)));
        pairs.map(|(at, host)| (at, Arc::clone(host))).collect()
    };
    let (one, other) = (places(&fleet.request(0, &[])), places(&fleet.request(1, &[])));
    let both: Vec<_> = one.keys().filter(|at| other.contains_key(at)).collect();
    let same = both.iter().filter(|at| one[**at] == other[**at]).count();
    assert!(same * 10 >= both.len() * 8, "{same} of {}", both.len());
}

#[test]
fn shard_time_learned() {
    let mut router = Router::new(Policy::Cost, Budgets::single(0.05), 7, Instant::now())
        .with_local(LocalDaemon { host: "10.0.0.1:1".into(), capacity: 500, ..LocalDaemon::default() });
    for _ in 0..100 {
        router.record_sending(100, Duration::from_millis(20));
        router.record_sending(2, Duration::from_secs(1));
    }
    // Sending takes 0.2 ms for a shard on half a core, 0.1 ms on a whole one, and reading its
    // reply as much again.
    let learned = router.shard_time();
    assert!(learned > Duration::from_micros(190) && learned < Duration::from_micros(210), "{learned:?}");
    router.record_sending(100, Duration::from_secs(10));
    assert!(router.shard_time() < Duration::from_micros(300), "a pause of the daemon changes little");
}

proptest! {
    #![proptest_config(cases(200))]

    /// Whatever the daemons are, each shard goes to exactly one of them.
    #[test]
    fn each_shard_once(
        shards in 0_usize..300,
        capacities in proptest::collection::vec((50_u32..1000, any::<bool>()), 0..24),
        own in any::<Option<u32>>(),
        micros in 0_u64..40_000,
    ) {
        let delegate = |number: usize, capacity: u32, local: bool, nearby: bool| Delegate {
            host: format!("10.0.0.{number}:1").into(), local, capacity, zone: if nearby { "a" } else { "b" }.into(),
        };
        let mut candidates: Vec<Delegate> = capacities.iter().enumerate()
            .map(|(number, (capacity, nearby))| delegate(number, *capacity, false, *nearby)).collect();
        candidates.extend(own.map(|draw| delegate(99, draw % 1000, true, draw % 2 == 0)));
        let pending = |index: usize| PendingShard {
            index, shard: format!("s/{index:03}").into(), zone: if index.is_multiple_of(3) { "c" } else { "a" }.into(),
        };
        let pending: Vec<PendingShard> = (0..shards).map(pending).collect();
        let limits =
            DelegationLimits { shard_time: SHARD_TIME, send_limit: Duration::from_micros(micros), affinity: false };
        if let Some(assignments) = assign_shards(&pending, &candidates, limits) {
            let indexes: Vec<usize> = assignments.iter().flat_map(|assignment| assignment.shards.iter().map(|pending| pending.index)).collect();
            prop_assert_eq!(indexes.len(), shards);
            prop_assert_eq!(indexes.iter().collect::<BTreeSet<_>>().len(), shards);
        }
    }
}

#[test]
fn shard_affinity() {
    // Each of the daemons could send the fan-out alone. Where shards have more replicas than may
    // be tried, the requests for a shard go to the same daemon nonetheless, whichever daemon
    // received them.
    let zones = ["a", "a", "a", "a", "b", "b", "b", "b"];
    let limits = DelegationLimits::new(Duration::from_micros(40), Duration::from_millis(300));
    let pending: Vec<PendingShard> = (0..180)
        .map(|index| PendingShard { index, shard: format!("s{index}/all").into(), zone: "a".into() })
        .collect();
    let candidates = |sender: usize| -> Vec<Delegate> {
        let delegate = |(number, zone): (usize, &&str)| Delegate {
            host: format!("10.1.0.{number}:8503").into(),
            local: number == sender,
            capacity: 500,
            zone: (*zone).into(),
        };
        zones.iter().enumerate().map(delegate).collect()
    };
    let mut met: Vec<BTreeMap<HostId, usize>> = vec![BTreeMap::new(); pending.len()];
    for sender in 0..zones.len() {
        let candidates = candidates(sender);
        assert!(assign_shards(&pending, &candidates, limits).is_none(), "one daemon can send it alone");
        let assignments = assign_shards(&pending, &candidates, DelegationLimits { affinity: true, ..limits });
        for Assignment { delegate, shards } in assignments.expect("it is shared") {
            for shard in shards {
                *met[shard.index].entry(Arc::clone(&delegate.host)).or_default() += 1;
            }
        }
    }
    let most: usize = met.iter().filter_map(|hosts| hosts.values().max()).sum();
    assert!(most * 100 >= pending.len() * zones.len() * 90, "{most} of {}", pending.len() * zones.len());
}
