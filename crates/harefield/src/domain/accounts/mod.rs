//! Client accounts: who asks, what an account may ask over the whole fleet, and which
//! daemons hold its limit.
//!
//! A request shows a [`Credential`](super::key::Credential); the [`Directory`] of the configuration in force says
//! whose it is. What an account may ask is divided into parts ([`FleetLimit`]), each held by
//! one daemon ([`Holders`]) that grants permits from it ([`Grants`]); who is asked by a
//! caller keeps granted permits for a moment ([`Reserve`]).

mod asker;
mod directory;
mod grants;
mod holders;
mod limit;
mod reserve;
mod unknown;

pub use asker::Requester;
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
pub use reserve::Reserve;
pub use unknown::UnknownKeyAction;
pub use unknown::UnknownKeys;
