//! The cluster under test: daemon processes, a simulated store, simulated upstreams, and a
//! proxy in front of each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use serde_json::Value;
use standin::SignedSearcher;
use standin::SiteStore;
use standin::upstream_entry;

use crate::configuration::configuration;
use crate::ledger::Ledger;
use crate::ledger::Published;
use crate::locked::lock;
use crate::node::Node;
use crate::proxy;
use crate::proxy::OpenedProxy;
use crate::proxy::Proxy;
use crate::run::SoakOptions;

/// The availability zones; the first two belong to one region.
pub(crate) const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// The number of records that a merged answer keeps.
pub(crate) const RESULT_LIMIT: usize = 4;

/// The minimum share of the shards that an answer must cover.
pub(crate) const MIN_SHARE: f64 = 0.6;

/// The maximum number of upstreams per shard that one caller's request may be sent to.
pub(crate) const MAX_ATTEMPTS: usize = 2;

/// The number of extra requests that the fleet may send to one service within ten seconds, on
/// top of a fifth of the service's requests.
pub(crate) const EXTRA_SLACK: f64 = 50.0;

/// The ways in which another writer makes an entry invalid as an upstream's.
pub(crate) const CORRUPTIONS: [fn(&mut Value); 5] = [
    |entry| *entry = Value::Null,
    |entry| entry["zone"] = Value::Null,
    |entry| entry["slots"] = "two".into(),
    |entry| entry["born"] = "today".into(),
    |entry| entry["state"] = "resting".into(),
];

/// The prefix of the names of entries that another writer adds.
pub(crate) const FOREIGN_PREFIX: &str = "i-foreign";

/// The number of daemons that serve the others as gossip seeds at the start.
const SEED_DAEMONS: usize = 3;

/// The number of upstreams for requests that are not merged.
const PLAIN_UPSTREAMS: usize = 3;

/// A simulated upstream with the proxy in front of it.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub inner: SignedSearcher,
    pub service: String,
    pub zone: &'static str,
    pub records: Vec<u8>,
    pub proxy: Proxy,
}

/// The daemons, the store and the upstreams of a soak.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub nodes: Vec<Node>,
    pub store: SiteStore,
    /// Every upstream that was ever started.
    upstreams: Mutex<BTreeMap<String, Upstream>>,
    /// The upstreams that are registered and not leaving.
    present: Mutex<Vec<String>>,
    shards: Mutex<Vec<String>>,
    version: AtomicU64,
    next_number: AtomicU64,
    proxy_thread: Sender<OpenedProxy>,
    /// Where an upstream sends its name when it runs a fatal request.
    crashes: (Sender<String>, Receiver<String>),
    program: PathBuf,
}

impl Cluster {
    /// Starts the store, the upstreams and the daemons.
    pub fn start(soak: &SoakOptions, ledger: &Ledger) -> Self {
        let SoakOptions { daemons, shards, program, folder, .. } = soak;
        let (store, proxy_thread) = (SiteStore::start(), proxy::start());
        let open = |number| Node::open(number, &store, &proxy_thread, folder);
        let nodes: Vec<Node> = (0..*daemons).map(open).collect();
        let seeds: Vec<SocketAddr> =
            nodes.iter().take(SEED_DAEMONS).map(|node| node.peers.address()).collect();
        for node in &nodes {
            node.write_settings(&seeds, soak.is_scheduled());
        }
        let cluster = Self {
            nodes,
            store,
            upstreams: Mutex::default(),
            present: Mutex::default(),
            shards: Mutex::default(),
            version: AtomicU64::new(0),
            next_number: AtomicU64::new(0),
            proxy_thread,
            crashes: async_channel::unbounded(),
            program: program.clone(),
        };
        for number in 0..PLAIN_UPSTREAMS {
            cluster.add("plain", ZONES[number % ZONES.len()], &[5]);
        }
        let first = cluster.make_shards(*shards);
        cluster.publish(Some(first), ledger);
        for node in &cluster.nodes {
            node.start(program);
        }
        cluster
    }

    /// Restarts the process of a daemon.
    pub fn restart(&self, node: &Node) {
        node.start(&self.program);
    }

    /// Returns every upstream that was ever started, by name.
    pub fn upstreams(&self) -> BTreeMap<String, Upstream> {
        lock(&self.upstreams).clone()
    }

    /// Waits for the next upstream that runs a fatal request; `None` after `close_crashes`.
    pub fn next_crash(&self) -> Option<String> {
        self.crashes.1.recv_blocking().ok()
    }

    /// Closes the channel of fatal requests: no more upstreams are crashed.
    pub fn close_crashes(&self) {
        self.crashes.0.close();
    }

