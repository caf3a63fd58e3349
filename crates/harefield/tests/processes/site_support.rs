//! Daemons in the users' environment: a simulated store and simulated upstreams that sign their
//! replies, controlled by a test.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::SignedSearcher;
use standin::SiteStore;

use crate::support::Daemon;
use crate::support::TIMEOUT;
use crate::support::await_true;

/// An HTTP response as received, with header names in lower case.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }
}

/// The daemons close a connection whose peer reads nothing for this long.
pub const STALL: Duration = Duration::from_millis(1500);

/// A store, upstreams by id, and daemons, the first of which gets the requests.
pub struct Site {
    pub store: SiteStore,
    pub upstreams: BTreeMap<String, SignedSearcher>,
    pub daemon: Daemon,
    /// All daemons but the first.
    pub others: Vec<Daemon>,
}

/// A link to an address, over which bytes come back at a limited rate.
pub struct PacedLink {
    pub address: SocketAddr,
}

impl PacedLink {
    /// Opens a link to `target` with `rate` bytes per second for each connection.
    pub fn open(target: SocketAddr, rate: u32) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let far = TcpStream::connect(target).expect("the target accepts connections");
                let (from, to) = (stream.try_clone(), far.try_clone());
                let (Ok(mut from), Ok(mut to)) = (from, to) else { continue };
                std::thread::spawn(move || drop(std::io::copy(&mut from, &mut to)));
                std::thread::spawn(move || copy_paced(far, stream, rate));
            }
        });
        Self { address }
    }
}

fn copy_paced(mut from: TcpStream, mut to: TcpStream, rate: u32) {
    let mut chunk = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
        let bytes = u32::try_from(count).expect("a chunk is small");
        std::thread::sleep(Duration::from_secs_f64(f64::from(bytes) / f64::from(rate)));
    }
    drop(to.shutdown(std::net::Shutdown::Both));
}

impl Site {
    /// Starts a daemon that reads the store over a link of `rate` bytes per second.
    pub fn start_over_link(rate: u32) -> Self {
        let store = SiteStore::start();
        let link = PacedLink::open(store.address(), rate);
        let settings = settings(&store, "", "", "");
        let settings = settings.replace(&store.address().to_string(), &link.address.to_string());
        let daemon = Daemon::start(&settings);
        let mut site = Self { daemon, store, upstreams: BTreeMap::new(), others: Vec::new() };
        site.fill();
        site
    }

    /// Starts a daemon beside an empty store, without a configuration.
    pub fn unconfigured() -> Self {
        Self::unconfigured_with("", "")
    }

    fn unconfigured_with(platform: &str, routing: &str) -> Self {
        let store = SiteStore::start();
        let daemon = Daemon::start(&settings(&store, platform, "", routing));
        Self { daemon, store, upstreams: BTreeMap::new(), others: Vec::new() }
    }

    /// Starts a daemon that closes a connection whose peer reads nothing for `stall`.
    pub fn start_stalling(stall: Duration) -> Self {
        let store = SiteStore::start();
        let daemon = Daemon::start(&settings_of(&store, "", "", "", stall));
        let mut site = Self { daemon, store, upstreams: BTreeMap::new(), others: Vec::new() };
        site.fill();
        let serves = || request_at(&site.daemon, "/all/x", "r0", 2000).status == 200;
        await_true("the daemon has the configuration", serves);
        site
    }

    /// Starts `count` daemons with further settings of the section `platform`.
    pub fn start_reading(count: usize, platform: &str) -> Self {
        let mut site = Self::unconfigured_with(platform, "");
        for _ in 1..count {
            site.add_daemon(platform);
        }
        site.add_all();
        let serves = |daemon: &Daemon| request_at(daemon, "/all/x", "r0", 2000).status == 200;
        await_true("all have the configuration", || site.daemons().all(serves));
        site
    }

    /// Kills all daemons and starts as many new ones without any state.
    pub fn restart_all(&mut self, platform: &str) {
        self.restart_all_with(platform, "");
    }

    /// Does the same with a further section of settings.
    pub fn restart_all_with(&mut self, platform: &str, section: &str) {
        let count = self.others.len();
        self.daemons().for_each(|daemon| daemon.signal("KILL"));
        self.others.clear();
        self.daemon = Daemon::start(&settings(&self.store, platform, "", section));
        for _ in 0..count {
            self.add_daemon_with(platform, section);
        }
    }

    /// Starts one more daemon, whose seed is the first one, with further settings of the section
    /// `platform`.
    pub fn add_daemon(&mut self, platform: &str) {
        self.add_daemon_with(platform, "");
    }

