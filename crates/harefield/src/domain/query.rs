//! What a caller asks: JSON on the own interface, an opaque request on others.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::reply::Header;

/// A request whose method, path and body mean something to the upstreams only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByteQuery {
    /// The caller's own id of this request, handed on as it came.
    pub id: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query string.
    pub target: Arc<str>,
    /// The headers that belong to the upstreams.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// The headers that say who asks, as the caller sent them: they go on only where no
    /// client accounts are in force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<Header>,
}

impl ByteQuery {
    /// Returns the value of a header; empty where there is none.
    #[must_use]
    pub fn header(&self, name: &str) -> &[u8] {
        let found = self.headers.iter().chain(&self.claims).find(|(held, _)| &**held == name);
        found.map_or(&[], |(_, value)| value)
    }
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum Query {
    /// JSON, as sent; a once-only one needs a ticket.
    Json(Arc<[u8]>),
    /// An opaque request, which is known by its caller's own id.
    Bytes(Arc<ByteQuery>),
}

impl Query {
    /// Returns the query without what the caller said of who asks.
    #[must_use]
    pub fn without_claims(&self) -> Self {
        match self {
            Self::Bytes(query) if !query.claims.is_empty() => {
                Self::Bytes(Arc::new(ByteQuery { claims: Vec::new(), ..(**query).clone() }))
            }
            other => other.clone(),
        }
    }

    /// Returns the JSON text; empty where the query is an opaque request.
    #[must_use]
    pub fn json(&self) -> &[u8] {
        match self {
            Self::Json(json) => json,
            Self::Bytes(_) => &[],
        }
    }
}
