//! Header names of the users' platform, and which headers are handed on.

use std::sync::Arc;

use hyper::body::Bytes;
use hyper::header::HeaderMap;

use crate::domain::query::Claims;
use crate::domain::reply::Header;

/// Names one attempt of a client; the product's caller's id.
pub(super) const CALLER_ID: &str = "attempt-id";

/// How long the client waits, in milliseconds.
pub(super) const TIME_LEFT: &str = "deadline-remaining";

/// The upstream that alone may run the request.
pub(super) const EXPECTED_UPSTREAM: &str = "expect-instance";

/// The upstream's signature over its reply.
pub(super) const SIGNATURE: &str = "server-seal";

/// Present where an upstream did not run a request and never will.
pub(super) const NOT_RUN: &str = "not-executed";

/// An upstream's load: requests running, requests waiting, slots, and from some how long
/// work takes at this moment, in percent of the usual time.
pub(super) const LOAD: &str = "server-load";

/// The signatures of the shards' replies that an answer was merged from.
pub(super) const SIGNATURES: &str = "part-seals";

/// How often the store came back from a copy.
pub(super) const ERA: &str = "store-era";

/// How many shards an answer lacks.
pub(super) const MISSING: &str = "missing-parts";

/// The key of a client account.
pub(super) const KEY: &str = "authorization";

/// The name of the client account that a request is of.
pub(super) const ACCOUNT: &str = "tenant";

/// Headers that say who asks.
const CLAIMS: [&str; 2] = [KEY, ACCOUNT];

/// Headers that belong to one connection or that are set anew on each.
const HOP_BY_HOP: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    TIME_LEFT,
    EXPECTED_UPSTREAM,
];

/// Returns the text of a header.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers that are handed on: all but those of the connection.
pub(super) fn forwardable(headers: &HeaderMap) -> Vec<Header> {
    let named = text(headers, "connection").unwrap_or("");
    let named: Vec<String> = named.split(',').map(|name| name.trim().to_ascii_lowercase()).collect();
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !HOP_BY_HOP.contains(&name) && !named.iter().any(|other| other == name)
    });
    kept.map(|(name, value)| (Arc::from(name.as_str()), Bytes::copy_from_slice(value.as_bytes()))).collect()
}

/// Takes those headers out that say who asks.
pub(super) fn extract_claims(headers: &mut Vec<Header>) -> Claims {
    Claims(headers.extract_if(.., |(name, _)| CLAIMS.contains(&&**name)).collect())
}

/// Adds headers that were handed on to a message.
pub(super) fn append_all(to: &mut HeaderMap, headers: &[Header]) {
    for (name, value) in headers {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

/// Sets one header.
pub(super) fn set(to: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        to.insert(name, value);
    }
}
