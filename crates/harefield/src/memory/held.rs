//! A part of the account that is given back when dropped.

use bytes::Bytes;

use super::Memory;
use crate::domain::buffers::Use;

/// Bytes that are held, until dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Memory,
    purpose: Use,
    bytes: usize,
}

/// Bytes with the part of the account that they take.
struct Counted {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    pub(super) fn new(memory: Memory, purpose: Use, bytes: usize) -> Self {
        Self { memory, purpose, bytes }
    }

    /// Takes more in where it fits, ending connections whose peers do not read where that
    /// makes room; returns whether it does.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.memory.reserve(self.purpose, bytes).await else { return false };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Binds it to some bytes: it is given back when the last part of them is dropped.
    #[must_use]
    pub fn bind(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() { bytes } else { Bytes::from_owner(Counted { bytes, _held: self }) }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.lock().buffers.release(self.purpose, self.bytes);
        }
    }
}
