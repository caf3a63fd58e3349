//! Tokens shown by peers and operators, and keys shown by callers.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use crate::domain::key::Credential;

/// What a key follows, in any case.
const BEARER_SCHEME: &str = "bearer ";

/// Says whether a request shows the token that is asked for, if any.
///
/// The comparison takes the same time whatever is shown.
#[must_use]
pub fn has_token(headers: &HeaderMap, token: Option<&str>) -> bool {
    let Some(token) = token else { return true };
    let shown = headers.get("authorization").and_then(|value| value.to_str().ok());
    let shown = shown.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
    shown.as_bytes().ct_eq(token.as_bytes()).into()
}

/// Reads the key that a request shows.
#[must_use]
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut shown = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (shown.next(), shown.next()) else {
        return if headers.contains_key(AUTHORIZATION) { Credential::Malformed } else { Credential::Missing };
    };
    let bytes = value.as_bytes();
    match bytes.split_at_checked(BEARER_SCHEME.len()) {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(BEARER_SCHEME.as_bytes()) => {
            Credential::of_key(key.trim_ascii())
        }
        _ => Credential::Malformed,
    }
}
