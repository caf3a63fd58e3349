//! Reads and creates HTTP bodies.

use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
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
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    Collector::new(&body, limit, None).collect(body).await
}

/// Reads a whole body of at most `limit` bytes, and accounts for its memory for as long as any part
/// of it is in use.
///
/// # Errors
///
/// Returns the reason why the body could not be read completely.
pub async fn read_counted<B>(
    body: B,
    limit: usize,
    memory: &Memory,
    held_for: Purpose,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    Collector::new(&body, limit, Some((memory, held_for))).collect(body).await
}

/// Collects the chunks of a body in one buffer, whatever their number. What it takes does not depend
/// on how small they are.
struct Collector<'a> {
    /// The most bytes that the body may have.
    limit: usize,
    /// The length of the body, if it was announced.
    announced: Option<usize>,
    account: Option<(&'a Memory, Purpose)>,
    held: Option<HeldBytes>,
    /// The only chunk so far, which is not copied.
    single: Bytes,
    whole: BytesMut,
}

impl<'a> Collector<'a> {
    fn new<B: Body>(body: &B, limit: usize, account: Option<(&'a Memory, Purpose)>) -> Self {
        let announced = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
        Self { limit, announced, account, held: None, single: Bytes::new(), whole: BytesMut::new() }
    }

    async fn collect<B>(mut self, mut body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        while let Some(frame) = body.frame().await {
            let Ok(chunk) = frame.map_err(|_cut| BodyError::CutShort)?.into_data() else { continue };
            self.add(chunk).await?;
        }
        let whole = if self.whole.is_empty() { self.single } else { self.whole.freeze() };
        Ok(match self.held {
            Some(held) => held.bind(whole),
            None => whole,
        })
    }

    async fn add(&mut self, chunk: Bytes) -> Result<(), BodyError> {
        let total = self.single.len() + self.whole.len() + chunk.len();
        if total > self.limit {
            return Err(BodyError::TooLarge);
        }
        if self.single.is_empty() && self.whole.is_empty() {
            self.hold(total).await?;
            self.single = chunk;
            return Ok(());
        }
        if self.whole.capacity() < total {
            let capacity = self.next_capacity(total);
            self.hold(capacity).await?;
            self.whole.reserve(capacity - self.whole.len());
            self.whole.extend_from_slice(&std::mem::take(&mut self.single));
        }
        self.whole.extend_from_slice(&chunk);
        Ok(())
    }

    /// Returns the capacity for at least `total` bytes: twice as many, but no more than the body has.
    fn next_capacity(&self, total: usize) -> usize {
        let most = self.announced.unwrap_or(self.limit).min(self.limit);
        (total * 2).min(most).max(total)
    }

    /// Accounts for `bytes` in all, once they are enough to be counted.
    async fn hold(&mut self, bytes: usize) -> Result<(), BodyError> {
        let Some((memory, held_for)) = self.account.filter(|_| bytes >= MIN_COUNTED) else {
            return Ok(());
        };
        let fits = match &mut self.held {
            Some(held) => held.grow(bytes.saturating_sub(held.bytes())).await,
            held => {
                *held = memory.reserve(held_for, bytes).await;
                held.is_some()
            }
        };
        fits.then_some(()).ok_or(BodyError::NoRoom)
    }
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
