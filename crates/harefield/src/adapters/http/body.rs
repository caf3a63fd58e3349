//! Reads and creates HTTP bodies.

use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Bytes;

use crate::domain::buffers::Purpose;
use crate::memory::HeldBytes;
use crate::memory::MIN_COUNTED;
use crate::memory::Memory;

/// The reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("the body exceeds the limit")]
    TooLarge,
    /// The daemon's memory limit leaves no room for the body.
    #[error("there is no room for the body")]
    NoRoom,
    /// The connection was lost before the end of the body.
    #[error("the body was cut short")]
    CutShort,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the reason why the body could not be read completely.
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

/// Reads a whole body of at most `limit` bytes, and accounts for its memory for as long as any part
/// of it is in use.
///
/// # Errors
///
/// Returns the reason why the body could not be read completely.
pub async fn read_counted<B>(
    mut body: B,
    limit: usize,
    memory: &Memory,
    held_for: Purpose,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let (mut chunks, mut total, mut held) = (Vec::new(), 0, None);
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_cut| BodyError::CutShort)?.into_data() else { continue };
        total += chunk.len();
        if total > limit {
            return Err(BodyError::TooLarge);
        }
        held = count(memory, held_for, held, (chunk.len(), total)).await?;
        chunks.push(chunk);
    }
    let whole = join(chunks, total);
    Ok(match held {
        Some(held) => held.bind(whole),
        None => whole,
    })
}

/// Accounts for one more chunk, once the total is large enough to be counted.
async fn count(
    memory: &Memory,
    held_for: Purpose,
    held: Option<HeldBytes>,
    (chunk, total): (usize, usize),
) -> Result<Option<HeldBytes>, BodyError> {
    match held {
        None if total < MIN_COUNTED => Ok(None),
        None => memory.reserve(held_for, total).await.map(Some).ok_or(BodyError::NoRoom),
        Some(mut held) => {
            let fits = held.grow(chunk).await;
            if fits { Ok(Some(held)) } else { Err(BodyError::NoRoom) }
        }
    }
}

fn join(mut chunks: Vec<Bytes>, total: usize) -> Bytes {
    if chunks.len() == 1 {
        return chunks.remove(0);
    }
    let mut whole = BytesMut::with_capacity(total);
    for chunk in &chunks {
        whole.extend_from_slice(chunk);
    }
    whole.freeze()
}

/// Accounts for the body of a reply that was created here, until it has been written.
pub async fn counted(reply: Response<Full<Bytes>>, memory: &Memory) -> Response<Full<Bytes>> {
    let size = reply.body().size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let Some(size) = size.filter(|size| *size >= MIN_COUNTED) else { return reply };
    let (head, body) = reply.into_parts();
    let counted = memory.hold(Purpose::Messages, size);
    let Ok(whole) = body.collect().await;
    Response::from_parts(head, bytes(counted.bind(whole.to_bytes())))
}

/// Creates a body from bytes.
pub fn bytes(bytes: impl Into<Bytes>) -> Full<Bytes> {
    Full::new(bytes.into())
}
