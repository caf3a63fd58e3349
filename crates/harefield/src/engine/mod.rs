//! A worker: runs the requests of its connections on one thread.
//!
//! Everything here is generic over the ports and holds no lock on the path of
//! a request; once-only requests share one ledger between workers.

mod attempt;
mod find;
mod forward;
mod gate;
mod group;
mod message;
mod once;
mod relay;
mod run;
mod status;
mod updates;
mod warm;
mod worker;

pub use message::Confirmed;
pub use message::LookupRequest;
pub use message::Origin;
pub use message::PeerView;
pub use message::ToControl;
pub use message::ToWorker;
pub use worker::Ports;
pub use worker::Worker;
pub use worker::WorkerSettings;
