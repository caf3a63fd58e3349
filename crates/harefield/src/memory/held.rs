//! A reservation of the memory budget that is released when dropped.

use bytes::Bytes;

use super::Memory;
use crate::domain::buffers::Purpose;

/// A number of bytes that are counted as held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Memory,
    purpose: Purpose,
    bytes: usize,
}

/// Bytes together with their reservation.
struct CountedBytes {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    pub(super) fn new(memory: Memory, purpose: Purpose, bytes: usize) -> Self {
        Self { memory, purpose, bytes }
    }

    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes, as [`Memory::reserve`] does; returns whether they fit.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.memory.reserve(self.purpose, bytes).await else { return false };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Attaches the reservation to some bytes: it is released when the last slice of them is dropped.
    #[must_use]
    pub fn bind(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() { bytes } else { Bytes::from_owner(CountedBytes { bytes, _held: self }) }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.lock().buffers.release(self.purpose, self.bytes);
        }
    }
}
