//! The sections of the settings file, with their defaults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::domain::accounts::Overage;
use crate::domain::cell::CellSize;
use crate::domain::cold::ColdBounds;
use crate::domain::routing::Policy;
use crate::domain::time::millis;

/// All settings of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Where the host stands.
    pub host: Host,
    /// The addresses that are listened on.
    pub listen: Listen,
    /// The platform's copies.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// Bounds on what is taken in.
    pub limits: Limits,
    /// How replicas are chosen and extra load is spent.
    pub routing: Routing,
    /// Client accounts' keys and limits.
    pub accounts: AccountSettings,
    /// How a planned stop goes.
    pub stop: StopSettings,
    /// What the time line keeps.
    pub events: EventSettings,
    /// What is logged.
    pub log: LogSettings,
    /// The file that the settings came from.
    #[serde(skip)]
    pub source: Option<PathBuf>,
}

/// Where the host stands.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Host {
    /// The availability zone; required.
    pub zone: String,
    /// The region.
    pub region: String,
    /// The region of each availability zone; empty where all is near.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// The share of the host's processor that the daemon may use, in cores.
    pub cores: f64,
    /// The memory that the daemon may use, in megabytes; as of a small host where it is not
    /// given.
    pub memory_mb: u32,
}

impl Default for Host {
    fn default() -> Self {
        Self {
            zone: String::new(),
            region: String::new(),
            regions: BTreeMap::new(),
            cores: 1.0,
            memory_mb: 160,
        }
    }
}

impl Host {
    /// Returns what the daemon can carry, in thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it saturates")]
        let capacity = (self.cores * 1000.0) as u32;
        capacity.max(1)
    }
}

/// The addresses that are listened on; a port of 0 takes a free one.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// The address that other daemons reach that one at, which is also the daemon's
    /// name; the same where none is given.
    pub known_as: Option<SocketAddr>,
    /// For operators.
    pub operators: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { callers: at(7100), peers: at(7200), known_as: None, operators: at(7300) }
    }
}

/// A kind of platform, with the protocols that go with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformKind {
    /// The product's own protocols, `docs/PROTOCOLS.md`.
    #[default]
    Own,
    /// The users' machines, `docs/PLATFORM.md`.
    Store,
}

/// The platform's copies.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformSettings {
    /// The addresses of its copies; at least one.
    pub addresses: Vec<SocketAddr>,
    /// Which platform it is, and with it what callers and upstreams speak.
    pub kind: PlatformKind,
    /// How long one watch waits at most, in milliseconds.
    pub watch_ms: u64,
    /// Within which time a confirmed change is to be in force, in milliseconds.
    pub apply_ms: u64,
    /// Within which time nothing more is sent to an availability zone that is evacuated, in
    /// milliseconds, where that is sooner.
    pub evacuate_ms: Option<u64>,
    /// How many daemons of an availability zone hold the watch.
    pub readers: usize,
    /// How often upstreams write their entries, in milliseconds, where they write themselves.
    pub heartbeat_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            kind: PlatformKind::Own,
            watch_ms: 20_000,
            apply_ms: 3000,
            evacuate_ms: None,
            readers: 2,
            heartbeat_ms: 1200,
        }
    }
}

impl PlatformSettings {
    /// Returns within which time whatever is confirmed is to be in force.
    #[must_use]
    pub fn apply_limit(&self) -> Duration {
        let soonest = self.evacuate_ms.map_or(self.apply_ms, |evacuate| evacuate.min(self.apply_ms));
        Duration::from_millis(soonest)
    }
}

/// The other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PeerSettings {
    /// Daemons to ask at the start, besides those that the platform lists.
    pub seeds: Vec<SocketAddr>,
    /// How often peers are spoken to, in milliseconds.
    pub exchange_ms: u64,
    /// How long a starting daemon waits for peers and the platform, in milliseconds.
    pub join_ms: u64,
    /// Whether the whole fleet starts for the first time: nobody waits for it yet.
    pub first_start: bool,
    /// A file whose first line is the token that peers show each other.
    pub token_file: Option<PathBuf>,
    /// How many daemons are taken to share the fleet's bounds before more are
    /// known.
    pub daemons: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            exchange_ms: 1000,
            join_ms: 2000,
            first_start: false,
            token_file: None,
            daemons: 1,
        }
    }
}

