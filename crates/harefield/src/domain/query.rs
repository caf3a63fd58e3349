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
    #[serde(default, skip_serializing_if = "Claims::is_empty")]
    pub claims: Claims,
}

/// The headers that say who asks, a key among them: never shown.
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

impl ByteQuery {
    /// Returns the value of a header; empty where there is none.
    #[must_use]
    pub fn header(&self, name: &str) -> &[u8] {
        let found = self.headers.iter().chain(&self.claims.0).find(|(held, _)| &**held == name);
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
                Self::Bytes(Arc::new(ByteQuery { claims: Claims::default(), ..(**query).clone() }))
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
