//! The byte stream of one caller: a time limit for writes, and no replies but our own.

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

use crate::caller::answer::Body;

/// Counts the requests of one connection that reached the service and their finished answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    finished: AtomicU64,
}

/// The byte stream of one caller.
///
/// While every answer has been flushed, only `hyper` itself can write: its bare reply to a
/// malformed head. That reply is held back, so that the caller gets one with an error body.
pub(super) struct Wire {
    inner: TcpStream,
    exchange: Exchange,
    /// Answers that were finished and flushed.
    flushed: u64,
    limit: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

/// An answer's body, which counts as finished when it is dropped.
pub(super) struct Tracked {
    body: Body,
    exchange: Exchange,
}

impl Exchange {
    /// Notes that a request reached the service.
    pub(super) fn start(&self) {
        self.counts.started.fetch_add(1, Ordering::AcqRel);
    }

    /// Wraps the body of the answer.
    pub(super) fn track(&self, body: Body) -> Tracked {
        Tracked {
            body,
            exchange: self.clone(),
        }
    }

    fn started(&self) -> u64 {
        self.counts.started.load(Ordering::Acquire)
    }

    fn finished(&self) -> u64 {
        self.counts.finished.load(Ordering::Acquire)
    }
}

impl Wire {
    /// Wraps an accepted connection. `limit` is the longest time without progress of a write.
    pub(super) fn new(inner: TcpStream, exchange: Exchange, limit: Duration) -> Self {
        Self {
            inner,
            exchange,
            flushed: 0,
            limit,
            stalled: None,
        }
    }

    /// Returns true if no answer is under way.
    pub(super) fn is_clean(&self) -> bool {
        self.flushed == self.exchange.started()
    }

    /// Returns the bare connection.
    pub(super) fn into_inner(self) -> TcpStream {
        self.inner
    }

    /// Passes a write's result on, or fails once the caller has taken nothing for too long.
    fn watch(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let limit = self.limit;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        if stalled.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_clean() {
            return Poll::Ready(Ok(buf.len()));
        }
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_clean() {
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `hyper` flushes the stream only when its own buffer is empty.
        let finished = self.exchange.finished();
        if finished == self.exchange.started() {
            self.flushed = finished;
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl HttpBody for Tracked {
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

impl Drop for Tracked {
    fn drop(&mut self) {
        self.exchange.counts.finished.fetch_add(1, Ordering::AcqRel);
    }
}
