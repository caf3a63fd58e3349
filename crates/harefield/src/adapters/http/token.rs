//! Reads the tokens that peers and operators send, and the keys that callers send.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use crate::domain::key::Credential;

/// The authentication scheme that precedes a key; case is ignored.
const BEARER_SCHEME: &str = "bearer ";

/// Returns whether a request contains the required token, or whether none is required.
///
/// The comparison takes constant time, whatever the request contains.
#[must_use]
pub fn has_token(headers: &HeaderMap, token: Option<&str>) -> bool {
    let Some(token) = token else { return true };
    let shown = headers.get("authorization").and_then(|value| value.to_str().ok());
    let shown = shown.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
    shown.as_bytes().ct_eq(token.as_bytes()).into()
}

/// Reads the key that a request contains. More than one `authorization` header is malformed.
#[must_use]
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut shown = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (shown.next(), shown.next()) else {
        return if headers.contains_key(AUTHORIZATION) { Credential::Malformed } else { Credential::Missing };
    };
    let bytes = value.as_bytes();
    match bytes.split_at_checked(BEARER_SCHEME.len()) {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(BEARER_SCHEME.as_bytes()) => {
            Credential::from_key(key.trim_ascii())
        }
        _ => Credential::Malformed,
    }
}
