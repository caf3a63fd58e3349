//! One daemon of a soak: its process, its settings, a proxy in front of its listener for peers,
//! and a proxy between it and the store.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use standin::SiteStore;

use crate::cluster::EXTRA_SLACK;
use crate::cluster::ZONES;
use crate::locked::lock;
use crate::proxy::OpenedProxy;
use crate::proxy::Proxy;

/// The number of daemons in a cell, which connect to the same upstreams of an index.
const CELL_SIZE: usize = 3;

/// The same where the index is scheduled: more than there are daemons.
const SCHEDULED_CELL_SIZE: usize = 24;

/// The timeout of one readiness query.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// A daemon and its process.
#[derive(Debug)]
pub(crate) struct Node {
    /// Its position among the daemons.
    number: usize,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    operators: SocketAddr,
    /// The proxy in front of its listener for peers.
    pub peers: Proxy,
    /// The proxy in front of the store for this daemon alone.
    pub store: Proxy,
    /// The number of times its process was started.
    incarnation: AtomicU64,
    /// Whether a fault is being injected into its process.
    pub busy: AtomicBool,
}

impl Node {
    /// Opens the proxies in front of a daemon and the store, without starting the daemon;
    /// settings and logs go to `folder`.
    pub fn open(number: usize, store: &SiteStore, proxy_thread: &Sender<OpenedProxy>, folder: &Path) -> Self {
        let [callers, peers, operators] = addresses(number);
        Self {
            number,
            child: Mutex::default(),
            settings: folder.join(format!("daemon-{number}.toml")),
            log: folder.join(format!("daemon-{number}.log")),
            callers,
            operators,
            peers: Proxy::open(peers, proxy_thread),
            store: Proxy::open(store.address(), proxy_thread),
            incarnation: AtomicU64::new(0),
            busy: AtomicBool::new(false),
        }
    }

    /// Writes its settings, with the daemons that it uses as gossip seeds. If `scheduled` is set,
    /// each zone is a region, so that the merged route's index is scheduled, and all daemons are in
    /// its cell, so that regions have two carriers.
    pub fn write_settings(&self, seeds: &[SocketAddr], scheduled: bool) {
        let [callers, peers, operators] = addresses(self.number);
        let zone = ZONES[self.number % ZONES.len()];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let second = if scheduled { "r3" } else { "r1" };
        let cell = if scheduled { SCHEDULED_CELL_SIZE } else { CELL_SIZE };
        let text = format!(
            "[host]\nzone = \"{zone}\"\n[host.regions]\nz1 = \"r1\"\nz2 = \"{second}\"\nz3 = \"r2\"\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nknown-as = \"{}\"\noperators = \"{operators}\"\n\
             [platform]\nkind = \"store\"\naddresses = [\"{}\"]\nwatch-ms = 4000\nreaders = 1\n\
             [peers]\nseeds = [{}]\nexchange-ms = 1000\njoin-ms = 2000\ndaemons = 5\n\
             [routing]\nextra-load = 0.2\nextra-slack = {EXTRA_SLACK}\ncell-size = {cell}\n\
             [scheduling]\nenabled = {scheduled}\nmin-shards = 3\n\
             [stop]\nlinger-ms = 500\nlimit-ms = 5500\n[events]\ndetail-every = 1\n",
            self.peers.address(),
            self.store.address(),
            seeds.join(","),
        );
        std::fs::write(&self.settings, text).expect("settings can be written");
    }

    /// Returns its incarnation: how often its process was started.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Starts its process, unless one is running.
    pub fn start(&self, program: &Path) {
        let mut child = lock(&self.child);
        if child.is_some() {
            return;
        }
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        let log = File::options().create(true).append(true).open(&self.log).expect("the log can be opened");
        let errors = log.try_clone().expect("the log can be shared");
        let started = Command::new(program)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        *child = Some(started.expect("the daemon's program can be started"));
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &*lock(&self.child)
            && let Some(pid) = Pid::from_raw(i32::try_from(child.id()).unwrap_or(0))
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until its process has exited; returns whether it did within `limit`.
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

    /// Kills its process and waits for it to exit.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether its process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let reply = standin::Client::once(self.operators, "GET", "/ready", "", READY_TIMEOUT);
        reply.is_some_and(|(status, _)| status == 200)
    }
}

/// Returns the addresses of a daemon, which stay the same across restarts: loopback addresses
/// specific to this soak's process, on ports outside the range of outgoing connections.
fn addresses(number: usize) -> [SocketAddr; 3] {
    let process = std::process::id();
    let octet = |number: u32| u8::try_from(number % 250 + 1).unwrap_or(1);
    let last = octet(u32::try_from(number).unwrap_or(0));
    let ip = Ipv4Addr::new(127, octet(process / 250), octet(process), last);
    [7100, 7200, 7300].map(|port| SocketAddr::from((ip, port)))
}
