//! The keys of client accounts. Only their digests are held, and neither is ever printed.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;

/// The longest key in bytes. A longer one is not looked up.
pub const MAX_KEY_BYTES: usize = 256;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a key, by which its account is found.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the digest in hexadecimal digits, the form used in resources.
    #[must_use]
    pub fn hex(&self) -> String {
        self.0.iter().flat_map(|byte| [byte >> 4, byte & 15]).map(digit).collect()
    }

    fn parse(text: &str) -> Option<Self> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let [high, low] = [pair[0], pair[1]].map(|digit| char::from(digit).to_digit(16));
            *byte = u8::try_from(high? * 16 + low?).ok()?;
        }
        Some(Self(bytes))
    }
}

fn digit(nibble: u8) -> char {
    char::from_digit(u32::from(nibble), 16).unwrap_or('0')
}

/// Hides the digest, because a short key could be found from it by search.
impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.hex())
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    /// The error does not repeat the text, which may be a key by mistake.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let invalid = || serde::de::Error::custom("expected a SHA-256 digest in hexadecimal digits");
        let text = String::deserialize(deserializer).map_err(|_error| invalid())?;
        Self::parse(&text).ok_or_else(invalid)
    }
}

/// What a request presents to identify its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is not a key, or more than one key.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

impl Credential {
    /// Creates a credential from a key as it was sent.
    #[must_use]
    pub fn from_key(key: &[u8]) -> Self {
        match key.len() {
            0 => Self::Missing,
            1..=MAX_KEY_BYTES => Self::Key(KeyDigest::of(key)),
            _ => Self::Malformed,
        }
    }
}
