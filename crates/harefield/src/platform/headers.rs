//! Header names of the users' platform, and the rules for which headers are forwarded.

use std::sync::Arc;

use hyper::body::Bytes;
use hyper::header::HeaderMap;

use crate::domain::query::Claims;
use crate::domain::reply::Header;

/// Identifies one attempt of a client; used as the request's caller id.
pub(super) const CALLER_ID: &str = "attempt-id";

/// How long the client still waits, in milliseconds.
pub(super) const TIME_LEFT: &str = "deadline-remaining";

/// The only upstream that may run the request.
pub(super) const EXPECTED_UPSTREAM: &str = "expect-instance";

/// The upstream's signature of its reply.
pub(super) const SIGNATURE: &str = "server-seal";

/// Present if an upstream didn't run a request and never will.
pub(super) const NOT_RUN: &str = "not-executed";

/// An upstream's load: running requests, waiting requests and slots. Some upstreams add a fourth
/// number: how long work takes at the moment, in percent of the usual time.
pub(super) const LOAD: &str = "server-load";

/// The signatures of the shard replies that were merged into an answer.
pub(super) const SIGNATURES: &str = "part-seals";

/// How many times the store has been restored from a copy.
pub(super) const ERA: &str = "store-era";

/// The number of shards that are missing from an answer.
pub(super) const MISSING: &str = "missing-parts";

/// The key of a client account.
pub(super) const KEY: &str = "authorization";

/// The name of the client account that a request belongs to.
pub(super) const ACCOUNT: &str = "tenant";

/// Headers that identify the requester.
const CLAIMS: [&str; 2] = [KEY, ACCOUNT];

/// Headers that apply to a single connection or are set anew for each request.
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

/// Returns a header's value, or `None` if it is absent or isn't visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers to forward: all except the hop-by-hop headers, including those listed in
/// `connection`.
pub(super) fn forwardable(headers: &HeaderMap) -> Vec<Header> {
    let named = text(headers, "connection").unwrap_or("");
    let named: Vec<String> = named.split(',').map(|name| name.trim().to_ascii_lowercase()).collect();
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !HOP_BY_HOP.contains(&name) && !named.iter().any(|other| other == name)
    });
    kept.map(|(name, value)| (Arc::from(name.as_str()), Bytes::copy_from_slice(value.as_bytes()))).collect()
}

/// Removes and returns the headers that identify the requester.
pub(super) fn extract_claims(headers: &mut Vec<Header>) -> Claims {
    Claims(headers.extract_if(.., |(name, _)| CLAIMS.contains(&&**name)).collect())
}

/// Appends forwarded headers to a message; invalid ones are skipped.
pub(super) fn append_all(to: &mut HeaderMap, headers: &[Header]) {
    for (name, value) in headers {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

/// Sets one header; an invalid value is ignored.
pub(super) fn set(to: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        to.insert(name, value);
    }
}
