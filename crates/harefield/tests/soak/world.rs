//! The world of a soak: daemons as processes, a store, upstreams, and a proxy before
//! each of them.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use standin::SignedSearcher;
use standin::SiteStore;
use standin::entry_at;

use crate::ledger::Ledger;
use crate::ledger::Published;
use crate::proxy;
use crate::proxy::Opened;
use crate::proxy::Proxy;

/// The availability zones; the first two are of one region.
pub(crate) const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// How many records a merged answer keeps.
pub(crate) const RECORDS: usize = 4;

/// The least share of the shards that makes an answer.
pub(crate) const LEAST_SHARE: f64 = 0.6;

/// The most upstreams that one request of a caller may be sent to, for each shard.
pub(crate) const ATTEMPTS: usize = 2;

/// What the fleet may send to one service on top of a fifth of its requests, in
/// requests within ten seconds.
pub(crate) const SLACK: f64 = 50.0;

/// How many daemons dial the upstreams of an index.
const CELL_SIZE: usize = 3;

/// How many upstreams take requests that are not merged.
const PLAIN: usize = 3;

/// One daemon.
#[derive(Debug)]
pub(crate) struct Node {
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    operators: SocketAddr,
    /// Before its peers' address.
    pub peers: Proxy,
    /// Before the store, for this daemon alone.
    pub store: Proxy,
    /// Counts its processes.
    life: AtomicU64,
    /// Whether something is done to its process.
    pub busy: AtomicBool,
}

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
pub(crate) struct World {
    pub nodes: Vec<Node>,
    pub store: SiteStore,
    /// Every upstream that ever was.
    upstreams: Mutex<BTreeMap<String, Upstream>>,
    /// Those that are listed and not leaving.
    present: Mutex<Vec<String>>,
    shards: Mutex<Vec<String>>,
    version: AtomicU64,
    named: AtomicU64,
    serving: Sender<Opened>,
    program: PathBuf,
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Returns the number of the process that runs now.
    pub fn life(&self) -> u64 {
        self.life.load(Ordering::SeqCst)
    }

    /// Starts its process, unless one runs.
    pub fn start(&self, program: &Path) {
        let mut child = lock(&self.child);
        if child.is_some() {
            return;
        }
        self.life.fetch_add(1, Ordering::SeqCst);
        let log = File::options().create(true).append(true).open(&self.log).expect("the log can be opened");
        let errors = log.try_clone().expect("the log can be shared");
        let started = Command::new(program)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        *child = Some(started.expect("the daemon's program is there"));
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &*lock(&self.child)
            && let Some(pid) = Pid::from_raw(i32::try_from(child.id()).unwrap_or(0))
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until its process has ended; returns whether it did in time.
    pub fn await_end(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut child = lock(&self.child);
        let Some(running) = child.as_mut() else { return true };
        while running.try_wait().is_ok_and(|ended| ended.is_none()) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        *child = None;
        true
    }

    /// Ends its process at once.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl World {
    /// Starts as many daemons with their stand-ins; settings and logs go to `folder`.
    pub fn start(daemons: usize, shards: usize, program: &Path, folder: &Path, ledger: &Ledger) -> Self {
        let (store, serving) = (SiteStore::start(), proxy::start());
        let nodes: Vec<Node> = (0..daemons).map(|number| node(number, &store, &serving, folder)).collect();
        let seeds: Vec<String> =
            nodes.iter().take(3).map(|node| format!("\"{}\"", node.peers.address())).collect();
        for (number, node) in nodes.iter().enumerate() {
            let text = std::fs::read_to_string(&node.settings).expect("it was written a moment ago");
            let text = text.replace("SEEDS", &seeds.join(",")).replace("ZONE", ZONES[number % ZONES.len()]);
            std::fs::write(&node.settings, text).expect("settings can be written");
        }
        let world = Self {
            nodes,
            store,
            upstreams: Mutex::default(),
            present: Mutex::default(),
            shards: Mutex::default(),
            version: AtomicU64::new(0),
            named: AtomicU64::new(0),
            serving,
            program: program.to_owned(),
        };
        for number in 0..PLAIN {
            world.add("plain", ZONES[number % ZONES.len()], &[5]);
        }
        let first = world.make_shards(shards);
        world.publish(Some(first), ledger);
        for node in &world.nodes {
            node.start(program);
        }
        world
    }

    /// Starts the process of a daemon again.
    pub fn restart(&self, node: &Node) {
        node.start(&self.program);
    }

    /// Returns every upstream that ever was, by its name.
    pub fn upstreams(&self) -> BTreeMap<String, Upstream> {
        lock(&self.upstreams).clone()
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
        let number = self.named.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{number}");
        let inner = SignedSearcher::start(&name, records);
        let proxy = Proxy::open(inner.address(), &self.serving);
        let service = service.to_owned();
        let upstream = Upstream { inner, service, zone, records: records.to_vec(), proxy };
        lock(&self.upstreams).insert(name.clone(), upstream);
        lock(&self.present).push(name.clone());
        self.list(&name, "ready");
        name
    }

    /// Lists an upstream in a state.
    pub fn list(&self, name: &str, state: &str) {
        if let Some(upstream) = self.upstream(name) {
            let entry = entry_at(upstream.proxy.address(), upstream.zone, &upstream.service, state);
            self.store.put(&upstream.inner.key(), Some(&entry));
        }
    }

    /// Takes an upstream off the list.
    pub fn unlist(&self, name: &str) {
        if let Some(upstream) = self.upstream(name) {
            self.store.put(&upstream.inner.key(), None);
        }
    }

    /// Notes that an upstream is leaving; returns whether it was present.
    pub fn take_leave(&self, name: &str) -> bool {
        let mut present = lock(&self.present);
        let before = present.len();
        present.retain(|held| held != name);
        present.len() < before
    }

    /// Starts the upstreams of a new set of shards; returns its services.
    pub fn make_shards(&self, count: usize) -> Vec<String> {
        let set = self.named.fetch_add(1, Ordering::SeqCst);
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
        let mut held = lock(&self.shards);
        let before = held.clone();
        if let Some(shards) = shards {
            *held = shards;
        }
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        self.add(&format!("version-{version}"), ZONES[0], &[1]);
        let config = configuration(version, &held, &lock(&self.upstreams));
        self.store.put("op/config", Some(&config));
        ledger.pages().published.push(Published { version, at: Instant::now(), shards: held.clone() });
        before
    }

    /// Says whether every daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ready = |node: &Node| {
            let asked = standin::Client::once(node.operators, "GET", "/ready", "", Duration::from_secs(1));
            asked.is_some_and(|(status, _)| status == 200)
        };
        self.nodes.iter().all(ready)
    }

    /// Ends every process.
    pub fn end(&self) {
        self.nodes.iter().for_each(Node::kill);
    }
}

