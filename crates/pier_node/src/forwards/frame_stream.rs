//! Reads and writes frames over one connection.

use std::time;

use anyhow::Context as _;
use bytes::BytesMut;
use pier_wire::frames;
use serde::{Serialize, de};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp;

/// Time-out for writing one frame.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Reads frames.
#[derive(Debug)]
pub(super) struct FrameReader {
    half: tcp::OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader of the read half of a connection.
    pub(super) fn new(half: tcp::OwnedReadHalf) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next frame; `None` when the peer closed the connection between two frames.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or closes within a frame, or a frame does not decode.
    pub(super) async fn next<T: de::DeserializeOwned>(&mut self) -> anyhow::Result<Option<T>> {
        loop {
            if let Some(frame) = frames::FrameCodec::<T>::decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let read = self.half.read_buf(&mut self.buffer).await?;
            if read == 0 {
                anyhow::ensure!(
                    self.buffer.is_empty(),
                    "the connection broke within a frame"
                );
                return Ok(None);
            }
        }
    }

    /// Reads the next frame, which must exist.
    ///
    /// # Errors
    ///
    /// Fails like [`FrameReader::next`], and when the peer closed the connection.
    pub(super) async fn expect<T: de::DeserializeOwned>(&mut self) -> anyhow::Result<T> {
        let frame = self.next().await?;
        frame.context("the peer closed the connection")
    }
}

/// Writes frames.
#[derive(Debug)]
pub(super) struct FrameWriter {
    half: tcp::OwnedWriteHalf,
}

impl FrameWriter {
    /// Creates a writer to the write half of a connection.
    pub(super) fn new(half: tcp::OwnedWriteHalf) -> Self {
        Self { half }
    }

    /// Writes one frame.
    ///
    /// # Errors
    ///
    /// Fails when the value does not encode, the connection breaks or the peer does not read in
    /// time.
    pub(super) async fn write<T: Serialize>(&mut self, frame: &T) -> anyhow::Result<()> {
        let mut buffer = BytesMut::new();
        frames::FrameCodec::encode(frame, &mut buffer)?;
        let writing = self.half.write_all(&buffer);
        let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
        written.context("the peer does not read")??;
        Ok(())
    }
}
