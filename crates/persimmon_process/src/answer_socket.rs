//! A caller's socket on which an answer may end with the connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Says whether the answer in progress on an [`AnswerSocket`] ends with the connection.
#[derive(Debug, Clone, Default)]
pub struct UntilClose(Rc<Cell<bool>>);

impl UntilClose {
    /// Sets the value before the answer's head is sent.
    pub fn set(&self, is_until_close: bool) {
        self.0.set(is_until_close);
    }
}

/// A caller's socket.
///
/// An answer that ends with the connection looks complete whenever the connection closes in order,
/// which the kernel does also for a process that is killed. So from the start of such an answer the
/// socket is set to be reset, until it is shut down after the complete answer.
#[derive(Debug)]
pub struct AnswerSocket {
    stream: TcpStream,
    until_close: UntilClose,
    resets_on_close: bool,
}

impl AnswerSocket {
    /// Creates a socket whose answers `until_close` describes.
    pub fn new(stream: TcpStream, until_close: UntilClose) -> Self {
        Self { stream, until_close, resets_on_close: false }
    }

    fn set_resets_on_close(&mut self, resets_on_close: bool) -> io::Result<()> {
        if self.resets_on_close != resets_on_close {
            let linger = resets_on_close.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.resets_on_close = resets_on_close;
        }
        Ok(())
    }
}

impl AsyncRead for AnswerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AnswerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_until_close = self.until_close.0.get();
        self.set_resets_on_close(is_until_close)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Closes the connection in order. An HTTP library does so only after a complete answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let is_until_close = self.until_close.0.get();
        self.set_resets_on_close(is_until_close)?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
