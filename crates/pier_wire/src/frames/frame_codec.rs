//! Encodes and decodes length-prefixed frames.

use std::marker;

use bytes::{Buf, BufMut};
use serde::{Serialize, de};

use crate::frames;

/// Maximum length of a frame without its prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1_024;

/// Length of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// Encodes and decodes frames of one type.
///
/// ```
/// use pier_wire::frames;
///
/// let mut buffer = bytes::BytesMut::new();
/// frames::FrameCodec::encode(&frames::ForwardFrame::End, &mut buffer)?;
/// type ForwardCodec = frames::FrameCodec<frames::ForwardFrame>;
/// assert_eq!(ForwardCodec::decode(&mut buffer)?, Some(frames::ForwardFrame::End));
/// assert_eq!(ForwardCodec::decode(&mut buffer)?, None);
/// # Ok::<(), frames::FrameError>(())
/// ```
#[derive(Debug)]
pub struct FrameCodec<T> {
    value: marker::PhantomData<T>,
}

impl<T: Serialize> FrameCodec<T> {
    /// Appends one frame to the buffer.
    ///
    /// # Errors
    /// Fails when the value cannot be encoded or is too long; the buffer is then unchanged.
    pub fn encode(value: &T, buffer: &mut bytes::BytesMut) -> Result<(), frames::FrameError> {
        let payload =
            postcard::to_stdvec(value).map_err(|_error| frames::FrameError::Unencodable)?;
        let bytes = payload.len();
        if bytes > MAX_FRAME_BYTES {
            return Err(frames::FrameError::TooLong { bytes });
        }
        let prefix = u32::try_from(bytes).map_err(|_error| frames::FrameError::Unencodable)?;
        buffer.put_u32_le(prefix);
        buffer.put_slice(&payload);
        Ok(())
    }
}

impl<T: de::DeserializeOwned> FrameCodec<T> {
    /// Removes one complete frame from the front of the buffer; returns none if more bytes are
    /// needed.
    ///
    /// # Errors
    /// Fails when the prefix announces a frame that is too long, and when the frame cannot be
    /// decoded or has bytes left over.
    pub fn decode(buffer: &mut bytes::BytesMut) -> Result<Option<T>, frames::FrameError> {
        let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let bytes = usize::try_from(u32::from_le_bytes(*prefix)).unwrap_or(usize::MAX);
        if bytes > MAX_FRAME_BYTES {
            return Err(frames::FrameError::TooLong { bytes });
        }
        if buffer.len() < PREFIX_BYTES + bytes {
            return Ok(None);
        }
        buffer.advance(PREFIX_BYTES);
        let payload = buffer.split_to(bytes);
        let (value, rest) =
            postcard::take_from_bytes(&payload).map_err(|_error| frames::FrameError::Malformed)?;
        if !rest.is_empty() {
            return Err(frames::FrameError::Malformed);
        }
        Ok(Some(value))
    }
}
