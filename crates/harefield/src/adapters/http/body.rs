//! Reading and making bodies.

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Bytes;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the limit.
    #[error("the body exceeds the limit")]
    TooLarge,
    /// The connection was lost before its end.
    #[error("the body was cut short")]
    CutShort,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns why the body could not be read whole.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_cut) => Err(BodyError::CutShort),
    }
}

/// Makes a body of bytes.
pub fn bytes(bytes: impl Into<Bytes>) -> Full<Bytes> {
    Full::new(bytes.into())
}
