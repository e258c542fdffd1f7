//! The body of a buffered answer, which counts until the server has taken it.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

use crate::handle;

/// A body that keeps its answer counted.
#[derive(Debug)]
pub(super) struct CountedBody {
    bytes: io::Cursor<Bytes>,
    _guard: handle::RequestGuard,
}

impl CountedBody {
    pub(super) fn new(bytes: Bytes, guard: handle::RequestGuard) -> Self {
        Self {
            bytes: io::Cursor::new(bytes),
            _guard: guard,
        }
    }
}

impl AsyncRead for CountedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(cx, buf)
    }
}

impl AsyncSeek for CountedBody {
    fn start_seek(mut self: Pin<&mut Self>, position: io::SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(cx)
    }
}
