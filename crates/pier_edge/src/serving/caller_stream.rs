//! A caller's connection that can end with a reset.

use std::{
    io, pin,
    sync::{self, atomic},
    task, time,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Makes a caller's connection end with a reset.
///
/// A body without length or chunks ends with its connection, so that only a reset shows the caller
/// that it is incomplete.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResetSwitch {
    is_set: sync::Arc<atomic::AtomicBool>,
}

impl ResetSwitch {
    pub(crate) fn set(&self) {
        self.is_set.store(true, atomic::Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.is_set.load(atomic::Ordering::Relaxed)
    }
}

/// A caller's connection; resets it when dropped, if its switch is set.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    reset: ResetSwitch,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, reset: ResetSwitch) -> Self {
        Self { stream, reset }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.reset.is_set() {
            return;
        }
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
            log::warn!(event = "caller-not-reset", cause:% = error; "");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.reset.is_set() {
            return task::Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
