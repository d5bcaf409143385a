//! A TCP stream that can be inspected while hyper owns it, and a stream that reports its traffic.

use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use merlinfold_decide::interface::Nanos;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

use crate::connection_timeouts::ConnectionTimeouts;

/// Most bytes of a streamed body that the kernel holds unsent. A peer that reads slowly then makes room often enough to be
/// told from one that does not read.
const MAX_UNSENT_BYTES: u32 = 64 << 10;

/// Most bytes of one read. The library doubles its buffer once a read fills it, and each piece of a body keeps the whole
/// buffer that it was read into.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Reads of one request head without a pause between them.
const MAX_PROMPT_HEAD_READS: u32 = 8;
/// Pause before each further read of that head.
const HEAD_READ_PAUSE: Duration = Duration::from_millis(2);

/// Limits the bytes that the kernel accepts for a connection without sending them, to [`MAX_UNSENT_BYTES`].
pub fn limit_unsent_bytes(stream: &TcpStream) {
    // Without the limit, room on the connection is only noticed later.
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
}

/// A TCP stream with shared ownership; it closes when the last owner is dropped.
///
/// Reads and writes continue until the kernel reports that the call would block. The runtime's own stream takes a
/// partial read or write as that sign, and would wait forever where such a call was merely short.
pub struct SharedStream(pub Arc<TcpStream>);

impl SharedStream {
    /// Wraps a stream that has no other owner yet.
    pub fn new(stream: TcpStream) -> Self {
        SharedStream(Arc::new(stream))
    }
}

/// Returns whether the peer has closed its write side, which the kernel reports even while bytes are still unread.
pub async fn has_disconnected(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

/// Returns whether the stream has bytes to read, or has ended.
pub async fn has_input(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok(),
        () = std::future::ready(()) => false,
    }
}

/// Returns whether the stream has bytes to read now, whether or not the runtime knows of them.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|count| count > 0)
}

/// Returns whether a failed call transferred nothing and is to be repeated once the stream is ready.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let length = buffer.remaining().min(MAX_READ_BYTES);
            match self.0.try_read(buffer.initialize_unfilled_to(length)) {
                Err(error) if is_transient(&error) => {}
                read => return Poll::Ready(read.map(|length| buffer.advance(length))),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(error) if is_transient(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(slices) {
                Err(error) if is_transient(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// A stream that reports its reads and writes to the [`ConnectionTimeouts`] of its connection. A request head that comes
/// in many small pieces is read with pauses, in which the pieces join.
pub struct MonitoredStream<S> {
    stream: S,
    timeouts: Arc<ConnectionTimeouts>,
    accepted_at: Instant,
    head_reads: u32,    // of the head that is being received
    request_heads: u64, // complete heads before it
    pause: Option<Pin<Box<Sleep>>>,
}

impl<S> MonitoredStream<S> {
    /// `accepted_at` is when the connection was accepted; reported times are relative to it.
    pub fn new(stream: S, timeouts: Arc<ConnectionTimeouts>, accepted_at: Instant) -> Self {
        MonitoredStream { stream, timeouts, accepted_at, head_reads: 0, request_heads: 0, pause: None }
    }

    fn now(&self) -> Nanos {
        self.accepted_at.elapsed().as_nanos() as Nanos
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.timeouts.write_attempted(self.now(), written.is_ready());
        if let Poll::Ready(Ok(count)) = written {
            self.timeouts.bytes_transferred(count);
            self.timeouts.bytes_accepted(count);
        }
        written
    }
}

impl<S> MonitoredStream<S> {
    /// Counts a read, and sets the pause before the next one.
    fn count_read(&mut self) {
        // What a read brings is counted before it is known whether it completes the head.
        let request_heads = self.timeouts.request_heads();
        if !self.timeouts.is_receiving_head() || request_heads != self.request_heads {
            (self.head_reads, self.request_heads) = (0, request_heads);
        }
        if !self.timeouts.is_receiving_head() {
            return;
        }
        self.head_reads += 1;
        if self.head_reads >= MAX_PROMPT_HEAD_READS {
            self.pause = Some(Box::pin(sleep(HEAD_READ_PAUSE)));
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        self.timeouts.read_attempted(self.now(), read.is_ready());
        if count > 0 {
            self.timeouts.bytes_received(self.now());
            self.timeouts.bytes_transferred(count);
            self.count_read();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(written)
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
#[path = "../tests/unit/stream.rs"]
mod tests;
