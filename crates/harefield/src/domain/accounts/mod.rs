//! Client accounts: identifying the sender of a request, and rate limits over the whole fleet.
//!
//! A request carries a [`Credential`](super::key::Credential); the [`Directory`] of the active
//! configuration maps it to an account. An account's limit is divided into parts
//! ([`FleetLimit`]). Each part is held by one daemon ([`Holders`]), which grants permits from it
//! ([`Grants`]). The daemon that a caller sent its request to keeps granted permits for a short
//! time ([`Reserve`]).

mod directory;
mod grants;
mod holders;
mod limit;
mod requester;
mod reserve;
mod unknown;

pub use directory::Client;
pub use directory::Directory;
pub use directory::Identity;
pub use grants::GrantResponse;
pub use grants::Grants;
pub use holders::Holders;
pub use holders::SlotId;
pub use limit::FleetLimit;
pub use limit::Overage;
pub use limit::PartLimit;
pub use requester::Requester;
pub use reserve::Reserve;
pub use unknown::UnknownKeyAction;
pub use unknown::UnknownKeys;
