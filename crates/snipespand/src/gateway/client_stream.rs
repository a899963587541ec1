//! A client's connection that fails when the client does not read.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// A connection whose writes fail once the client has read nothing for a limit.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    /// Maximum time for which a write may be blocked; `None` for any time.
    limit: Option<Duration>,
    /// End of the time for which the open write may be blocked.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Creates a connection whose writes may be blocked for `limit`.
    pub(super) const fn new(stream: TcpStream, limit: Option<Duration>) -> Self {
        Self { stream, limit, blocked: None }
    }

    /// Returns the result of a write, or an error if writes are blocked for too long.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let (Poll::Pending, Some(limit)) = (&written, self.limit) else {
            self.blocked = None;
            return written;
        };
        let blocked = self.blocked.get_or_insert_with(|| Box::pin(sleep(limit)));
        blocked.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.limit_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.limit_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
