//! A worker: runs the requests of its connections on one thread.
//!
//! `run` holds the life of a request: `find` finds its plan, `gate` lets it in,
//! `attempt` carries out its fan-out, whose attempts share a `job`, with `group` and `relay` for shards of other
//! availability zones; `forward`, with `members` and `handing`, is for requests that
//! another daemon runs, `once` for those that run once, `caution` for those that may end
//! who runs them. `updates`, `status` and `warm`
//! are its duties beside them.
//!
//! Everything here is generic over the ports and holds no lock on the path of
//! a request; once-only requests share one ledger between workers.

mod attempt;
mod find;
mod forward;
mod forward_attempt;
mod gate;
mod group;
mod identity;
mod job;
mod members;
mod message;
mod once;
mod permits;
mod relay;
mod room;
mod run;
mod status;
mod suspects;
mod updates;
mod warm;
mod worker;

pub use message::Confirmed;
pub use message::ForwardTerms;
pub use message::LookupRequest;
pub use message::Origin;
pub use message::PeerView;
pub use message::ToControl;
pub use message::ToWorker;
pub use worker::Ports;
pub use worker::Shared;
pub use worker::Worker;
pub use worker::WorkerSettings;
