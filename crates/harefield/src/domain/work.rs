//! What makes two requests the same work: what is asked, and for whom, whichever
//! attempt of a caller it is, and whichever daemon it comes to.

use xxhash_rust::xxh3::Xxh3;

use super::ids::AccountId;
use super::ids::WorkId;
use super::query::ByteQuery;
use super::query::Query;

/// The header that names whom a request is for; nothing else in a head does.
const CREDENTIAL: &str = "authorization";

/// The header with the name that the caller addressed.
const HOST: &str = "host";

/// Names the work of a request twice: as it was asked, and by its path alone.
///
/// Requests that search by their query string are many pieces of work under one path.
/// Those under a path of its own are one, also where the query string differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Method, host, path, query string, credential or account, and body.
    pub exact: WorkId,
    /// The same without the query string.
    pub path: WorkId,
}

impl Work {
    /// Names the work of a request for a lookup.
    #[must_use]
    pub fn new(lookup: &str, account: Option<&AccountId>, query: &Query) -> Self {
        let account = account.map_or(&b""[..], |account| account.as_bytes());
        match query {
            Query::Json(json) => {
                let id = digest(&[lookup.as_bytes(), account, json]);
                Self { exact: id, path: id }
            }
            Query::Bytes(query) => Self::of_bytes(query, account),
        }
    }

    fn of_bytes(query: &ByteQuery, account: &[u8]) -> Self {
        let host = query.header(HOST).to_ascii_lowercase();
        let (path, search) = query.target.split_once('?').unwrap_or((&query.target, ""));
        let name = |target: &str| {
            let credential = query.header(CREDENTIAL);
            let asked = [query.method.as_bytes(), &host, target.as_bytes()];
            digest(&[&asked[..], &[credential, account, &query.body]].concat())
        };
        let path = name(path);
        let exact = if search.is_empty() { path } else { name(&query.target) };
        Self { exact, path }
    }

    /// Returns its names, each once.
    pub fn ids(&self) -> impl Iterator<Item = WorkId> + use<> {
        let path = (self.path != self.exact).then_some(self.path);
        std::iter::once(self.exact).chain(path)
    }
}

/// Digests parts, each behind its length: none can pass for the end of another.
fn digest(parts: &[&[u8]]) -> WorkId {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
