//! Replies of upstreams: JSON on the native interface, opaque bytes on others.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_json::value::RawValue;

/// A header as received; its name is in lower case.
pub type Header = (Arc<str>, Bytes);

/// Returns whether an HTTP status ends a reply: it is of a class that HTTP defines, and not that of
/// interim replies.
#[must_use]
pub const fn is_final(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// A reply of opaque bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpaqueReply {
    /// The HTTP status. A message with one that doesn't end a reply is invalid.
    #[serde(deserialize_with = "final_status")]
    pub status: u16,
    /// The headers that are passed on to the caller.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// The upstream's signature over this reply. `None` if it sent none.
    pub signature: Option<Arc<str>>,
}

fn final_status<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
    let status = u16::deserialize(deserializer)?;
    let error = || serde::de::Error::custom(format!("{status} is not the status of a reply"));
    is_final(status).then_some(status).ok_or_else(error)
}

/// What an upstream replied.
#[derive(Clone, Debug)]
pub enum Reply {
    /// JSON, as sent.
    Json(Box<RawValue>),
    /// Opaque bytes.
    Opaque(Arc<OpaqueReply>),
}

impl Reply {
    /// Returns the opaque reply; `None` if the reply is JSON.
    #[must_use]
    pub fn opaque(&self) -> Option<&Arc<OpaqueReply>> {
        match self {
            Self::Opaque(reply) => Some(reply),
            Self::Json(_) => None,
        }
    }

    /// Returns the JSON text; empty if the reply is opaque.
    #[must_use]
    pub fn get(&self) -> &str {
        match self {
            Self::Json(json) => json.get(),
            Self::Opaque(_) => "",
        }
    }
}

/// In a JSON answer, an opaque reply is represented by its length only.
impl Serialize for Reply {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Json(json) => json.serialize(serializer),
            Self::Opaque(reply) => reply.body.len().serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Reply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Box::<RawValue>::deserialize(deserializer).map(Self::Json)
    }
}
