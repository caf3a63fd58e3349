//! The identity of work: two requests are the same work if they are equal and made for the same
//! client, whichever attempt of a caller it is and whichever daemon receives it.

use xxhash_rust::xxh3::Xxh3;

use super::ids::AccountId;
use super::ids::WorkId;
use super::query::OpaqueQuery;
use super::query::Query;

/// The header that identifies the client a request is for. No other header does.
const CREDENTIAL: &str = "authorization";

/// The header with the host name that the caller addressed.
const HOST: &str = "host";

/// Identifies the work of a request twice: exactly, and by its path alone.
///
/// Requests that search by query string are many pieces of work under one path. Requests for a path
/// of their own are one piece of work even if the query string differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Method, host, path, query string, credential or account, and body.
    pub exact: WorkId,
    /// The same without the query string.
    pub path: WorkId,
}

impl Work {
    /// Computes the ids for a request to a lookup.
    #[must_use]
    pub fn new(lookup: &str, account: Option<&AccountId>, query: &Query) -> Self {
        let account = account.map_or(&b""[..], |account| account.as_bytes());
        match query {
            Query::Json(json) => {
                let id = digest(&[lookup.as_bytes(), account, json]);
                Self { exact: id, path: id }
            }
            Query::Opaque(query) => Self::of_opaque(query, account),
        }
    }

    fn of_opaque(query: &OpaqueQuery, account: &[u8]) -> Self {
        let host = query.header(HOST).to_ascii_lowercase();
        let (path, search) = query.target.split_once('?').unwrap_or((&query.target, ""));
        let name = |target: &str| {
            let credential = query.header(CREDENTIAL);
            let parts = [query.method.as_bytes(), &host, target.as_bytes()];
            digest(&[&parts[..], &[credential, account, &query.body]].concat())
        };
        let path = name(path);
        let exact = if search.is_empty() { path } else { name(&query.target) };
        Self { exact, path }
    }

    /// Returns the distinct ids.
    pub fn ids(&self) -> impl Iterator<Item = WorkId> + use<> {
        let path = (self.path != self.exact).then_some(self.path);
        std::iter::once(self.exact).chain(path)
    }
}

/// Hashes parts, each preceded by its length, so that no part can be mistaken for the end of
/// another.
fn digest(parts: &[&[u8]]) -> WorkId {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
