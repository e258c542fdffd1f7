//! A connection to a target that limits the bytes before an answer.

use std::{
    pin,
    sync::{self, atomic},
    task,
};

use tokio::{
    io::{self, AsyncRead, ReadBuf},
    net::{TcpStream, tcp},
};

/// Greatest size of one answer's head in bytes; also of the read buffer.
pub(super) const MAX_HEAD_BYTES: usize = 64 << 10;

/// Greatest size of everything before an answer's body in bytes: its head, the interim heads before
/// it, and the beginning of the body that is read along with them.
const MAX_PREFACE_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Most bytes that are read at once. The HTTP library's buffers grow with them, and each request has
/// its own.
const MAX_READ_BYTES: usize = 16 << 10;

/// The number of bytes that stands for no limit.
const UNLIMITED: usize = usize::MAX;

/// Limits the bytes that a target sends until the head of its answer is complete.
///
/// The HTTP library limits each head, but not how many interim heads come before the answer.
#[derive(Debug, Clone)]
pub(super) struct PrefaceLimit {
    left: sync::Arc<atomic::AtomicUsize>,
}

impl Default for PrefaceLimit {
    fn default() -> Self {
        Self {
            left: sync::Arc::new(atomic::AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl PrefaceLimit {
    /// Limits the bytes from now on, as a request is about to be sent.
    pub(super) fn begin(&self) {
        self.left
            .store(MAX_PREFACE_BYTES, atomic::Ordering::Relaxed);
    }

    /// Ends the limit, as the answer's head was read.
    pub(super) fn end(&self) {
        self.left.store(UNLIMITED, atomic::Ordering::Relaxed);
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.left.load(atomic::Ordering::Relaxed) == 0
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails when they exceed the limit.
    fn count(&self, bytes: usize) -> std::io::Result<()> {
        let rest = |left: usize| (left != UNLIMITED).then(|| left.saturating_sub(bytes));
        let (set, get) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        if self.left.fetch_update(set, get, rest).is_ok() && self.is_exceeded() {
            return Err(std::io::Error::other(
                "too many bytes before the answer's body",
            ));
        }
        Ok(())
    }
}

/// A connection to a target under a [`PrefaceLimit`].
pub(super) type TargetStream = io::Join<LimitedReader, tcp::OwnedWriteHalf>;

/// Splits a connection, and limits what is read of it.
pub(super) fn limit_reads(stream: TcpStream, limit: PrefaceLimit) -> TargetStream {
    let (reader, writer) = stream.into_split();
    io::join(LimitedReader { reader, limit }, writer)
}

/// Reads from a target and counts the bytes.
#[derive(Debug)]
pub(super) struct LimitedReader {
    reader: tcp::OwnedReadHalf,
    limit: PrefaceLimit,
}

impl AsyncRead for LimitedReader {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let size = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        task::ready!(pin::Pin::new(&mut this.reader).poll_read(cx, &mut part))?;
        let length = part.filled().len();
        buf.advance(length);
        task::Poll::Ready(this.limit.count(length))
    }
}
