//! The sections of the settings file, with their defaults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::scheduling::SchedulingSettings;
use crate::domain::accounts::Overage;
use crate::domain::cell::CellSize;
use crate::domain::cold::ColdBounds;
use crate::domain::routing::Policy;
use crate::domain::suspects::DEFAULT_CAUTION;
use crate::domain::time::millis;

/// All settings of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host's location and resources.
    pub host: Host,
    /// The addresses to listen on.
    pub listen: Listen,
    /// The platform to connect to.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// Limits on requests and memory.
    pub limits: Limits,
    /// How replicas are chosen and extra load is spent.
    pub routing: Routing,
    /// How requests that compete for the upstreams of an index are scheduled.
    pub scheduling: SchedulingSettings,
    /// Keys and limits of client accounts.
    pub accounts: AccountSettings,
    /// How a planned stop proceeds.
    pub stop: StopSettings,
    /// What the time line records.
    pub events: EventSettings,
    /// What is logged.
    pub log: LogSettings,
    /// The path of the file that the settings were loaded from.
    #[serde(skip)]
    pub source: Option<PathBuf>,
}

/// The host's location and resources.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Host {
    /// The availability zone; required.
    pub zone: String,
    /// The region.
    pub region: String,
    /// The region of each availability zone; empty if all zones are in one region.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// The share of the host's processor that the daemon may use, in cores.
    pub cores: f64,
    /// The memory that the daemon may use, in megabytes. The default is that of a small host.
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
    /// Returns the daemon's capacity in thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it saturates")]
        let capacity = (self.cores * 1000.0) as u32;
        capacity.max(1)
    }
}

/// The addresses to listen on; port 0 selects a free port.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
    /// The address at which other daemons reach `peers`, which is also the daemon's name. Defaults
    /// to `peers`.
    pub known_as: Option<SocketAddr>,
    /// The address for operators.
    pub operators: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { callers: local(7100), peers: local(7200), known_as: None, operators: local(7300) }
    }
}

/// The kind of platform, which also determines the protocols of callers and upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformKind {
    /// Harefield's own protocols; see `docs/PROTOCOLS.md`.
    #[default]
    Own,
    /// The users' platform; see `docs/PLATFORM.md`.
    Store,
}

/// The platform to connect to.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlatformSettings {
    /// The addresses of the platform's replicas; at least one.
    pub addresses: Vec<SocketAddr>,
    /// The kind of platform, and thus the protocols of callers and upstreams.
    pub kind: PlatformKind,
    /// The maximum wait of one watch, in milliseconds.
    pub watch_ms: u64,
    /// The time within which a confirmed change must be in force, in milliseconds.
    pub apply_ms: u64,
    /// The time within which nothing more is sent to an evacuated availability zone, in
    /// milliseconds, if that is shorter than `apply_ms`.
    pub evacuate_ms: Option<u64>,
    /// How many daemons of an availability zone watch the platform directly.
    pub readers: usize,
    /// How often upstreams write their entries, in milliseconds, if they write them themselves.
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
    /// Returns the time within which any confirmed change must be in force.
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
    /// Daemons to contact at startup, in addition to those that the platform lists.
    pub seeds: Vec<SocketAddr>,
    /// The interval between gossip exchanges, in milliseconds.
    pub exchange_ms: u64,
    /// How long a starting daemon waits for peers and the platform, in milliseconds.
    pub join_ms: u64,
    /// Whether the whole fleet is starting for the first time, so that no callers wait for it yet.
    pub first_start: bool,
    /// A file whose first line is the token that peers send each other.
    pub token_file: Option<PathBuf>,
    /// How many daemons are assumed to share the fleet's limits until more are known.
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

