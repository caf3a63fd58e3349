//! Starts the project's daemons as the deploy file does, with the settings that its template gives
//! for a small deployment.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::http;

/// The machines of the small site, by zone.
pub const ZONES: [(&str, &str, usize); 3] = [
    ("piarco-hall", "north-trinidad", 3),
    ("chaguanas-hall", "central-trinidad", 2),
    ("sando-hall", "south-trinidad", 2),
];

/// The next port to try. Ports below the usual range of outgoing connections stay free while a daemon
/// is down.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address at which nobody listens, another one each time.
pub fn free_address() -> SocketAddr {
    let first = 16_000 + u16::try_from(std::process::id() % 12_000).expect("it is small");
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// One daemon: its addresses, settings file and process.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    zone: String,
    region: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Daemon {
    /// Reserves the addresses of all daemons of the small site.
    pub fn plan(folder: &Path) -> Vec<Self> {
        let mut all = Vec::new();
        for (zone, region, count) in ZONES {
            for number in 1..=count {
                let name = format!("frontend-{zone}-{number}");
                all.push(Self {
                    callers: free_address(),
                    peers: free_address(),
                    operators: free_address(),
                    zone: zone.to_owned(),
                    region: region.to_owned(),
                    settings: folder.join(format!("{name}.toml")),
                    log: folder.join(format!("{name}.log")),
                    process: None,
                    name,
                });
            }
        }
        all
    }

    /// Returns the seeds of a fleet: the first daemon of each zone.
    pub fn seeds(all: &[Self]) -> Vec<SocketAddr> {
        let firsts = ZONES.iter().filter_map(|(zone, ..)| all.iter().find(|daemon| daemon.zone == *zone));
        firsts.map(|daemon| daemon.peers).collect()
    }

    /// Starts its process.
    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr], first: bool) {
        std::fs::write(&self.settings, self.settings_text(store, seeds, first))
            .expect("the folder is writable");
        let log = File::options().create(true).append(true).open(&self.log).expect("the folder is writable");
        let errors = log.try_clone().expect("the log is open");
        let process = Command::new("target/release/harefield")
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .env("HAREFIELD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.process = Some(process.expect("the daemon's program was built"));
    }

    /// Kills its process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Stops its process as planned: with SIGTERM, and by force after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        let Some(mut process) = self.process.take() else { return };
        let _ = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
        let until = Instant::now() + grace;
        while Instant::now() < until && process.try_wait().is_ok_and(|status| status.is_none()) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = process.kill();
        let _ = process.wait();
    }

    /// Returns whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let host = [("Host", "ready".to_owned())];
        let answer = http::exchange(self.operators, "GET /ready", &host, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn settings_text(&self, store: SocketAddr, seeds: &[SocketAddr], first: bool) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let regions: Vec<String> =
            ZONES.iter().map(|(zone, region, _)| format!("\"{zone}\" = \"{region}\"")).collect();
        format!(
            "[host]\nzone = \"{}\"\nregion = \"{}\"\ncores = 0.25\nmemory-mb = 260\n\
             [host.regions]\n{}\n\
             [listen]\ncallers = \"{}\"\npeers = \"{}\"\noperators = \"{}\"\n\
             [platform]\nkind = \"store\"\naddresses = [\"{store}\"]\napply-ms = 3000\nreaders = 1\n\
             heartbeat-ms = 1200\n\
             [peers]\nseeds = [{}]\ndaemons = 8\n{}\
             [limits]\nconnections = 1500\nhead-ms = 20000\n\
             [routing]\nextra-load = 0.2\nextra-slack = 54\nmargin-ms = 14\nconnections = 3\n\
             [scheduling]\nenabled = true\n[accounts]\n\
             [stop]\nlinger-ms = 3000\nlimit-ms = 5500\n[events]\nkeep = 2000\ndetail-every = 0\n",
            self.zone,
            self.region,
            regions.join("\n"),
            self.callers,
            self.peers,
            self.operators,
            seeds.join(", "),
            if first { "first-start = true\n" } else { "" },
        )
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
