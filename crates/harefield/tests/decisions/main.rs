//! Tests of the decisions, without I/O and in virtual time.

mod admission;
mod budgets;
mod cells;
mod codes;
mod configuration;
mod fanout;
mod freshness;
mod groups;
mod lease;
mod members;
mod merging;
mod objectives;
mod once;
mod reach;
mod readers;
mod readiness;
mod recent;
mod routing;
mod settings;
mod sharing;
mod snapshot;
mod stamps;
mod support;
mod views;
mod words;
mod world;
