//! Reads the bodies of callers' requests.

use std::{io, time};

use pier_types::codes;
use rocket::Data;
use rocket::data::ToByteUnit as _;
use tokio::io::AsyncReadExt as _;

use crate::callers;

/// Greatest size of a body, in bytes, before the configuration's own limit is asked.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes of an over-long body that are read and dropped, so that its sender hears the refusal.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024 * 1024;

/// When to come back after a body that did not arrive whole, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 1_000;

/// Reads a body whole, within a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyReader {
    /// Time that the caller has to send it.
    pub(super) timeout: time::Duration,
}

impl BodyReader {
    /// Reads a body; nothing of the request ran when it is refused.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over the limit, or that does not arrive whole in time.
    pub(super) async fn read(self, data: Data<'_>) -> Result<Vec<u8>, callers::ErrorBody> {
        let reading = tokio::time::timeout(self.timeout, read_bounded(data)).await;
        let read = reading.map_err(|_elapsed| incomplete())?;
        let body = read.map_err(|_broken| incomplete())?;
        body.ok_or_else(too_large)
    }
}

/// Returns the body, or nothing when it is over the limit; then most of its rest was read too.
async fn read_bounded(data: Data<'_>) -> io::Result<Option<Vec<u8>>> {
    let mut stream = data.open((MAX_BODY_BYTES + MAX_DISCARDED_BYTES).bytes());
    let mut body = Vec::new();
    let mut bounded = (&mut stream).take(MAX_BODY_BYTES + 1);
    bounded.read_to_end(&mut body).await?;
    if body.len() as u64 <= MAX_BODY_BYTES {
        return Ok(Some(body));
    }
    // A sender that is cut off before it has sent everything may not hear why.
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
