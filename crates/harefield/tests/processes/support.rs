//! A small cluster of daemon processes with a simulated platform and simulated upstreams,
//! controlled by a test.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use standin::Client;
use standin::Deployment;
use standin::Layout;
use standin::Platform;
use standin::Searchers;

use harefield::domain::event::Record;
use harefield::domain::outcome::Answer;
use harefield::domain::revision::Revision;
use harefield::telemetry::Status;

/// Upper limit on every wait for an expected event; far longer than any of them takes.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The addresses that a daemon prints at startup.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

/// A running daemon process, killed on drop.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    pub addresses: Addresses,
}

impl Daemon {
    /// Starts a daemon and waits until it serves.
    pub fn start(settings: &str) -> Self {
        Self::spawn(settings, true)
    }

    /// Starts a daemon and does not wait, so that its addresses are unknown.
    pub fn start_joining(settings: &str) -> Self {
        Self::spawn(settings, false)
    }

    fn spawn(settings: &str, is_awaited: bool) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("harefield-{}-{number}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings).expect("settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_harefield"))
            .args(["serve", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let out = child.stdout.take().expect("its output is piped");
        let mut lines = BufReader::new(out).lines().map(|line| line.expect("the body is UTF-8"));
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut addresses = Addresses { callers: unknown, peers: unknown, operators: unknown };
        if is_awaited {
            // Log lines precede and follow the line with the addresses.
            let ready = lines.find_map(|line| serde_json::from_str(&line).ok());
            addresses = ready.expect("the daemon prints its addresses");
            drop(std::fs::remove_file(&path));
        }
        // Keeps draining the log, so that the daemon never writes to a closed pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Self { child, addresses }
    }

    /// Sends a signal by its name without `SIG`, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status().expect("sh can be started");
        assert!(status.success(), "kill -{name}");
    }

    /// Waits for the process to exit and returns its exit code, or none if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the daemon does not exit");
    }

