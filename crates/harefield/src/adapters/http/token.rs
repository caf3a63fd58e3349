//! Tokens shown by peers and operators.

use hyper::HeaderMap;
use subtle::ConstantTimeEq;

/// Says whether a request shows the token that is asked for, if any.
///
/// The comparison takes the same time whatever is shown.
#[must_use]
pub fn shows_token(headers: &HeaderMap, token: Option<&str>) -> bool {
    let Some(token) = token else { return true };
    let shown = headers.get("authorization").and_then(|value| value.to_str().ok());
    let shown = shown.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
    shown.as_bytes().ct_eq(token.as_bytes()).into()
}
