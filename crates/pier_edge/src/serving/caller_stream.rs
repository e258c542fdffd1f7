//! A caller's connection that can end with a reset.

use std::{
    io, pin,
    sync::{self, atomic},
    task, time,
};

use rustix::event;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{Notify, watch},
};

use crate::serving;

/// Interval between two checks whether the system has sent what was written.
const SEND_POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Unsent bytes below which a connection counts as writable while it closes: writable once nothing
/// is left to send.
const CLOSING_LOW_WATER: u32 = 1;

/// Makes a caller's connection end with a reset.
///
/// A body without length or chunks ends with its connection, so that only a reset shows the caller
/// that it is incomplete.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResetSwitch {
    state: sync::Arc<SwitchState>,
}

#[derive(Debug, Default)]
struct SwitchState {
    is_set: atomic::AtomicBool,
    /// Notified when the connection is to end at once.
    ended: Notify,
}

impl ResetSwitch {
    pub(crate) fn set(&self) {
        self.state.is_set.store(true, atomic::Ordering::Relaxed);
    }

    /// Ends the connection although its caller reads nothing.
    pub(super) fn end_now(&self) {
        self.set();
        self.state.ended.notify_one();
    }

    /// Waits until the connection is to end at once.
    pub(super) async fn wait_for_end(&self) {
        self.state.ended.notified().await;
    }

    fn is_set(&self) -> bool {
        self.state.is_set.load(atomic::Ordering::Relaxed)
    }
}

/// A caller's connection; resets it when dropped, if its switch is set.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    reset: ResetSwitch,
    writes: serving::AnswerWrites,
    /// Set when the node stops.
    closing: watch::Receiver<bool>,
    /// The next check whether everything was sent, once the connection closes.
    send_poll: Option<tokio::time::Interval>,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        writes: serving::AnswerWrites,
        closing: watch::Receiver<bool>,
    ) -> Self {
        Self {
            stream,
            reset: ResetSwitch::default(),
            writes,
            closing,
            send_poll: None,
        }
    }

    /// Returns the switch that makes the connection end with a reset.
    pub(super) fn reset_switch(&self) -> ResetSwitch {
        self.reset.clone()
    }

    /// Waits until the system has sent all that was written, or the connection has failed.
    fn poll_sent(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let poll = self.send_poll.get_or_insert_with(|| {
            self.writes.begin_close();
            set_low_water(&self.stream);
            tokio::time::interval(SEND_POLL_INTERVAL)
        });
        loop {
            task::ready!(poll.poll_tick(cx));
            if is_writable(&self.stream) {
                return task::Poll::Ready(());
            }
        }
    }
}

/// Makes a connection writable only when nothing is left to send.
fn set_low_water(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_tcp_notsent_lowat(CLOSING_LOW_WATER) {
        log::debug!(event = "socket-option-refused", cause:% = error; "");
    }
}

/// Returns whether a connection is writable or has failed.
fn is_writable(stream: &TcpStream) -> bool {
    let mut polled = [event::PollFd::new(stream, event::PollFlags::OUT)];
    let at_once = event::Timespec::default();
    match event::poll(&mut polled, Some(&at_once)) {
        Ok(ready) => ready > 0,
        Err(rustix::io::Errno::INTR) => false,
        Err(error) => {
            log::warn!(event = "caller-not-polled", cause:% = error; "");
            true
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.writes.record_end();
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
        let this = self.get_mut();
        task::ready!(pin::Pin::new(&mut this.stream).poll_flush(cx))?;
        this.writes.record_flush();
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.reset.is_set() {
            return task::Poll::Ready(Ok(()));
        }
        if *this.closing.borrow() {
            task::ready!(this.poll_sent(cx));
        }
        pin::Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
