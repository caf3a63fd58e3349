//! The control duties of several daemons, connected by a network that can be cut.

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

/// How long any expected event may take: far longer than it does.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The settings that differ between the daemons of different tests.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    pub gossip_interval: Duration,
    pub max_watch: Duration,
    pub apply: Duration,
    pub readers: usize,
}

/// Short intervals between exchanges and short watches.
const QUICK: Tuning = Tuning {
    gossip_interval: Duration::from_millis(50),
    max_watch: Duration::from_millis(20),
    apply: Duration::from_secs(3),
    readers: 2,
};

/// Retention times for frequent heartbeats.
pub const RETENTION: RetentionTimes =
    RetentionTimes { upstream: Duration::from_millis(1500), operator: Duration::from_millis(2500) };

/// How often upstreams write their entries: four intervals are the time that they have to write again.
const HEARTBEAT: Duration = Duration::from_millis(375);

/// The number of regions and of availability zones of a fleet in several regions.
const REGIONS: usize = 3;
pub const ZONES: usize = 6;

/// A valid lookup.
pub const LOOKUP: &str =
    r#"{"index":"i","urgency":"bulk","deadline-ms":5,"repeatable":true,"prefer":"time"}"#;

/// Returns the name of the availability zone of a daemon.
fn zone_of(own: usize) -> Arc<str> {
    format!("z{}", own % ZONES).into()
}

