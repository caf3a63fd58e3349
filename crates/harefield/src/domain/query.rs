//! Requests of callers: JSON on the native interface, opaque requests on others.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::reply::Header;

/// A request whose method, path and body have a meaning only for the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpaqueQuery {
    /// The caller's own id of this request, forwarded unchanged.
    pub id: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query string.
    pub target: Arc<str>,
    /// The headers that are sent to the upstreams.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// The headers that identify the sender, unchanged. They are sent to upstreams only if no
    /// client accounts are in force.
    #[serde(default, skip_serializing_if = "Claims::is_empty")]
    pub claims: Claims,
}

/// Headers that identify the sender, keys among them. They are never printed.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Claims(pub Vec<Header>);

impl Claims {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl std::fmt::Debug for Claims {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Claims(..)")
    }
}

impl OpaqueQuery {
    /// Returns the value of a header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &[u8] {
        let found = self.headers.iter().chain(&self.claims.0).find(|(held, _)| &**held == name);
        found.map_or(&[], |(_, value)| value)
    }
}

/// The query of a request.
#[derive(Clone, Debug)]
pub enum Query {
    /// JSON, as sent. A once-only request needs a ticket.
    Json(Arc<[u8]>),
    /// An opaque request, identified by the caller's own id.
    Opaque(Arc<OpaqueQuery>),
}

impl Query {
    /// Returns the query without the headers that identify the sender.
    #[must_use]
    pub fn without_claims(&self) -> Self {
        match self {
            Self::Opaque(query) if !query.claims.is_empty() => {
                Self::Opaque(Arc::new(OpaqueQuery { claims: Claims::default(), ..(**query).clone() }))
            }
            other => other.clone(),
        }
    }

    /// Returns the JSON text; empty for an opaque request.
    #[must_use]
    pub fn json(&self) -> &[u8] {
        match self {
            Self::Json(json) => json,
            Self::Opaque(_) => &[],
        }
    }
}
