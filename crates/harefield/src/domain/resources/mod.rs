//! The resources that the platform publishes: their schema, parsing and validation.
//!
//! `docs/RESOURCES.md` documents the same schema for operators.

mod check;
mod error;
mod kinds;
mod parse;
mod set;

pub use error::MAX_VALUE_BYTES;
pub use error::ResourceError;
pub use kinds::Account;
pub use kinds::Bounds;
pub use kinds::Catalog;
pub use kinds::ColdLimit;
pub use kinds::Entry;
pub use kinds::Evacuation;
pub use kinds::Index;
pub use kinds::Lookup;
pub use kinds::Preference;
pub use kinds::Service;
pub use kinds::Snapshot;
pub use kinds::Split;
pub use kinds::Upstream;
pub use kinds::Urgency;
pub use set::ResourceSet;
pub use set::Resources;
pub use set::changed_names;
