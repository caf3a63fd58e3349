//! Harefield: a query tier over many shards.
//!
//! Callers ask any daemon for a lookup; the daemon asks every shard, answers
//! from one snapshot, and names exactly the shards that contributed.
//!
//! `domain` holds the decisions, `ports` the small traits that they need,
//! `adapters` the surroundings, `engine` a worker running requests, `control`
//! the duty that keeps configuration and membership, `telemetry` the time
//! line, `platform` the users' machines, and `commands` the command line.

pub mod adapters;
pub mod domain;
pub mod ports;

pub mod commands;
pub mod control;
pub mod daemon;
pub mod engine;
pub mod memory;
pub mod platform;
pub mod telemetry;
