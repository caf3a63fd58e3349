//! A connection's stream that is closed if its peer stops reading for too long, or if its memory is
//! needed.

use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use log::info;
use smol_hyper::rt::FuturesIo;

use crate::memory::Writer;

/// A peer that accepts fewer bytes than this within the stall limit counts as stalled: the kernel
/// accepts a few bytes from time to time even if the peer never reads.
const MIN_PROGRESS: usize = 16 << 10;

/// A stream whose writes must make progress.
///
/// It supports vectored writes. Without them hyper copies bodies behind their heads into a buffer
/// that the connection then keeps at the size of its largest message.
#[derive(Debug)]
pub struct StallGuardedStream<S> {
    stream: FuturesIo<S>,
    /// How long the peer may accept almost nothing.
    stall: Duration,
    /// Runs while the peer accepts almost nothing.
    timer: Option<Timer>,
    /// The bytes that were accepted since the last reset.
    written_bytes: usize,
    writer: Option<Rc<Writer>>,
}

impl<S> StallGuardedStream<S> {
    /// Wraps a stream that is closed if its peer accepts nothing for `stall`.
    #[must_use]
    pub fn new(stream: S, stall: Duration) -> Self {
        Self { stream: FuturesIo::new(stream), stall, timer: None, written_bytes: 0, writer: None }
    }

    /// Also allows memory accounting to close the stream.
    #[must_use]
    pub fn with_writer(self, writer: Rc<Writer>) -> Self {
        Self { writer: Some(writer), ..self }
    }

    fn check_evicted(&self, context: &Context<'_>) -> Result<()> {
        if self.writer.as_ref().is_some_and(|writer| writer.is_ended(context.waker())) {
            info!("closing a connection whose peer does not read, to free memory");
            return Err(Error::new(ErrorKind::ConnectionAborted, "closed to free memory"));
        }
        Ok(())
    }

    /// Records the result of a write, and fails if too little has been accepted for too long.
    fn check_progress(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if let (Poll::Ready(Ok(bytes)), Some(writer)) = (&written, &self.writer) {
            writer.progress(*bytes);
        }
        if let Poll::Ready(Ok(bytes)) = written {
            self.written_bytes += bytes;
        }
        if self.written_bytes >= MIN_PROGRESS || matches!(written, Poll::Ready(Err(_))) {
            self.reset();
            return written;
        }
        let stall = self.stall;
        let timer = match (&mut self.timer, &written) {
            (Some(timer), _) => timer,
            (none, Poll::Pending) => none.insert(Timer::after(stall)),
            (None, Poll::Ready(_)) => return written,
        };
        if Pin::new(timer).poll(context).is_pending() {
            return written;
        }
        if let Some(writer) = &self.writer {
            writer.record_stalled();
        }
        info!("closing a connection whose peer accepted only {} bytes in {stall:?}", self.written_bytes);
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the peer stopped reading")))
    }

    /// Resets the progress count and the timer, as everything or enough has been written.
    fn reset(&mut self) {
        self.timer = None;
        self.written_bytes = 0;
    }
}

impl<S: AsyncRead + Unpin> Read for StallGuardedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: ReadBufCursor<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> Write for StallGuardedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.check_evicted(cx)?;
        let written = Pin::new(self.stream.get_mut()).poll_write(cx, buf);
        self.check_progress(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check_evicted(cx)?;
        let written = Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs);
        self.check_progress(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.reset();
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(self.stream.get_mut()).poll_close(cx)
    }
}
