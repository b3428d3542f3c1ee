//! Socket of a client connection that records what it receives, and whether the client reads.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::RequestGuard;

/// Socket that reports received bytes, and bytes that wait for the client, to the entry of its connection.
#[derive(Debug)]
pub(super) struct RecordedStream {
    stream: TcpStream,
    guard: RequestGuard,
}

impl RecordedStream {
    pub fn new(stream: TcpStream, guard: RequestGuard) -> Self {
        Self { stream, guard }
    }

    /// Writes what the socket accepts at once; used for a last response before the connection is closed.
    pub fn try_write(&self, bytes: &[u8]) {
        // The connection is closed in any case.
        let _ = self.stream.try_write(bytes);
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.guard.record_received(received);
        }
        poll
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.guard.record_blocked(poll.is_pending());
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.guard.record_blocked(poll.is_pending());
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
