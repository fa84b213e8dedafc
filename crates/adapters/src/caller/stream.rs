//! Byte stream of one caller with a write timeout and without `hyper`'s own error responses.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::caller::response::Body;

/// Counts the requests of one connection that reached the service, and their finished responses.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseTracker {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    finished: AtomicU64,
}

/// Byte stream of one caller.
///
/// Discards writes while no response is in progress. They can only be `hyper`'s own response to a
/// malformed head, in place of which the caller gets one with an error body.
pub(super) struct CallerStream {
    inner: TcpStream,
    tracker: ResponseTracker,
    /// Number of responses that were finished and flushed.
    flushed: u64,
    /// Maximum time without progress of a write.
    write_timeout: Duration,
    /// Runs while a write makes no progress.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

/// Response body that counts as finished when dropped.
pub(super) struct TrackedBody {
    body: Body,
    tracker: ResponseTracker,
}

impl ResponseTracker {
    /// Counts a request that reached the service.
    pub(super) fn start(&self) {
        self.counts.started.fetch_add(1, Ordering::AcqRel);
    }

    /// Wraps the body of a response, to count its end.
    pub(super) fn track(&self, body: Body) -> TrackedBody {
        TrackedBody {
            body,
            tracker: self.clone(),
        }
    }

    fn started(&self) -> u64 {
        self.counts.started.load(Ordering::Acquire)
    }

    fn finished(&self) -> u64 {
        self.counts.finished.load(Ordering::Acquire)
    }
}

impl CallerStream {
    /// Wraps an accepted connection. A write fails after `write_timeout` without progress.
    pub(super) fn new(inner: TcpStream, tracker: ResponseTracker, write_timeout: Duration) -> Self {
        Self {
            inner,
            tracker,
            flushed: 0,
            write_timeout,
            stall_timer: None,
        }
    }

    /// Returns `true` if no response is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.flushed == self.tracker.started()
    }

    /// Returns the wrapped connection.
    pub(super) fn into_inner(self) -> TcpStream {
        self.inner
    }

    /// Returns the result of a write, or `TimedOut` if writes have made no progress for too long.
    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let write_timeout = self.write_timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(write_timeout)));
        if stall_timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_idle() {
            return Poll::Ready(Ok(buf.len()));
        }
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_idle() {
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `hyper` flushes the stream only after its own buffer is empty.
        let finished = self.tracker.finished();
        if finished == self.tracker.started() {
            self.flushed = finished;
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.tracker.counts.finished.fetch_add(1, Ordering::AcqRel);
    }
}
