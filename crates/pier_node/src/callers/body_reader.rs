//! Reads the bodies of callers' requests.

use std::{io, time};

use pier_types::codes;
use rocket::Data;
use rocket::data::ToByteUnit as _;
use tokio::io::AsyncReadExt as _;

use crate::callers;

/// Maximum size of a body in bytes; the configuration may set a lower limit, checked later.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum bytes of an oversized body that are read and discarded, so that its sender receives the
/// refusal.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024 * 1024;

/// Retry-after hint for a body that did not arrive completely, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 1_000;

/// Reads a complete body within a time limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyReader {
    /// Time-out for the arrival of the body.
    pub(super) timeout: time::Duration,
}

impl BodyReader {
    /// Reads a body; when it is refused, nothing of the request has run.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over the limit, or that does not arrive completely in time.
    pub(super) async fn read(self, data: Data<'_>) -> Result<Vec<u8>, callers::ErrorBody> {
        let reading = tokio::time::timeout(self.timeout, read_bounded(data)).await;
        let read = reading.map_err(|_elapsed| incomplete())?;
        let body = read.map_err(|_broken| incomplete())?;
        body.ok_or_else(too_large)
    }
}

/// Returns the body, or `None` when it is over the limit; up to [`MAX_DISCARDED_BYTES`] of its rest
/// are then read and discarded.
async fn read_bounded(data: Data<'_>) -> io::Result<Option<Vec<u8>>> {
    let mut stream = data.open((MAX_BODY_BYTES + MAX_DISCARDED_BYTES).bytes());
    let mut body = Vec::new();
    let mut bounded = (&mut stream).take(MAX_BODY_BYTES + 1);
    bounded.read_to_end(&mut body).await?;
    if body.len() as u64 <= MAX_BODY_BYTES {
        return Ok(Some(body));
    }
    // A sender whose connection is closed before it has sent everything may miss the refusal.
    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
    Ok(None)
}

fn incomplete() -> callers::ErrorBody {
    let code = codes::ResultCode::IncompleteBody;
    let error = callers::ErrorBody::new(code, "the body did not arrive whole in time");
    error.retry_after_ms(RETRY_AFTER_MILLIS)
}

fn too_large() -> callers::ErrorBody {
    let code = codes::ResultCode::BodyTooLarge;
    callers::ErrorBody::new(code, format!("the body is over {MAX_BODY_BYTES} bytes"))
}