    /// Starts one more daemon, which asks `other` before the store, and takes it for another daemon.
    pub fn add_daemon_beside(&mut self, other: SocketAddr) {
        let store = format!("\"{}\"", self.store.address());
        let settings = settings(&self.store, "", &format!("seeds = [\"{other}\"]\n"), "");
        self.others.push(Daemon::start(&settings.replace(&store, &format!("\"{other}\", {store}"))));
    }

    fn add_daemon_with(&mut self, platform: &str, routing: &str) {
        let seed = format!("seeds = [\"{}\"]\n", self.daemon.addresses.peers);
        self.others.push(Daemon::start(&settings(&self.store, platform, &seed, routing)));
    }

    /// Starts `count` daemons that know each other, with further settings of the section
    /// `routing` or further sections.
    pub fn start_with(count: usize, section: &str) -> Self {
        let mut site = Self::unconfigured_with("", section);
        site.join(count - 1, section);
        site.fill();
        let known = |daemon: &Daemon| daemon.status().peers.len() == count;
        await_true("all daemons know each other", || site.daemons().all(known));
        let serves = |daemon: &Daemon| request_at(daemon, "/all/x", "r0", 2000).status == 200;
        await_true("all have the configuration", || site.daemons().all(serves));
        site
    }

    /// Starts more daemons, whose seed is the first one, with further settings of the section
    /// `routing`.
    pub fn join(&mut self, count: usize, routing: &str) {
        for _ in 0..count {
            self.add_daemon_with("", routing);
        }
    }

    /// Starts a daemon with the shards `s1` to `s3` and the service `one`, one upstream each.
    pub fn start() -> Self {
        let mut site = Self::unconfigured();
        site.fill();
        site
    }

    /// Starts `count` daemons, of which `members` may send to the upstreams of an index.
    pub fn start_cells(count: usize, members: usize) -> Self {
        Self::start_with(count, &format!("cell-size = {members}\n"))
    }

    /// Starts a daemon whose seed is `other`, with cells of `members` daemons.
    pub fn start_beside(other: std::net::SocketAddr, members: usize) -> Self {
        let store = SiteStore::start();
        let seed = format!("seeds = [\"{other}\"]\n");
        let daemon = Daemon::start(&settings(&store, "", &seed, &format!("cell-size = {members}\n")));
        let mut site = Self { daemon, store, upstreams: BTreeMap::new(), others: Vec::new() };
        site.add_all();
        site
    }

    /// Returns all daemons in the order of their start.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        std::iter::once(&self.daemon).chain(&self.others)
    }

    /// Returns all daemons in the order of their start.
    pub fn daemons_mut(&mut self) -> impl Iterator<Item = &mut Daemon> {
        std::iter::once(&mut self.daemon).chain(&mut self.others)
    }

    /// Starts the upstreams, publishes the first version and waits until the daemon serves.
    pub fn fill(&mut self) {
        self.add_all();
        self.await_ready();
    }

    fn add_all(&mut self) {
        for (service, records) in [("s1", [9, 1]), ("s2", [8, 2]), ("s3", [7, 3]), ("one", [5, 5])] {
            self.add(service, &format!("i-{service}"), &records);
        }
        self.publish(1, &routes());
    }

    pub fn add(&mut self, service: &str, id: &str, records: &[u8]) {
        let upstream = SignedSearcher::start(id, records);
        self.store.put(&upstream.key(), Some(&upstream.entry(service, "ready")));
        self.upstreams.insert(id.to_owned(), upstream);
    }

    pub fn publish(&self, version: u64, routes: &[Value]) {
        self.publish_for(version, routes, None);
    }

    /// Publishes a version of the configuration with client accounts, if any are given.
    pub fn publish_for(&self, version: u64, routes: &[Value], accounts: Option<&[Value]>) {
        let services: Vec<Value> = ["s1", "s2", "s3", "one"]
            .iter()
            .map(|name| json!({ "name": name, "connectionLimit": 26 }))
            .collect();
        let mut config =
            json!({ "version": version, "routes": routes, "services": services, "limits": limits() });
        if let Some(accounts) = accounts {
            config["tenants"] = json!(accounts);
        }
        self.store.put("op/config", Some(&config));
    }

    pub fn request(&self, path: &str, id: &str) -> Answer {
        request_at(&self.daemon, path, id, 2000)
    }

    pub fn is_ready(&self) -> bool {
        send_request(self.daemon.addresses.operators, "/ready", "").status == 200
    }

    pub fn await_ready(&self) {
        await_true("the daemon is ready and serves", || {
            self.is_ready() && self.request("/all/x", "r0").status == 200
        });
    }

    pub fn has_metric(&self, name: &str) -> bool {
        let answer = send_request(self.daemon.addresses.operators, "/metrics", "");
        String::from_utf8_lossy(&answer.body).contains(name)
    }

    pub fn runs(&self, id: &str) -> usize {
        self.upstreams.values().map(|s| s.runs().iter().filter(|run| *run == id).count()).sum()
    }
}

