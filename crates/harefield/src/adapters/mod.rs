//! Adapters to the outside: HTTP, the platform, peers, the clock, settings, logs and metrics.

pub mod callers;
pub mod clock;
pub mod http;
pub mod log_limit;
pub mod logs;
pub mod metrics;
mod opaque;
pub mod operators;
pub mod peer_server;
pub mod peers;
pub mod platform;
pub mod reading;
pub mod settings;
pub mod upstreams;
