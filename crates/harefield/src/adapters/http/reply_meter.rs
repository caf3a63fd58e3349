//! Limits what a peer may send in reply to one request besides the body that is read, and reports
//! replies that have no end.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use log::warn;

use crate::adapters::log_limit::LogLimit;

/// The maximum size of a connection's read buffer, and of a reply's head, in bytes.
pub(super) const READ_BUFFER: usize = 32 << 10;

/// How many bytes may arrive for one reply that are not of its body: interim replies, the head,
/// chunk sizes and trailers, and what is buffered ahead of the reader.
const MAX_OVERHEAD: usize = 4 * READ_BUFFER;

/// A body may have one byte of overhead for each this many of its bytes besides, for chunk sizes.
const BODY_DIVISOR: usize = 2;

/// Incomplete replies of fewer bytes are not reported.
const MIN_REPORTED: usize = 16 << 10;

/// The shortest interval between two reports of a thread.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

thread_local! {
    /// Limits this thread's reports of incomplete replies.
    static REPORTS: RefCell<LogLimit> = const { RefCell::new(LogLimit::new(1, REPORT_INTERVAL)) };
}

/// Counts what arrives on a connection for the reply in progress.
#[derive(Debug)]
pub(super) struct ReplyMeter {
    address: SocketAddr,
    received: Cell<usize>,
    /// The bytes of the body that were read.
    delivered: Cell<usize>,
    /// When the request was sent; none while no reply is in progress.
    since: Cell<Option<Instant>>,
}

impl ReplyMeter {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, received: Cell::new(0), delivered: Cell::new(0), since: Cell::new(None) }
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins to count for another request.
    pub fn begin(&self) {
        self.received.set(0);
        self.delivered.set(0);
        self.since.set(Some(Instant::now()));
    }

    /// Records that bytes have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if more has arrived than a reply may have besides its body.
    pub fn record(&self, bytes: usize) -> std::io::Result<()> {
        let received = self.received.get() + bytes;
        self.received.set(received);
        let delivered = self.delivered.get();
        if received > MAX_OVERHEAD + delivered + delivered / BODY_DIVISOR {
            return Err(Error::new(ErrorKind::InvalidData, "the reply has too much besides its body"));
        }
        Ok(())
    }

    /// Records that the reply is complete.
    fn end(&self) {
        self.since.set(None);
    }

    /// Reports a reply whose connection is given up before its end, if much of it had arrived.
    pub fn report_incomplete(&self) {
        let (Some(since), bytes) = (self.since.take(), self.received.get()) else { return };
        if bytes < MIN_REPORTED {
            return;
        }
        let admitted = REPORTS.with_borrow_mut(|reports| reports.admit(Instant::now()));
        let Some(left_out) = admitted else { return };
        let (address, took) = (self.address, since.elapsed().as_millis());
        warn!(
            "closing a connection to {address}: {bytes} bytes in {took} ms are no complete reply; \
             {left_out} more such connections since the last report"
        );
    }
}

/// A stream that limits what arrives for each reply.
#[derive(Debug)]
pub(super) struct MeteredStream<S> {
    stream: S,
    meter: Rc<ReplyMeter>,
}

impl<S> MeteredStream<S> {
    pub fn new(stream: S, meter: Rc<ReplyMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.meter.record(bytes).map(|()| bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// The body of a reply, which counts what is read of it.
#[derive(Debug)]
pub struct ReplyBody {
    incoming: Incoming,
    meter: Rc<ReplyMeter>,
}

impl ReplyBody {
    pub(super) fn new(incoming: Incoming, meter: Rc<ReplyMeter>) -> Self {
        let body = Self { incoming, meter };
        body.check_end();
        body
    }

    fn check_end(&self) {
        if self.incoming.is_end_stream() {
            self.meter.end();
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.meter.delivered.set(self.meter.delivered.get() + bytes);
                self.check_end();
            }
            Poll::Ready(None) => self.meter.end(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