fn settings(store: &SiteStore, platform: &str, peers: &str, routing: &str) -> String {
    settings_of(store, platform, peers, routing, STALL)
}

fn settings_of(store: &SiteStore, platform: &str, peers: &str, routing: &str, stall: Duration) -> String {
    format!(
        "[host]\nzone = \"hall\"\n[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\n[platform]\nkind = \"store\"\naddresses = [\"{}\"]\n\
         {platform}[peers]\nexchange-ms = 100\njoin-ms = 200\n{peers}[limits]\nbody-ms = 400\nstall-ms = {}\n[routing]\nextra-load = 0.2\n\
         extra-slack = 50\n{routing}",
        store.address(),
        stall.as_millis()
    )
}

/// Returns the published limits on callers' requests.
pub fn limits() -> Value {
    json!({ "headerBytes": 2048, "bodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 })
}

pub fn routes() -> Vec<Value> {
    vec![
        json!({
            "name": "all", "host": "x.example", "pathPrefix": "/all/", "kind": "safe", "timeoutMs": 1000,
            "targetLatencyMs": 300, "priority": 1, "attempts": 2, "fanoutServices": ["s1", "s2", "s3"],
            "resultLimit": 4, "oldestVersion": 0.6,
        }),
        json!({
            "name": "one", "host": "x.example", "pathPrefix": "/one/", "kind": "safe", "timeoutMs": 1000,
            "targetLatencyMs": 300, "priority": 2, "attempts": 2, "service": "one",
        }),
        json!({
            "name": "once", "host": "x.example", "pathPrefix": "/one/once/", "kind": "unsafe",
            "timeoutMs": 1000, "targetLatencyMs": 300, "priority": 2, "attempts": 2, "service": "one",
        }),
    ]
}

/// Sends a request to a daemon with `millis` left until its deadline.
pub fn request_at(daemon: &Daemon, path: &str, id: &str, millis: u64) -> Answer {
    send_request(
        daemon.addresses.callers,
        path,
        &format!("Attempt-Id: {id}\r\nDeadline-Remaining: {millis}\r\n"),
    )
}

/// Returns the names of the upstreams that a daemon's workers know.
pub fn known_upstreams(daemon: &Daemon) -> Vec<String> {
    let status = daemon.status();
    let all = status.workers.values().flat_map(|worker| &worker.upstreams);
    all.map(|upstream| upstream.upstream.to_string()).collect()
}

pub fn send_request(to: SocketAddr, path: &str, headers: &str) -> Answer {
    let mut stream = TcpStream::connect(to).expect("the listener accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    let head = format!("GET {path} HTTP/1.1\r\nHost: x.example\r\n{headers}Connection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the bytes are sent");
    read_answer(stream)
}

/// Sends a request with 2 s left, and does not wait for its answer.
pub fn begin(daemon: &Daemon, path: &str, id: &str) -> TcpStream {
    begin_with(daemon, path, &format!("Attempt-Id: {id}\r\nDeadline-Remaining: 2000\r\n"))
}

/// Sends a request with some headers, and does not wait for its answer.
pub fn begin_with(daemon: &Daemon, path: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(daemon.addresses.callers).expect("the listener accepts connections");
    let head = format!("GET {path} HTTP/1.1\r\nHost: x.example\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).expect("the bytes are sent");
    stream
}

pub fn read_answer(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("a response arrives");
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").expect("the response has a head");
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).and_then(|text| text.parse().ok());
    let headers = lines.filter_map(|line| line.split_once(": "));
    Answer {
        status: status.expect("the response has a status"),
        headers: headers.map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned())).collect(),
        body: bytes[end + 4..].to_vec(),
    }
}

pub fn records(bytes: &[u8]) -> Vec<u8> {
    bytes.iter().flat_map(|byte| [*byte; 16]).collect()
}

/// Sends the bytes of a request and keeps the connection open.
pub fn send(site: &Site, bytes: &[u8]) -> Answer {
    let mut stream =
        TcpStream::connect(site.daemon.addresses.callers).expect("the listener accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    stream.write_all(bytes).expect("the bytes are sent");
    read_answer(stream)
}
