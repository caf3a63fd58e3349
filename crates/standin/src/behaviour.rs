//! The settings of a stand-in searcher, which can be changed while it runs.

use serde::Deserialize;
use serde::Serialize;

/// A fault that a searcher injects into its replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The host is down: connections close before anything runs.
    Gone,
    /// The connection closes without a reply after the request ran.
    Lose,
    /// The connection closes after half of the body.
    Truncate,
    /// The reply carries the id of the searcher's previous request.
    Cross,
    /// The reply is made from the next snapshot version and carries its number.
    WrongVersion,
    /// The request is refused after it ran, and the reply tells that it had begun.
    RefuseBegun,
    /// The reply is not JSON.
    Garbage,
}

/// A searcher's behaviour; every field can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Behaviour {
    /// The median service time of a request, in milliseconds.
    pub service_ms: f64,
    /// The sigma of the log-normal distribution of the service time.
    pub spread: f64,
    /// The percentage of requests that are stragglers.
    pub straggle_percent: f64,
    /// The service time of a straggler, in milliseconds.
    pub straggle_ms: f64,
    /// The number of requests that may run at once.
    pub slots: usize,
    /// The number of requests that may wait for a slot; more are refused as overloaded.
    pub queue: usize,
    /// The number of open connections above which requests on new ones are refused.
    pub connections: usize,
    /// The delay before a new connection is served, in milliseconds.
    pub connect_ms: f64,
    /// The one-way network latency, in milliseconds.
    pub latency_ms: f64,
    /// Whether it is draining: it refuses all requests and says so.
    pub draining: bool,
    /// The number of requests since its start that run cold: each takes four times as long.
    pub cold_requests: u64,
    /// If set, it refuses all requests; the value is the retry delay it asks for, in
    /// milliseconds.
    pub shed_ms: Option<u64>,
    /// If set, the queue length that it reports instead of the true one.
    pub lie_queued: Option<u32>,
    /// The age up to which a load report is repeated, in milliseconds.
    pub lag_ms: f64,
    /// The snapshot versions that it holds.
    pub held: Vec<u64>,
    /// The shards that it holds; empty means all.
    pub shards: Vec<String>,
    /// Whether it is frozen: it accepts requests and does not answer until it is unfrozen.
    pub frozen: bool,
    /// The fault in its replies.
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
