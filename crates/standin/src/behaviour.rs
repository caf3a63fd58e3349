//! What a stand-in searcher can be told to do, while it runs.

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong with a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The host is gone: connections close before anything runs.
    Gone,
    /// The connection closes after the request ran, without a reply.
    Lose,
    /// The body stops half-way.
    Truncate,
    /// The reply names the request before it.
    Cross,
    /// The reply is drawn from, and names, the next version.
    WrongVersion,
    /// A refusal after the request has begun.
    RefuseBegun,
    /// The reply is not JSON.
    Garbage,
}

/// How a searcher behaves; every field can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Behaviour {
    /// The mean time of a request, in milliseconds.
    pub service_ms: f64,
    /// The spread of that time: the sigma of its log-normal distribution.
    pub spread: f64,
    /// How many requests of a hundred straggle.
    pub straggle_percent: f64,
    /// How long a straggler takes, in milliseconds.
    pub straggle_ms: f64,
    /// How many requests run at once.
    pub slots: usize,
    /// How many requests may wait.
    pub queue: usize,
    /// How many connections may be open.
    pub connections: usize,
    /// What a new connection costs, in milliseconds.
    pub connect_ms: f64,
    /// The one-way latency to it, in milliseconds.
    pub latency_ms: f64,
    /// Whether it is leaving.
    pub draining: bool,
    /// Until how many requests have run it is cold: each takes four times as long.
    pub cold_requests: u64,
    /// Whether it sheds load, and when one may come back, in milliseconds.
    pub shed_ms: Option<u64>,
    /// The queue length that it reports instead of the true one.
    pub lie_queued: Option<u32>,
    /// How old its load reports may be, in milliseconds.
    pub lag_ms: f64,
    /// The snapshot versions that it holds.
    pub held: Vec<u64>,
    /// The shards that it holds; all where empty.
    pub shards: Vec<String>,
    /// Whether it is frozen: it takes requests and does nothing.
    pub frozen: bool,
    /// What goes wrong with its replies.
    pub fault: Fault,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_ms: 4.0,
            spread: 0.25,
            straggle_percent: 0.0,
            straggle_ms: 0.0,
            slots: 2,
            queue: 64,
            connections: 25,
            connect_ms: 6.0,
            latency_ms: 0.0,
            draining: false,
            cold_requests: 0,
            shed_ms: None,
            lie_queued: None,
            lag_ms: 0.0,
            held: vec![1],
            shards: Vec::new(),
            frozen: false,
            fault: Fault::None,
        }
    }
}
