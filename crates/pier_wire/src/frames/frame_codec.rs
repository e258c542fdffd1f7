//! Frames on a stream of bytes.

use std::marker;

use bytes::{Buf, BufMut};
use serde::{Serialize, de};

use crate::frames;

/// Greatest length of a frame without its prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1_024;

/// Length of the prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// Writes and reads frames of one type.
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
    /// Appends one frame to a buffer.
    ///
    /// # Errors
    /// A value that does not encode or is too long; the buffer is unchanged.
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
    /// Takes one whole frame from the buffer's front; none when more bytes are needed.
    ///
    /// # Errors
    /// A frame that is too long, which is seen from its prefix alone, or does not decode whole.
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
