//! Daemons' control duties joined by a network that can be cut.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;

use crate::link::Link;
use crate::link::Shared;
use crate::link::host;
use harefield::adapters::clock::SystemClock;
use harefield::control::Control;
use harefield::control::ControlPorts;
use harefield::control::ControlSettings;
use harefield::domain::cell::CellSize;
use harefield::domain::cold::ColdBounds;
use harefield::domain::feed::Change;
use harefield::domain::freshness::FreshnessSchedule;
use harefield::domain::ids::Edition;
use harefield::domain::membership::MemberRow;
use harefield::domain::membership::PeerState;
use harefield::domain::resources::ResourceSet;
use harefield::domain::retained::RetentionTimes;
use harefield::domain::revision::Revision;
use harefield::domain::topology::Topology;
use harefield::engine::ToControl;
use harefield::engine::ToWorker;
use harefield::ports::Space;
use harefield::telemetry;
use harefield::telemetry::Board;

/// How long anything that should happen may take: far longer than it does.
const PATIENCE: Duration = Duration::from_secs(20);

/// How daemons are set up.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    pub exchange: Duration,
    pub watch: Duration,
    pub apply: Duration,
    pub readers: usize,
}

/// Quick exchanges and watches.
const QUICK: Tuning = Tuning {
    exchange: Duration::from_millis(50),
    watch: Duration::from_millis(20),
    apply: Duration::from_secs(3),
    readers: 2,
};

/// Heartbeats that come often.
pub const CARRY: RetentionTimes =
    RetentionTimes { upstream: Duration::from_millis(1500), operator: Duration::from_millis(2500) };

/// The regions of a fleet, and its availability zones.
const REGIONS: usize = 3;
pub const ZONES: usize = 6;

/// A lookup.
pub const LOOKUP: &str =
    r#"{"index":"i","urgency":"bulk","deadline-ms":5,"repeatable":true,"prefer":"time"}"#;

/// Returns the name of the availability zone of a daemon.
fn zone_of(own: usize) -> Arc<str> {
    format!("z{}", own % ZONES).into()
}

/// Several daemons' control duties.
pub struct Fleet {
    executor: Rc<LocalExecutor<'static>>,
    shared: Rc<RefCell<Shared>>,
    boards: Vec<Arc<Board>>,
    workers: Vec<Receiver<ToWorker>>,
    newest: RefCell<Vec<Option<Revision>>>,
    editions: RefCell<Vec<Edition>>,
}

impl Fleet {
    /// Starts daemons that know each other as seeds.
    pub fn start(count: usize) -> Self {
        Self::start_as(count, QUICK)
    }

