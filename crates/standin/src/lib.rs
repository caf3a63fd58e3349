//! Stand-ins for the services that harefield depends on, and a load generator, for tests and
//! the demo; not shipped.
//!
//! [`Platform`] publishes resources and hosts, [`Searchers`] are upstreams whose faults can be
//! switched while they run, [`Layout`] describes the two users' deployments, and [`load`]
//! sends requests and measures the answers. Platforms and searchers run on their own threads,
//! so that a test or a program can hold a handle and change them.

mod admin;
mod behaviour;
mod crashing;
mod endless;
pub mod experiment;
pub mod fleet;
mod layout;
pub mod load;
pub mod losses;
mod net;
mod platform;
pub mod plot;
mod raw;
mod searcher;
mod searchers;
mod signed;
mod site_store;

pub use admin::serve_admin;
pub use behaviour::Behaviour;
pub use behaviour::Fault;
pub use crashing::CrashingSearcher;
pub use crashing::CrashingSpec;
pub use crashing::StartedRequest;
pub use endless::Endless;
pub use endless::EndlessReply;
pub use endless::EndlessServer;
pub use layout::Deployment;
pub use layout::Layout;
pub use layout::SearcherSpec;
pub use net::Client;
pub use platform::Platform;
pub use raw::RawServer;
pub use searchers::Searchers;
pub use searchers::Tally;
pub use signed::FATAL;
pub use signed::ReplyMode;
pub use signed::SignedSearcher;
pub use signed::upstream_entry;
pub use site_store::Outage;
pub use site_store::PageFault;
pub use site_store::SiteStore;
pub use site_store::UNPAIRED_SURROGATE;
