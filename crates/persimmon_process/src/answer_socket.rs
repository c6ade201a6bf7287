//! A caller's socket on which an answer may end with the connection.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

#[derive(Debug, Default)]
struct AnswerFlags {
    is_until_close: Cell<bool>,
    is_unwritten: Cell<bool>,
}

/// State of the answers on an [`AnswerSocket`], for whoever serves the connection.
#[derive(Debug, Clone, Default)]
pub struct AnswerState(Rc<AnswerFlags>);

impl AnswerState {
    /// Sets, before an answer's head is sent, whether the answer ends with the connection.
    pub fn set_until_close(&self, is_until_close: bool) {
        self.0.is_until_close.set(is_until_close);
    }

    /// Records that an answer is complete. A part of it may still wait to be written.
    pub fn record_complete(&self) {
        self.0.is_unwritten.set(true);
    }

    /// Reports whether a part of a complete answer waits to be written.
    pub fn is_unwritten(&self) -> bool {
        self.0.is_unwritten.get()
    }
}

/// A caller's socket.
///
/// An answer that ends with the connection looks complete whenever the connection closes in order,
/// which the kernel does also for a process that is killed. So from the start of such an answer the
/// socket is set to be reset, until it is shut down after the complete answer.
#[derive(Debug)]
pub struct AnswerSocket {
    stream: Rc<TcpStream>,
    state: AnswerState,
    resets_on_close: bool,
}

impl AnswerSocket {
    /// Creates a socket whose answers have this state.
    pub fn new(stream: Rc<TcpStream>, state: AnswerState) -> Self {
        Self { stream, state, resets_on_close: false }
    }

    fn set_resets_on_close(&mut self, resets_on_close: bool) -> io::Result<()> {
        if self.resets_on_close != resets_on_close {
            let linger = resets_on_close.then_some(Duration::ZERO);
            SockRef::from(&*self.stream).set_linger(linger)?;
            self.resets_on_close = resets_on_close;
        }
        Ok(())
    }
}

impl AsyncRead for AnswerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    buf.advance(read?);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for AnswerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    /// An HTTP library flushes the socket when it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.0.is_unwritten.set(false);
        Poll::Ready(Ok(()))
    }

    /// Closes the connection in order. An HTTP library does so only after a complete answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets_on_close(false)?;
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let is_until_close = self.state.0.is_until_close.get();
        self.set_resets_on_close(is_until_close)?;
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
