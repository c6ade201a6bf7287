//! A connection that tells whether a part of a request waits to be written.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether bytes wait until the system takes them.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteState(Rc<Cell<bool>>);

impl WriteState {
    /// Reports whether a part of the request hasn't been written.
    pub(crate) fn is_writing(&self) -> bool {
        self.0.get()
    }
}

/// A connection and the state of its writes.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    stream: TcpStream,
    state: WriteState,
}

impl WatchedStream {
    /// Watches the writes on a connection.
    pub(crate) fn new(stream: TcpStream) -> (Self, WriteState) {
        let state = WriteState::default();
        (Self { stream, state: state.clone() }, state)
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.state.0.set(written.is_pending());
        written
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
