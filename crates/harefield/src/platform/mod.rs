//! The users' platform: its names, formats and calls, and nothing that decides.
//!
//! What comes in is decoded once into the product's own resources, requests
//! and replies; `docs/PLATFORM.md` maps the names. Settings come through the
//! template `deploy/settings.toml`.

mod callers;
mod documents;
mod headers;
mod store;
mod unreadable;
mod upstreams;

pub use callers::handle;
pub use documents::EntryError;
pub use documents::parse_catalog;
pub use documents::parse_upstream;
pub use store::HttpStore;
pub use upstreams::SignedProtocol;
