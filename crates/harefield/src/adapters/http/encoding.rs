//! Percent-encoding of values in paths and queries.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::PercentEncode;
use percent_encoding::utf8_percent_encode;

/// All characters but those that have no meaning of their own in a path or a query.
const ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/').remove(b':');

/// Encodes a value, which may be any text, for a path or a query.
#[must_use]
pub fn encode(value: &str) -> PercentEncode<'_> {
    utf8_percent_encode(value, ENCODED)
}
