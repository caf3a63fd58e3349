//! A randomized soak: daemons as processes on loopback, stand-ins of the users'
//! store and upstreams, and faults from outside, all drawn from one seed.
//!
//! `world` starts processes and stand-ins, with a `proxy` before each of them;
//! `faults` draws what goes wrong and does it; `callers` send requests and write
//! down what they saw in the `ledger`; `checks` compares that with what the
//! upstreams saw.

mod callers;
mod checks;
mod client;
mod faults;
mod ledger;
mod proxy;
mod run;
mod world;

pub use run::Report;
pub use run::Soak;
pub use run::play;
