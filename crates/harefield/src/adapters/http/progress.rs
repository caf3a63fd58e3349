//! Ends transfers that stall, rather than those that take long because they are large.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Bytes;

use super::body::BodyError;

/// The bytes that a transfer makes in each interval unless it stalls or is at its end.
const MIN_BYTES: usize = 16 * 1024;

/// The bytes of a body that have arrived.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    received: Rc<Cell<usize>>,
}

impl Progress {
    /// Returns the body, which records what arrives of it.
    pub fn observe<B>(&self, body: B) -> impl Body<Data = Bytes, Error = B::Error> + Unpin + use<B>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let received = Rc::clone(&self.received);
        body.map_frame(move |frame| {
            received.set(received.get() + frame.data_ref().map_or(0, Bytes::len));
            frame
        })
    }

    /// Waits until the transfer makes no progress for `limit`.
    ///
    /// # Errors
    ///
    /// Always returns `CutShort`.
    pub async fn stalled<T>(&self, limit: Duration) -> Result<T, BodyError> {
        let mut before = 0;
        loop {
            Timer::after(limit).await;
            let received = self.received.get();
            if received - before < MIN_BYTES {
                return Err(BodyError::CutShort);
            }
            before = received;
        }
    }
}
