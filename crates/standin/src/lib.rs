//! Stand-ins for what harefield meets, and a load generator; not shipped.
//!
//! [`Platform`] publishes resources and hosts, [`Searchers`] are upstreams that
//! can be told to misbehave while they run, [`Layout`] writes down the two
//! users' deployments, and [`load`] measures. Each runs on threads of its own,
//! so that a test or a program can hold it and change it.

mod admin;
mod behaviour;
pub mod experiment;
pub mod fleet;
mod layout;
pub mod load;
pub mod losses;
mod mortal;
mod net;
mod platform;
pub mod plot;
mod searcher;
mod searchers;
mod site;
mod site_store;

pub use admin::serve_admin;
pub use behaviour::Behaviour;
pub use behaviour::Fault;
pub use layout::Deployment;
pub use layout::Layout;
pub use layout::SearcherSpec;
pub use mortal::Begun;
pub use mortal::MortalSearcher;
pub use mortal::MortalSpec;
pub use net::Client;
pub use platform::Platform;
pub use searchers::Searchers;
pub use searchers::Tally;
pub use site::FATAL;
pub use site::Manner;
pub use site::SignedSearcher;
pub use site::entry_at;
pub use site_store::Away;
pub use site_store::SiteStore;