    /// Returns the names of the upstreams that are registered and not leaving.
    pub fn present(&self) -> Vec<String> {
        lock(&self.present).clone()
    }

    /// Returns the upstream of a name, also if it has left.
    pub fn upstream(&self, name: &str) -> Option<Upstream> {
        lock(&self.upstreams).get(name).cloned()
    }

    /// Starts an upstream and registers it in the store; returns its name.
    pub fn add(&self, service: &str, zone: &'static str, records: &[u8]) -> String {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{number}");
        let inner = SignedSearcher::start(&name, records);
        inner.notify_fatal(self.crashes.0.clone());
        let proxy = Proxy::open(inner.address(), &self.proxy_thread);
        let service = service.to_owned();
        let upstream = Upstream { inner, service, zone, records: records.to_vec(), proxy };
        lock(&self.upstreams).insert(name.clone(), upstream);
        lock(&self.present).push(name.clone());
        self.put_entry(&name, "ready");
        name
    }

    /// Writes the entry of an upstream, in a state, to the store.
    pub fn put_entry(&self, name: &str, state: &str) {
        if let Some(upstream) = self.upstream(name) {
            let entry = upstream_entry(upstream.proxy.address(), upstream.zone, &upstream.service, state);
            self.store.put(&upstream.inner.key(), Some(&entry));
        }
    }

    /// Writes an invalid entry of another writer, with an address that reaches an upstream.
    pub fn put_foreign(&self, number: usize, corruption: usize) {
        let name = format!("{FOREIGN_PREFIX}-{number}");
        let address = lock(&self.upstreams).values().next().map(|upstream| upstream.proxy.address());
        let Some(address) = address else { return };
        let mut entry = upstream_entry(address, ZONES[0], "plain", "ready");
        CORRUPTIONS[corruption](&mut entry);
        self.store.put(&format!("servers/{name}"), Some(&entry));
    }

    /// Overwrites the entry of an upstream with an invalid one.
    pub fn corrupt(&self, name: &str, corruption: usize) {
        if let Some(upstream) = self.upstream(name) {
            let mut entry =
                upstream_entry(upstream.proxy.address(), upstream.zone, &upstream.service, "ready");
            CORRUPTIONS[corruption](&mut entry);
            self.store.put(&upstream.inner.key(), Some(&entry));
        }
    }

    /// Deletes the entry of an upstream from the store.
    pub fn remove_entry(&self, name: &str) {
        if let Some(upstream) = self.upstream(name) {
            self.store.put(&upstream.inner.key(), None);
        }
    }

    /// Records that an upstream is leaving; returns whether it was present.
    pub fn remove_present(&self, name: &str) -> bool {
        let mut present = lock(&self.present);
        let before = present.len();
        present.retain(|other| other != name);
        present.len() < before
    }

    /// Starts the upstreams of a new set of shards; returns their services.
    pub fn make_shards(&self, count: usize) -> Vec<String> {
        let set = self.next_number.fetch_add(1, Ordering::SeqCst);
        let services: Vec<String> = (0..count).map(|shard| format!("s{set}-{shard}")).collect();
        for (shard, service) in services.iter().enumerate() {
            let high = u8::try_from(shard * 7 % 200 + 10).unwrap_or(u8::MAX);
            for zone in ZONES {
                self.add(service, zone, &[high, 3, high / 2]);
            }
        }
        services
    }

    /// Publishes a new version of the configuration, with a new set of shards if one is
    /// given; returns the previous set.
    pub fn publish(&self, shards: Option<Vec<String>>, ledger: &Ledger) -> Vec<String> {
        let mut current = lock(&self.shards);
        let before = current.clone();
        if let Some(shards) = shards {
            *current = shards;
        }
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        self.add(&format!("version-{version}"), ZONES[0], &[1]);
        let config = configuration(version, &current, &services(&lock(&self.upstreams)));
        self.store.put("op/config", Some(&config));
        ledger.observations().published.push(Published {
            version,
            at: Instant::now(),
            shards: current.clone(),
        });
        before
    }

    /// Returns the newest version that was published.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns whether every daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.nodes.iter().all(Node::is_ready)
    }

    /// Kills every daemon.
    pub fn kill_daemons(&self) {
        self.nodes.iter().for_each(Node::kill);
    }
}

/// Kills the daemons also when the soak panics.
impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_daemons();
    }
}

fn services(upstreams: &BTreeMap<String, Upstream>) -> BTreeSet<&str> {
    upstreams.values().map(|upstream| upstream.service.as_str()).collect()
}