/// Bounds on what is taken in.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// Worker threads.
    pub workers: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take, in milliseconds.
    pub head_ms: u64,
    /// How long a body may take, in milliseconds.
    pub body_ms: u64,
    /// Requests that run at once, for each index and worker.
    pub running: usize,
    /// Requests of one urgency that wait, for each index and worker.
    pub waiting: usize,
    /// Megabytes held for callers, upstreams and other daemons; a quarter of the host's memory
    /// where it is not given.
    pub held_mb: Option<u32>,
    /// How long a peer may take nothing of what is written to it, in milliseconds.
    pub stall_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workers: 1,
            connections: 4096,
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_ms: 10_000,
            body_ms: 5000,
            running: 256,
            waiting: 1024,
            held_mb: None,
            stall_ms: 5000,
        }
    }
}

/// How replicas are chosen and extra load is spent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Routing {
    /// How a replica is chosen.
    pub policy: Policy,
    /// Extra requests allowed for each needed one.
    pub extra_load: f64,
    /// What the fleet may send to one service on top of that within ten
    /// seconds, in requests; where set, budgets are kept for each service.
    pub extra_slack: Option<f64>,
    /// What is kept of a lookup's objective for the answer's way back, in
    /// milliseconds.
    pub margin_ms: u64,
    /// Whether slow requests are hedged.
    pub hedge: bool,
    /// A hedge is due after this many times the slow pace.
    pub hedge_factor: f64,
    /// A fixed delay before hedges, in milliseconds, free of the budget; a
    /// baseline for measurements.
    pub fixed_ms: Option<u64>,
    /// The most daemons that dial the upstreams of an index.
    pub cell_size: usize,
    /// How many connections to each upstream a daemon that dials it should have
    /// room for; with the upstreams' own limits that bounds the cell.
    pub connections: usize,
    /// The fleet may send this many times what a cold upstream bears a second.
    pub cold_overage: f64,
    /// What the fleet may send to a cold upstream within a second on top of that, in requests.
    pub cold_slack: f64,
    /// How long a reply that is no longer wanted is awaited to keep its
    /// connection, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            policy: Policy::Cost,
            extra_load: 0.05,
            extra_slack: None,
            margin_ms: 10,
            hedge: true,
            hedge_factor: 1.2,
            fixed_ms: None,
            cell_size: CellSize::default().most,
            connections: CellSize::default().wanted,
            cold_overage: ColdBounds::default().overage,
            cold_slack: ColdBounds::default().slack,
            drain_ms: 1000,
        }
    }
}

impl Routing {
    /// Returns how far above what cold upstreams bear the fleet may go.
    #[must_use]
    pub fn cold(&self) -> ColdBounds {
        ColdBounds { overage: self.cold_overage, slack: self.cold_slack }
    }
}

/// Client accounts' keys and limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct AccountSettings {
    /// Whether lookups that are not public ask for a key also where no account is published.
    pub required: bool,
    /// Whether keys open nothing at a daemon that cannot make sure that they still do.
    pub strict: bool,
    /// Within which time a key that is taken away opens nothing there, in milliseconds.
    pub revoke_ms: u64,
    /// The window within which limits are counted, in milliseconds.
    pub window_ms: u64,
    /// The share of a limit by which the fleet may go above it within a window.
    pub overage: f64,
    /// The requests by which it may go above that.
    pub slack: f64,
}

impl Default for AccountSettings {
    fn default() -> Self {
        let Overage { window, share, slack } = Overage::default();
        Self {
            required: false,
            strict: false,
            revoke_ms: 5000,
            window_ms: millis(window),
            overage: share,
            slack,
        }
    }
}

impl AccountSettings {
    /// Returns how far the fleet may go above limits.
    #[must_use]
    pub fn overage(&self) -> Overage {
        Overage { window: Duration::from_millis(self.window_ms), share: self.overage, slack: self.slack }
    }

    /// Returns how old what a daemon holds may be for keys to open anything; none where that
    /// is not asked for.
    #[must_use]
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.strict.then(|| Duration::from_millis(self.revoke_ms))
    }
}

/// How a planned stop goes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct StopSettings {
    /// How long new connections and idle ones are still served, in milliseconds.
    pub linger_ms: u64,
    /// The longest wait for requests in progress, in milliseconds.
    pub limit_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { linger_ms: 1000, limit_ms: 30_000 }
    }
}

/// What the time line keeps.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct EventSettings {
    /// Events kept in memory.
    pub keep: usize,
    /// Of this many requests, one is recorded in detail; 0 for none.
    pub detail_every: u64,
    /// A file whose first line is the token that operators show.
    pub token_file: Option<PathBuf>,
}

impl Default for EventSettings {
    fn default() -> Self {
        Self { keep: 20_000, detail_every: 1, token_file: None }
    }
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}