    /// Returns the peak resident memory of the process in bytes.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process is running");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the status has a peak");
        let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().expect("the peak is a number");
        kilobytes * 1024
    }

    /// Returns the daemon's status from its operators' address.
    pub fn status(&self) -> Status {
        let reply = Client::once(self.addresses.operators, "GET", "/v1/status", "", TIMEOUT);
        let (_, body) = reply.expect("operators are answered");
        serde_json::from_slice(&body).expect("the body is a status")
    }

    /// Returns the events of the time line that match a query string.
    pub fn timeline(&self, query: &str) -> Vec<Record> {
        let path = format!("/v1/timeline?{query}");
        let reply = Client::once(self.addresses.operators, "GET", &path, "", TIMEOUT);
        let (_, body) = reply.expect("operators are answered");
        serde_json::from_slice(&body).expect("the body is a list of records")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// A platform, upstreams and daemons.
#[derive(Debug)]
pub struct Cluster {
    pub platform: Platform,
    pub upstreams: Searchers,
    pub layout: Layout,
    pub daemons: Vec<Daemon>,
    pub extra: String,
}

impl Cluster {
    /// Starts a small deployment with `count` daemons; `extra` is appended to their settings.
    pub fn start(count: usize, extra: &str) -> Self {
        Self::start_with(count, extra, 1)
    }

    /// Does the same with several copies of the platform.
    pub fn start_with(count: usize, extra: &str, copies: usize) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let layout = Layout::new(Deployment::Small);
        let specs = layout.searchers.iter().map(|s| (s.name.clone(), free, s.behaviour.clone()));
        let upstreams = Searchers::start(specs.collect());
        let platform = Platform::start(&vec![free; copies]);
        platform.publish("config", layout.resources(|name| upstreams.address(name)));
        let mut cluster = Self { platform, upstreams, layout, daemons: Vec::new(), extra: extra.to_owned() };
        let rows = cluster.upstreams.names().into_iter().map(|name| {
            (
                format!("hosts/{}", cluster.upstreams.address(&name)),
                Some(json!({ "role": "upstream", "state": "live" })),
            )
        });
        let rows = rows.collect();
        cluster.platform.publish("hosts", rows);
        for _ in 0..count {
            cluster.add_daemon();
        }
        let revision = cluster.hosts_revision();
        cluster.await_hosts(revision);
        cluster
    }

    /// Starts one more daemon, lists it as live and returns its index.
    pub fn add_daemon(&mut self) -> usize {
        let daemon = Daemon::start(&self.settings(&self.extra));
        self.list_daemon(&daemon, "live");
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Returns the settings for one more daemon, whose seeds are the daemons so far.
    pub fn settings(&self, extra: &str) -> String {
        let copies: Vec<String> = self.platform.replicas().iter().map(|a| format!("\"{a}\"")).collect();
        let seeds: Vec<String> = self.daemons.iter().map(|d| format!("\"{}\"", d.addresses.peers)).collect();
        format!(
            "[host]\nzone = \"hall-1a\"\n[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             operators = \"127.0.0.1:0\"\n[platform]\naddresses = [{}]\nwatch-ms = 2000\n\
             [peers]\nseeds = [{}]\nexchange-ms = 200\n{extra}\n",
            copies.join(", "),
            seeds.join(", "),
        )
    }

    /// Publishes a daemon's row of the host list with a state.
    pub fn list_daemon(&self, daemon: &Daemon, state: &str) {
        let key = format!("hosts/{}", daemon.addresses.peers);
        let row = json!({ "role": "harefield", "state": state, "zone": "hall-1a" });
        self.platform.publish("hosts", vec![(key, Some(row))]);
    }

    /// Publishes the row of an upstream's host as live or leaving and returns the revision.
    pub fn list_upstream(&self, name: &str, state: &str) -> u64 {
        let key = format!("hosts/{}", self.upstreams.address(name));
        self.platform.publish("hosts", vec![(key, Some(json!({ "role": "upstream", "state": state })))])
    }

    fn hosts_revision(&self) -> u64 {
        self.platform.publish::<String>("hosts", Vec::new())
    }

    /// Publishes one resource and returns the revision.
    pub fn publish(&self, key: &str, value: Value) -> Revision {
        Revision::first(self.platform.publish("config", vec![(key, Some(value))]))
    }

    /// Waits until a revision of the configuration, or a later one, is in force on every daemon;
    /// returns the time taken.
    pub fn await_revision(&self, revision: Revision) -> Duration {
        self.await_all("the revision", |status| status.config.revision >= Some(revision))
    }

    /// Waits until every daemon uses a revision of the host list. One revision less is enough:
    /// the revision was obtained by publishing an empty change.
    pub fn await_hosts(&self, revision: u64) {
        self.await_all("the host list", |status| status.config.listed >= Some(Revision::first(revision - 1)));
    }

    /// Waits until every daemon's status satisfies `good` and returns the time taken.
    pub fn await_all(&self, what: &str, good: impl Fn(&Status) -> bool) -> Duration {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if self.daemons.iter().all(|daemon| good(&daemon.status())) {
                return start.elapsed();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("timed out waiting for {what} on every daemon");
    }

    /// Sends a lookup to the daemon with an index.
    pub fn lookup(&self, daemon: usize, lookup: &str, body: &Value) -> Answer {
        send_lookup(self.daemons[daemon].addresses.callers, lookup, body).expect("an answer")
    }

    /// Sends the small lookup `parcels` to the daemon with an index.
    pub fn query(&self, daemon: usize) -> Answer {
        self.lookup(daemon, "parcels", &json!({ "query": 1 }))
    }

    /// Changes the behaviour of every replica of a shard's service.
    pub fn change_service(&self, service: &str, change: impl Fn(&mut standin::Behaviour)) {
        for name in self.upstreams.names().iter().filter(|name| name.starts_with(service)) {
            self.upstreams.change(name, &change);
        }
    }
}

/// Sends a lookup to an address; returns none without a well-formed answer.
pub fn send_lookup(to: SocketAddr, lookup: &str, body: &Value) -> Option<Answer> {
    let path = format!("/v1/lookups/{lookup}");
    let (_, reply) = Client::once(to, "POST", &path, &body.to_string(), TIMEOUT)?;
    serde_json::from_slice(&reply).ok()
}

/// Polls until a condition holds; `what` describes it if that times out.
pub fn await_true(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