    /// The same with another tuning.
    pub fn start_as(count: usize, tuning: Tuning) -> Self {
        let executor: Rc<LocalExecutor<'static>> = Rc::default();
        let shared = Rc::default();
        let mut fleet = Self {
            executor,
            shared,
            boards: Vec::new(),
            workers: Vec::new(),
            newest: RefCell::default(),
            editions: RefCell::default(),
        };
        fleet.publish("indexes/i", r#"{"snapshots":[{"version":1,"shards":{}}]}"#);
        for own in 0..count {
            fleet.add(own, count, tuning);
        }
        fleet.newest = RefCell::new(vec![None; count]);
        fleet
    }

    /// Starts one more daemon, which knows the others as seeds.
    pub fn join(&mut self, tuning: Tuning) -> usize {
        let own = self.boards.len();
        self.add(own, own + 1, tuning);
        own
    }

    /// Starts a fleet of which the first three daemons are seeds, in three regions of two
    /// availability zones, beside a configuration of `lookups` lookups.
    pub fn start_in_regions(count: usize, lookups: usize, tuning: Tuning) -> Self {
        let mut fleet = Self::start_as(0, tuning);
        for number in 0..lookups {
            fleet.publish(&format!("lookups/l{number}"), LOOKUP);
        }
        fleet.shared.borrow_mut().regions = (0..count).map(|own| own % REGIONS).collect();
        for own in 0..count {
            let regions = |zone: usize| (zone_of(zone), format!("r{}", zone % REGIONS).into());
            let places = Topology { zone: zone_of(own), regions: (0..ZONES).map(regions).collect() };
            fleet.add_at(own, REGIONS, tuning, places);
        }
        fleet.newest = RefCell::new(vec![None; count]);
        fleet
    }

    /// Returns how often daemons pulled news from another region.
    pub fn crossed(&self) -> usize {
        self.shared.borrow().crossed
    }

    fn add(&mut self, own: usize, count: usize, tuning: Tuning) {
        self.add_at(own, count, tuning, Topology { zone: "a".into(), ..Topology::default() });
    }

    fn add_at(&mut self, own: usize, count: usize, tuning: Tuning, places: Topology) {
        let listed = places.regions.is_empty();
        let (control, inbox) = async_channel::bounded(1024);
        self.shared.borrow_mut().inboxes.insert(host(own), control);
        let link = Link { own, shared: Rc::clone(&self.shared) };
        let board = Arc::new(Board::new(host(own), 1, 10));
        let settings = ControlSettings {
            own: MemberRow {
                host: host(own),
                zone: Arc::clone(&places.zone),
                operators: "127.0.0.1:1".into(),
                incarnation: 1,
                version: 0,
                state: PeerState::Live,
                blind: false,
                capacity: 1000,
            },
            replicas: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
            seeds: (0..count).map(host).collect(),
            gossip_interval: tuning.exchange,
            join_timeout: if listed { Duration::from_millis(200) } else { Duration::from_secs(3) },
            first_start: !listed,
            max_watch: tuning.watch,
            freshness: FreshnessSchedule::new(tuning.apply),
            readers: tuning.readers,
            retention: CARRY,
            cold_bounds: ColdBounds::default(),
            cell_size: CellSize::default(),
            topology: places,
            require_keys: false,
            lists_daemons: listed,
        };
        let ports = ControlPorts { platform: link.clone(), peers: link, clock: SystemClock };
        let (worker, told) = async_channel::unbounded();
        self.workers.push(told);
        let (events, _batches) = telemetry::ring();
        let duty = Control::new(
            settings,
            ports,
            Rc::clone(&self.executor),
            vec![worker],
            events,
            Arc::clone(&board),
        );
        let (ready, _) = async_channel::bounded(1);
        self.executor.spawn(duty.run(inbox, ready)).detach();
        self.boards.push(board);
    }

    /// Publishes one value as one revision, and returns it.
    pub fn publish(&self, key: &str, value: &str) -> Revision {
        self.publish_in(Space::Config, key, Some(value))
    }

    /// Lists a host as leaving, and returns the revision of the list.
    pub fn list_leaving(&self, address: &str) -> Revision {
        let row = r#"{"role":"upstream","state":"leaving"}"#;
        self.publish_in(Space::Hosts, &format!("hosts/{address}"), Some(row))
    }

    fn publish_in(&self, space: Space, key: &str, value: Option<&str>) -> Revision {
        let mut shared = self.shared.borrow_mut();
        let number = shared.revision(space).number + 1;
        shared.revisions.insert(space, number);
        shared.log.push((space, number, Change { key: key.into(), value: value.map(Into::into) }));
        shared.revision(space)
    }

    /// Comes back from a copy of the resources as they were at a revision.
    pub fn restore(&self, copy: Revision) {
        self.shared.borrow_mut().restore(copy);
    }

    /// Takes one value away as one revision, and returns it.
    pub fn take_away(&self, key: &str) -> Revision {
        self.publish_in(Space::Config, key, None)
    }

    /// Returns the set that a daemon has in force.
    pub fn set(&self, daemon: usize) -> Arc<ResourceSet> {
        self.boards[daemon].set()
    }

    /// Tells a daemon's control duty something, as its worker does.
    pub fn say(&self, daemon: usize, message: ToControl) {
        let inbox = self.shared.borrow().inboxes[&host(daemon)].clone();
        inbox.try_send(message).expect("the control duty runs");
    }

    /// Returns what a daemon's worker was told since it was asked before.
    pub fn told(&self, daemon: usize) -> Vec<ToWorker> {
        std::iter::from_fn(|| self.workers[daemon].try_recv().ok()).collect()
    }

    /// Says which daemons cannot reach the platform.
    pub fn blind(&self, daemons: impl IntoIterator<Item = usize>) {
        self.shared.borrow_mut().blind = daemons.into_iter().collect();
    }

    /// Says in which spaces watches that wait are never answered from now on.
    pub fn mute(&self, spaces: &[Space]) {
        self.shared.borrow_mut().mute = spaces.iter().copied().collect();
    }

    /// Says how many changes one watch tells from now on.
    pub fn limit_watches(&self, most: usize) {
        self.shared.borrow_mut().most = Some(most);
    }

    /// Returns how often each daemon has called the platform.
    pub fn calls(&self) -> Vec<usize> {
        self.of_each(&self.shared.borrow().calls)
    }

    /// Returns how often the platform was listed.
    pub fn listings(&self) -> usize {
        self.shared.borrow().listings
    }

    /// Returns how many bytes of news daemons were sent.
    pub fn pulled(&self) -> usize {
        self.shared.borrow().pulled
    }

    /// Returns how many exchanges each daemon has begun.
    pub fn exchanges(&self) -> Vec<usize> {
        self.of_each(&self.shared.borrow().exchanges)
    }

    fn of_each(&self, counts: &BTreeMap<usize, usize>) -> Vec<usize> {
        (0..self.boards.len()).map(|own| counts.get(&own).copied().unwrap_or(0)).collect()
    }

    /// Returns for how many seconds a change may have been confirmed that the daemons lack,
    /// the most of all of them.
    pub fn oldest(&self) -> f64 {
        self.boards.iter().map(|board| age(board)).fold(0.0, f64::max)
    }

    /// Cuts every link between two groups, one way or both.
    pub fn cut(&self, from: &[usize], to: &[usize], both: bool) {
        let mut shared = self.shared.borrow_mut();
        for a in from {
            for b in to {
                shared.cut.insert((*a, *b));
                if both {
                    shared.cut.insert((*b, *a));
                }
            }
        }
    }

    /// Mends every link.
    pub fn heal(&self) {
        self.shared.borrow_mut().cut.clear();
    }

    /// Returns the revision in force on each daemon; none of them goes back, nor the editions.
    pub fn revisions(&self) -> Vec<Option<Revision>> {
        let now: Vec<_> = self.boards.iter().map(|board| board.status().config.revision).collect();
        let mut newest = self.newest.borrow_mut();
        for (own, (before, after)) in newest.iter().zip(&now).enumerate() {
            assert!(after >= before, "daemon {own} went back from {before:?} to {after:?}");
        }
        newest.clone_from(&now);
        let now_editions: Vec<Edition> = self.boards.iter().map(|board| board.set().edition()).collect();
        let mut editions = self.editions.borrow_mut();
        for (own, (before, after)) in editions.iter().zip(&now_editions).enumerate() {
            assert!(after >= before, "daemon {own} went back from edition {before} to {after}");
        }
        *editions = now_editions;
        now
    }

    /// Lets the fleet run for a time.
    pub fn run_for(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            async_io::block_on(self.executor.run(Timer::after(Duration::from_millis(10))));
            self.revisions();
        }
    }