/// A soak that panics leaves no process behind.
impl Drop for World {
    fn drop(&mut self) {
        self.end();
    }
}

fn node(number: usize, store: &SiteStore, serving: &Sender<Opened>, folder: &Path) -> Node {
    let [callers, peers, operators] = addresses(number);
    let (peer_proxy, store_proxy) = (Proxy::open(peers, serving), Proxy::open(store.address(), serving));
    let settings = folder.join(format!("daemon-{number}.toml"));
    let text = format!(
        "[host]\nzone = \"ZONE\"\n[host.regions]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r2\"\n\
         [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nknown-as = \"{}\"\noperators = \"{operators}\"\n\
         [platform]\nkind = \"store\"\naddresses = [\"{}\"]\nwatch-ms = 1000\nreaders = 1\n\
         [peers]\nseeds = [SEEDS]\nexchange-ms = 300\njoin-ms = 1000\ndaemons = 5\n\
         [routing]\nextra-load = 0.2\nextra-slack = {SLACK}\ncell-size = {CELL_SIZE}\n\
         [stop]\nlinger-ms = 500\nlimit-ms = 5500\n[events]\ndetail-every = 1\n",
        peer_proxy.address(),
        store_proxy.address(),
    );
    std::fs::write(&settings, text).expect("settings can be written");
    Node {
        child: Mutex::default(),
        settings,
        log: folder.join(format!("daemon-{number}.log")),
        callers,
        operators,
        peers: peer_proxy,
        store: store_proxy,
        life: AtomicU64::new(0),
        busy: AtomicBool::new(false),
    }
}

/// Returns the addresses of a daemon, which it keeps over restarts: loopback ones of
/// this soak alone, on ports that no connection is opened from.
fn addresses(number: usize) -> [SocketAddr; 3] {
    let own = std::process::id();
    let octet = |number: u32| u8::try_from(number % 250 + 1).unwrap_or(1);
    let last = octet(u32::try_from(number).unwrap_or(0));
    let ip = Ipv4Addr::new(127, octet(own / 250), octet(own), last);
    [7100, 7200, 7300].map(|port| SocketAddr::from((ip, port)))
}

fn configuration(version: u64, shards: &[String], upstreams: &BTreeMap<String, Upstream>) -> Value {
    let route = |name: &str, path: &str, kind: &str, priority: u64| {
        json!({
            "name": name, "host": "x.example", "pathPrefix": path, "kind": kind, "timeoutMs": 1000,
            "targetLatencyMs": 300, "priority": priority, "attempts": ATTEMPTS,
        })
    };
    let mut all = route("all", "/all/", "safe", 1);
    all["fanoutServices"] = json!(shards);
    all["resultLimit"] = json!(RECORDS);
    all["oldestVersion"] = json!(LEAST_SHARE);
    let mut one = route("one", "/one/", "safe", 2);
    one["service"] = "plain".into();
    let mut strict = route("once", "/one/once/", "unsafe", 2);
    strict["service"] = "plain".into();
    let mut own = route("version", "/version/", "safe", 2);
    own["service"] = format!("version-{version}").into();
    let mut names: Vec<&str> = upstreams.values().map(|upstream| upstream.service.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let services: Vec<Value> =
        names.into_iter().map(|name| json!({ "name": name, "connectionLimit": 26 })).collect();
    let limits =
        json!({ "headerBytes": 8192, "bodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 });
    json!({ "version": version, "routes": [all, one, strict, own], "services": services, "limits": limits })
}