/// Limits on requests and memory.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// The number of worker threads.
    pub workers: usize,
    /// The maximum number of open connections of callers.
    pub connections: usize,
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// How long receiving a head may take, in milliseconds.
    pub head_ms: u64,
    /// How long receiving a body may take, in milliseconds.
    pub body_ms: u64,
    /// The maximum number of requests that run at once, per index and worker.
    pub running: usize,
    /// The maximum number of waiting requests of one urgency, per index and worker.
    pub waiting: usize,
    /// The memory for data held for callers, upstreams and other daemons, in megabytes. Defaults to
    /// a quarter of the host's memory.
    pub held_mb: Option<u32>,
    /// How long a peer may accept none of the data written to it, in milliseconds.
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
    /// The number of extra requests allowed per needed request.
    pub extra_load: f64,
    /// The number of extra requests that the fleet may send to one service within ten seconds on
    /// top of `extra_load`. If set, budgets are kept per service.
    pub extra_slack: Option<f64>,
    /// How long a daemon that met none which has run for that long queries one shard of a request
    /// before the others, in milliseconds; 0 for never.
    pub cautious_ms: u64,
    /// The part of a lookup's objective that is reserved for returning the answer, in milliseconds.
    pub margin_ms: u64,
    /// Whether slow requests are hedged.
    pub hedge: bool,
    /// A hedge is sent after this multiple of the time that slow requests take.
    pub hedge_factor: f64,
    /// A fixed delay before hedges, in milliseconds, exempt from the budget. It serves as a
    /// baseline in measurements.
    pub fixed_ms: Option<u64>,
    /// The maximum number of daemons that connect to the upstreams of an index.
    pub cell_size: usize,
    /// How many connections a daemon should be able to open to each upstream of its cell. Together
    /// with the upstreams' own limits this bounds the size of a cell.
    pub connections: usize,
    /// The factor by which the fleet may exceed the request rate that a cold upstream can handle.
    pub cold_overage: f64,
    /// How many requests the fleet may send to a cold upstream within a second on top of that.
    pub cold_slack: f64,
    /// How long to wait for a reply that is no longer wanted, to keep its connection, in
    /// milliseconds.
    pub drain_ms: u64,
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            policy: Policy::Cost,
            extra_load: 0.05,
            extra_slack: None,
            cautious_ms: millis(DEFAULT_CAUTION),
            margin_ms: 10,
            hedge: true,
            hedge_factor: 1.2,
            fixed_ms: None,
            cell_size: CellSize::default().max_members,
            connections: CellSize::default().connections,
            cold_overage: ColdBounds::default().overage,
            cold_slack: ColdBounds::default().slack,
            drain_ms: 1000,
        }
    }
}

impl Routing {
    /// Returns how far the fleet may exceed the rate that cold upstreams can handle.
    #[must_use]
    pub fn cold(&self) -> ColdBounds {
        ColdBounds { overage: self.cold_overage, slack: self.cold_slack }
    }
}

/// Keys and limits of client accounts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct AccountSettings {
    /// Whether lookups that aren't public require a key even if no account is published.
    pub required: bool,
    /// Whether a daemon that can't confirm that keys are still valid rejects all of them.
    pub strict: bool,
    /// The time within which a revoked key is rejected if `strict` is set, in milliseconds.
    pub revoke_ms: u64,
    /// The window over which limits are counted, in milliseconds.
    pub window_ms: u64,
    /// The fraction of a limit by which the fleet may exceed it within a window.
    pub overage: f64,
    /// The number of requests by which the fleet may exceed a limit on top of that.
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
    /// Returns how far the fleet may exceed accounts' limits.
    #[must_use]
    pub fn overage(&self) -> Overage {
        Overage { window: Duration::from_millis(self.window_ms), share: self.overage, slack: self.slack }
    }

    /// Returns how old the proof that a daemon's configuration is current may be for keys to be
    /// accepted. Returns `None` if `strict` isn't set.
    #[must_use]
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.strict.then(|| Duration::from_millis(self.revoke_ms))
    }
}

/// How a planned stop proceeds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct StopSettings {
    /// How long new and idle connections are still served, in milliseconds.
    pub linger_ms: u64,
    /// The maximum wait for requests in progress, in milliseconds.
    pub limit_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { linger_ms: 1000, limit_ms: 30_000 }
    }
}

/// What the time line records.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct EventSettings {
    /// The number of events to keep in memory.
    pub keep: usize,
    /// One in this many requests is recorded in detail; 0 for none.
    pub detail_every: u64,
    /// A file whose first line is the token that operators must send.
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
    /// The lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}
