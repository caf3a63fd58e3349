//! What an upstream replied: JSON on the own interface, opaque bytes on others.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_json::value::RawValue;

/// A header as it stood on the wire; names in lower case.
pub type Header = (Arc<str>, Bytes);

/// A reply of opaque bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByteReply {
    /// The HTTP status.
    pub status: u16,
    /// The headers that belong to the caller.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// The upstream's signature over this reply; none where it gave none.
    pub signature: Option<Arc<str>>,
}

/// What an upstream replied.
#[derive(Clone, Debug)]
pub enum Reply {
    /// JSON, as sent.
    Json(Box<RawValue>),
    /// Opaque bytes.
    Bytes(Arc<ByteReply>),
}

impl Reply {
    /// Returns the reply of opaque bytes; none where it is JSON.
    #[must_use]
    pub fn bytes(&self) -> Option<&Arc<ByteReply>> {
        match self {
            Self::Bytes(reply) => Some(reply),
            Self::Json(_) => None,
        }
    }

    /// Returns the JSON text; empty where the reply is opaque bytes.
    #[must_use]
    pub fn get(&self) -> &str {
        match self {
            Self::Json(json) => json.get(),
            Self::Bytes(_) => "",
        }
    }
}

/// An answer in JSON names how long an opaque reply is, and does not hold it.
impl Serialize for Reply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Json(json) => json.serialize(serializer),
            Self::Bytes(reply) => reply.body.len().serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Reply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Box::<RawValue>::deserialize(deserializer).map(Self::Json)
    }
}
