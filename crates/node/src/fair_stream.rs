//! A stream whose reads give way to other tasks, so that a peer that sends at full speed holds none of them up.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Reads one after the other before other tasks take their turn.
const MAX_READS_IN_TURN: u32 = 2;

/// Most bytes before the end of a response head, with all interim responses and empty lines before it.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bounds what a server sends before its response: interim responses have no end of their own.
#[derive(Debug)]
pub struct HeadLimit(AtomicUsize);

impl HeadLimit {
    /// Creates the limit of a connection on which no request is in progress.
    pub fn new() -> Arc<Self> {
        Arc::new(HeadLimit(AtomicUsize::new(usize::MAX)))
    }

    /// Records that a request begins.
    pub fn head_awaited(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that the head of its response has come.
    pub fn head_received(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes. Fails if there are more than a head may have.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let too_long = || io::Error::new(io::ErrorKind::InvalidData, "the head of the response is too long");
        self.0.store(left.checked_sub(bytes).ok_or_else(too_long)?, Ordering::Relaxed);
        Ok(())
    }
}

/// A stream that reads at most [`MAX_READS_IN_TURN`] times in one turn of the event loop.
pub struct FairStream<S> {
    stream: S,
    reads: u32, // since the task last gave way
    head_limit: Option<Arc<HeadLimit>>,
}

impl<S> FairStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        FairStream { stream, reads: 0, head_limit: None }
    }

    /// Fails a read that exceeds this limit.
    pub fn with_head_limit(self, head_limit: Arc<HeadLimit>) -> Self {
        FairStream { head_limit: Some(head_limit), ..self }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.reads >= MAX_READS_IN_TURN {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.reads = if read.is_ready() { self.reads + 1 } else { 0 };
        if let Some(head_limit) = &self.head_limit {
            head_limit.count(buffer.filled().len() - before)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../tests/unit/fair_stream.rs"]
mod tests;