/// The control duties of several daemons.
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

    /// Starts daemons that know each other as seeds, with other settings.
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

    /// Starts a fleet in three regions with two availability zones each, and with a configuration
    /// of `lookups` lookups. Its first three daemons are seeds.
    pub fn start_in_regions(count: usize, lookups: usize, tuning: Tuning) -> Self {
        let mut fleet = Self::start_as(0, tuning);
        for number in 0..lookups {
            fleet.publish(&format!("lookups/l{number}"), LOOKUP);
        }
        fleet.shared.borrow_mut().regions = (0..count).map(|own| own % REGIONS).collect();
        for own in 0..count {
            let regions = |zone: usize| (zone_of(zone), format!("r{}", zone % REGIONS).into());
            let topology = Topology { zone: zone_of(own), regions: (0..ZONES).map(regions).collect() };
            fleet.add_at(own, REGIONS, tuning, topology);
        }
        fleet.newest = RefCell::new(vec![None; count]);
        fleet
    }

    /// Returns how often daemons pulled updates from another region.
    pub fn cross_region_pulls(&self) -> usize {
        self.shared.borrow().cross_region_pulls
    }

    fn add(&mut self, own: usize, count: usize, tuning: Tuning) {
        self.add_at(own, count, tuning, Topology { zone: "a".into(), ..Topology::default() });
    }

    fn add_at(&mut self, own: usize, count: usize, tuning: Tuning, topology: Topology) {
        let listed = topology.regions.is_empty();
        let (control, inbox) = async_channel::bounded(1024);
        self.shared.borrow_mut().inboxes.insert(host(own), control);
        let link = Link { own, shared: Rc::clone(&self.shared) };
        let board = Arc::new(Board::new(host(own), 1, 10));
        let settings = ControlSettings {
            own: MemberRow {
                host: host(own),
                zone: Arc::clone(&topology.zone),
                operators: "127.0.0.1:1".into(),
                incarnation: 1,
                version: 0,
                state: PeerState::Live,
                blind: false,
                capacity: 1000,
            },
            replicas: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
            seeds: (0..count).map(host).collect(),
            gossip_interval: tuning.gossip_interval,
            join_timeout: if listed { Duration::from_millis(200) } else { Duration::from_secs(3) },
            first_start: !listed,
            max_watch: tuning.max_watch,
            freshness: FreshnessSchedule::new(tuning.apply),
            readers: tuning.readers,
            retention: RETENTION,
            heartbeat: HEARTBEAT,
            cold_bounds: ColdBounds::default(),
            cell_size: CellSize::default(),
            topology,
            require_keys: false,
            lists_daemons: listed,
        };
        let ports = ControlPorts { platform: link.clone(), peers: link, clock: SystemClock };
        let (worker, messages) = async_channel::unbounded();
        self.workers.push(messages);
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

    /// Restores the platform from a backup of the resources at a revision.
    pub fn restore(&self, backup: Revision) {
        self.shared.borrow_mut().restore(backup);
    }

    /// Removes one value as one revision, and returns it.
    pub fn remove(&self, key: &str) -> Revision {
        self.publish_in(Space::Config, key, None)
    }

    /// Returns the set that a daemon has in force.
    pub fn set(&self, daemon: usize) -> Arc<ResourceSet> {
        self.boards[daemon].set()
    }

    /// Sends a message to the control duty of a daemon, as its worker does.
    pub fn send(&self, daemon: usize, message: ToControl) {
        let inbox = self.shared.borrow().inboxes[&host(daemon)].clone();
        inbox.try_send(message).expect("the control duty runs");
    }

    /// Returns the messages that the worker of a daemon has received since the last call.
    pub fn drain_messages(&self, daemon: usize) -> Vec<ToWorker> {
        std::iter::from_fn(|| self.workers[daemon].try_recv().ok()).collect()
    }

    /// Sets which daemons cannot reach the platform.
    pub fn set_blind(&self, daemons: impl IntoIterator<Item = usize>) {
        self.shared.borrow_mut().blind = daemons.into_iter().collect();
    }

    /// Sets the spaces whose waiting watches are never answered from now on.
    pub fn mute_watches(&self, spaces: &[Space]) {
        self.shared.borrow_mut().mute = spaces.iter().copied().collect();
    }

    /// Sets how many changes one watch returns from now on.
    pub fn limit_watches(&self, limit: usize) {
        self.shared.borrow_mut().max_changes = Some(limit);
    }

    /// Returns how often each daemon has called the platform.
    pub fn calls(&self) -> Vec<usize> {
        self.per_daemon(&self.shared.borrow().calls)
    }

    /// Returns how often the resources were listed.
    pub fn listings(&self) -> usize {
        self.shared.borrow().listings
    }

    /// Returns how many bytes of updates daemons have pulled from each other.
    pub fn pulled_bytes(&self) -> usize {
        self.shared.borrow().pulled_bytes
    }

    /// Returns how many exchanges each daemon has begun.
    pub fn exchanges(&self) -> Vec<usize> {
        self.per_daemon(&self.shared.borrow().exchanges)
    }

    fn per_daemon(&self, counts: &BTreeMap<usize, usize>) -> Vec<usize> {
        (0..self.boards.len()).map(|own| counts.get(&own).copied().unwrap_or(0)).collect()
    }

    /// Returns the greatest age of the data of all daemons in seconds: how long ago the oldest
    /// change may have been confirmed that a daemon lacks.
    pub fn max_age(&self) -> f64 {
        self.boards.iter().map(|board| age(board)).fold(0.0, f64::max)
    }

    /// Cuts every link between two groups, in one direction or in both.
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

    /// Restores every link.
    pub fn heal(&self) {
        self.shared.borrow_mut().cut.clear();
    }

    /// Returns the revision in force on each daemon. Asserts that no daemon goes back to an earlier
    /// revision or edition.
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

    /// Runs the fleet for a time.
    pub fn run_for(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            async_io::block_on(self.executor.run(Timer::after(Duration::from_millis(10))));
            self.revisions();
        }
    }

    /// Runs the fleet until the given daemons have a revision in force.
    pub fn await_revision(&self, daemons: impl IntoIterator<Item = usize>, revision: Revision) {
        let daemons: Vec<usize> = daemons.into_iter().collect();
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            self.run_for(Duration::from_millis(10));
            let revisions = self.revisions();
            if daemons.iter().all(|own| revisions[*own] >= Some(revision)) {
                return;
            }
            assert!(Instant::now() < until, "{revisions:?} do not reach {revision}");
        }
    }

    /// Runs the fleet until every daemon uses a revision of the list of hosts.
    pub fn await_listed(&self, revision: Revision) {
        let until = Instant::now() + WAIT_LIMIT;
        while !self.boards.iter().all(|board| board.status().config.listed >= Some(revision)) {
            assert!(Instant::now() < until, "the list of hosts does not reach {revision}");
            self.run_for(Duration::from_millis(10));
        }
    }

    /// Returns the state of one daemon as another sees it.
    pub fn peer_state(&self, own: usize, other: usize) -> Option<PeerState> {
        let status = self.boards[own].status();
        status.peers.iter().find(|row| row.host == host(other)).map(|row| row.state)
    }
}

fn age(board: &Board) -> f64 {
    let text = board.metrics_at(Instant::now()).text();
    let line = text.lines().find_map(|line| line.strip_prefix("harefield_config_age_seconds "));
    line.and_then(|number| number.parse().ok()).unwrap_or(f64::INFINITY)
}
