//! Adapters for the users' platform: its names, formats and protocols. This module makes no
//! decisions.
//!
//! Input is decoded once into harefield's own resources, requests and replies; `docs/PLATFORM.md`
//! maps the names. Settings are filled in from the template `deploy/settings.toml`.

mod callers;
mod documents;
mod headers;
mod items;
mod left_out;
mod store;
mod upstreams;

pub use callers::handle;
pub use documents::EntryError;
pub use documents::parse_catalog;
pub use documents::parse_upstream;
pub use store::HttpStore;
pub use upstreams::SignedProtocol;
