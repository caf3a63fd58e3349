//! Validation errors of resources.

use serde::Deserialize;
use serde::Serialize;

use crate::domain::code::Code;
use crate::domain::ids::Key;

/// The largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One validation error of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceError {
    /// The key of the resource, as in `services/NAME`.
    pub key: Key,
    /// The result code of the error.
    pub code: Code,
    /// A description with the names involved.
    pub detail: String,
}