    /// Lets the fleet run until the daemons named have a revision in force.
    pub fn await_revision(&self, daemons: impl IntoIterator<Item = usize>, revision: Revision) {
        let daemons: Vec<usize> = daemons.into_iter().collect();
        let until = Instant::now() + PATIENCE;
        loop {
            self.run_for(Duration::from_millis(10));
            let revisions = self.revisions();
            if daemons.iter().all(|own| revisions[*own] >= Some(revision)) {
                return;
            }
            assert!(Instant::now() < until, "{revisions:?} do not reach {revision}");
        }
    }

    /// Lets the fleet run until every daemon uses a revision of the list of hosts.
    pub fn await_listed(&self, revision: Revision) {
        let until = Instant::now() + PATIENCE;
        while !self.boards.iter().all(|board| board.status().config.listed >= Some(revision)) {
            assert!(Instant::now() < until, "the list of hosts does not reach {revision}");
            self.run_for(Duration::from_millis(10));
        }
    }

    /// Returns how one daemon sees another.
    pub fn sees(&self, own: usize, other: usize) -> Option<PeerState> {
        let status = self.boards[own].status();
        status.peers.iter().find(|row| row.host == host(other)).map(|row| row.state)
    }
}

fn age(board: &Board) -> f64 {
    let text = board.metrics_at(Instant::now()).text();
    let line = text.lines().find_map(|line| line.strip_prefix("harefield_config_age_seconds "));
    line.and_then(|number| number.parse().ok()).unwrap_or(f64::INFINITY)
}
