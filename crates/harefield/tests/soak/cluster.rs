//! The world of a soak: daemons as processes, a store, upstreams, and a proxy before
//! each of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
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
use standin::entry_at;

use crate::configuration::configuration;
use crate::ledger::Ledger;
use crate::ledger::Published;
use crate::locked::lock;
use crate::node::Node;
use crate::proxy;
use crate::proxy::OpenedProxy;
use crate::proxy::Proxy;

/// The availability zones; the first two are of one region.
pub(crate) const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// How many records a merged answer keeps.
pub(crate) const RESULT_LIMIT: usize = 4;

/// The least share of the shards that makes an answer.
pub(crate) const MIN_SHARE: f64 = 0.6;

/// The most upstreams that one request of a caller may be sent to, for each shard.
pub(crate) const MAX_ATTEMPTS: usize = 2;

/// What the fleet may send to one service on top of a fifth of its requests, in
/// requests within ten seconds.
pub(crate) const EXTRA_SLACK: f64 = 50.0;

/// What another writer does to an entry so that it is no upstream's.
pub(crate) const CORRUPTIONS: [fn(&mut Value); 5] = [
    |entry| *entry = Value::Null,
    |entry| entry["zone"] = Value::Null,
    |entry| entry["slots"] = "two".into(),
    |entry| entry["born"] = "today".into(),
    |entry| entry["state"] = "resting".into(),
];

/// The name of a foreign entry begins so.
pub(crate) const FOREIGN_PREFIX: &str = "i-foreign";

/// How many daemons the others ask at the start.
const SEED_DAEMONS: usize = 3;

/// How many upstreams take requests that are not merged.
const PLAIN_UPSTREAMS: usize = 3;

/// One upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub inner: SignedSearcher,
    pub service: String,
    pub zone: &'static str,
    pub records: Vec<u8>,
    pub proxy: Proxy,
}

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub nodes: Vec<Node>,
    pub store: SiteStore,
    /// Every upstream that ever was.
    upstreams: Mutex<BTreeMap<String, Upstream>>,
    /// Those that are listed and not leaving.
    present: Mutex<Vec<String>>,
    shards: Mutex<Vec<String>>,
    version: AtomicU64,
    next_number: AtomicU64,
    proxy_thread: Sender<OpenedProxy>,
    /// Where upstreams say that they run what they do not outlive.
    crashes: (Sender<String>, Receiver<String>),
    program: PathBuf,
}

impl Cluster {
    /// Starts as many daemons with their stand-ins; settings and logs go to `folder`.
    pub fn start(daemons: usize, shards: usize, program: &Path, folder: &Path, ledger: &Ledger) -> Self {
        let (store, proxy_thread) = (SiteStore::start(), proxy::start());
        let open = |number| Node::open(number, &store, &proxy_thread, folder);
        let nodes: Vec<Node> = (0..daemons).map(open).collect();
        let seeds: Vec<SocketAddr> =
            nodes.iter().take(SEED_DAEMONS).map(|node| node.peers.address()).collect();
        for node in &nodes {
            node.write_settings(&seeds);
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
            program: program.to_owned(),
        };
        for number in 0..PLAIN_UPSTREAMS {
            cluster.add("plain", ZONES[number % ZONES.len()], &[5]);
        }
        let first = cluster.make_shards(shards);
        cluster.publish(Some(first), ledger);
        for node in &cluster.nodes {
            node.start(program);
        }
        cluster
    }

    /// Starts the process of a daemon again.
    pub fn restart(&self, node: &Node) {
        node.start(&self.program);
    }

    /// Returns every upstream that ever was, by its name.
    pub fn upstreams(&self) -> BTreeMap<String, Upstream> {
        lock(&self.upstreams).clone()
    }

    /// Awaits the next upstream that does not outlive what it runs, until none may come.
    pub fn next_crash(&self) -> Option<String> {
        self.crashes.1.recv_blocking().ok()
    }

    /// Says that no more upstreams end by what they run.
    pub fn close_crashes(&self) {
        self.crashes.0.close();
    }

    /// Returns the names of the upstreams that are listed and not leaving.
    pub fn present(&self) -> Vec<String> {
        lock(&self.present).clone()
    }

    /// Returns an upstream.
    pub fn upstream(&self, name: &str) -> Option<Upstream> {
        lock(&self.upstreams).get(name).cloned()
    }

    /// Starts an upstream and lists it; returns its name.
    pub fn add(&self, service: &str, zone: &'static str, records: &[u8]) -> String {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{number}");
        let inner = SignedSearcher::start(&name, records);
        inner.set_fatal(self.crashes.0.clone());
        let proxy = Proxy::open(inner.address(), &self.proxy_thread);
        let service = service.to_owned();
        let upstream = Upstream { inner, service, zone, records: records.to_vec(), proxy };
        lock(&self.upstreams).insert(name.clone(), upstream);
        lock(&self.present).push(name.clone());
        self.put_entry(&name, "ready");
        name
    }

    /// Lists an upstream in a state.
    pub fn put_entry(&self, name: &str, state: &str) {
        if let Some(upstream) = self.upstream(name) {
            let entry = entry_at(upstream.proxy.address(), upstream.zone, &upstream.service, state);
            self.store.put(&upstream.inner.key(), Some(&entry));
        }
    }

    /// Lists something that is no upstream, at an address where one would be reached.
    pub fn put_foreign(&self, number: usize, corruption: usize) {
        let name = format!("{FOREIGN_PREFIX}-{number}");
        let address = lock(&self.upstreams).values().next().map(|held| held.proxy.address());
        let Some(address) = address else { return };
        let mut entry = entry_at(address, ZONES[0], "plain", "ready");
        CORRUPTIONS[corruption](&mut entry);
        self.store.put(&format!("servers/{name}"), Some(&entry));
    }

    /// Writes something else over the entry of an upstream.
    pub fn corrupt(&self, name: &str, corruption: usize) {
        if let Some(upstream) = self.upstream(name) {
            let mut entry = entry_at(upstream.proxy.address(), upstream.zone, &upstream.service, "ready");
            CORRUPTIONS[corruption](&mut entry);
            self.store.put(&upstream.inner.key(), Some(&entry));
        }
    }

    /// Takes an upstream off the list.
    pub fn remove_entry(&self, name: &str) {
        if let Some(upstream) = self.upstream(name) {
            self.store.put(&upstream.inner.key(), None);
        }
    }

    /// Notes that an upstream is leaving; returns whether it was present.
    pub fn remove_present(&self, name: &str) -> bool {
        let mut present = lock(&self.present);
        let before = present.len();
        present.retain(|held| held != name);
        present.len() < before
    }

    /// Starts the upstreams of a new set of shards; returns its services.
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

    /// Publishes a new version, with another set of shards where one is given;
    /// returns the set that it takes the place of.
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

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Says whether every daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.nodes.iter().all(Node::is_ready)
    }

    /// Ends every process.
    pub fn kill_daemons(&self) {
        self.nodes.iter().for_each(Node::kill);
    }
}

/// A soak that panics leaves no process behind.
impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_daemons();
    }
}

fn services(upstreams: &BTreeMap<String, Upstream>) -> BTreeSet<&str> {
    upstreams.values().map(|upstream| upstream.service.as_str()).collect()
}
