//! Harefield: a query tier over many shards.
//!
//! Callers send a request for a lookup to any daemon; the daemon sends it to a replica of every
//! shard, answers from one snapshot, and names exactly the shards that contributed.
//!
//! - `domain` makes the decisions.
//! - `ports` has the small traits that carrying them out needs.
//! - `adapters` connects to the outside: HTTP, clock, settings, logs and metrics.
//! - `engine` runs requests on a worker.
//! - `control` maintains configuration and membership.
//! - `telemetry` collects the events of the time line.
//! - `platform` has the protocols of the users' machines.
//! - `memory` limits the bytes that the threads hold.
//! - `daemon` starts and stops the threads.
//! - `commands` is the command line.

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
