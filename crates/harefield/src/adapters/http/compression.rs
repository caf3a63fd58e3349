//! Compresses large replies between daemons.
//!
//! The client names the coding that it accepts, so that daemons of earlier versions get and send
//! replies as they are.

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::ACCEPT_ENCODING;
use hyper::header::CONTENT_ENCODING;
use hyper::header::HeaderValue;
use lz4_flex::block;

use super::body::BodyError;
use super::body::bytes;

/// The name of the coding: an LZ4 block after its original size.
pub const LZ4: HeaderValue = HeaderValue::from_static("lz4");

/// Smaller replies fit into a few packets as they are.
const MIN_BYTES: usize = 4096;

/// Returns whether the sender of a request accepts compressed replies.
#[must_use]
pub fn accepts_lz4(headers: &HeaderMap) -> bool {
    headers.get(ACCEPT_ENCODING) == Some(&LZ4)
}

/// Compresses a reply if it is large.
pub async fn compress(reply: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let (mut head, body) = reply.into_parts();
    let Ok(whole) = body.collect().await;
    let whole = whole.to_bytes();
    if whole.len() < MIN_BYTES {
        return Response::from_parts(head, bytes(whole));
    }
    head.headers.insert(CONTENT_ENCODING, LZ4);
    Response::from_parts(head, bytes(block::compress_prepend_size(&whole)))
}

/// Returns the original body of a reply, of at most `limit` bytes.
///
/// # Errors
///
/// Returns `TooLarge` if the original body exceeds the limit, and `CutShort` if the bytes are not
/// valid.
pub fn decompress(headers: &HeaderMap, body: Bytes, limit: usize) -> Result<Bytes, BodyError> {
    if headers.get(CONTENT_ENCODING) != Some(&LZ4) {
        return Ok(body);
    }
    let (size, _block) = block::uncompressed_size(&body).map_err(|_short| BodyError::CutShort)?;
    if size > limit {
        return Err(BodyError::TooLarge);
    }
    block::decompress_size_prepended(&body).map(Bytes::from).map_err(|_invalid| BodyError::CutShort)
}
