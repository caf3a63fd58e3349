//! What may be wrong with a resource.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::code::Code;
use crate::domain::ids::Key;

/// The largest value that the platform holds.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One thing wrong with one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceError {
    /// The resource's key.
    pub key: Key,
    /// The code of the fault.
    pub code: Code,
    /// What is wrong, with the names involved.
    pub detail: String,
}
