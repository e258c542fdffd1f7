//! Reads the bodies of callers' requests.

use std::time;

use pier_fleet::budgets;
use pier_types::{codes, times};
use rocket::data::{DataStream, ToByteUnit as _};
use rocket::{Data, Request};
use tokio::io::AsyncReadExt as _;

use crate::{callers, handle};

/// Maximum size of a body in bytes; the configuration may set a lower limit.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum bytes of an oversized body that are read and discarded, so that its sender receives the
/// refusal.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024 * 1024;

/// Retry-after hint for a body that did not arrive completely or was given up, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 1_000;

/// Bytes that are read at a time.
const READ_BYTES: usize = 8 << 10;

/// Bytes of a body that its connection may hold unread: a few times what a read of its receive buffer
/// returns.
const READ_AHEAD_BYTES: usize = 512 << 10;

/// Reads a body within the node's budget.
#[derive(Debug)]
pub(super) struct BodyReader<'a> {
    handle: &'a handle::NodeHandle,
    max_size: usize,
    intake: pier_bodies::BodyIntake,
}

impl<'a> BodyReader<'a> {
    /// Reads a body; when it is refused, nothing of the request has run.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over the limit, that does not arrive completely in time, or that is given
    /// up for others.
    pub(super) async fn read(
        handle: &'a handle::NodeHandle,
        head: &Request<'_>,
        data: Data<'_>,
    ) -> Result<bytes::Bytes, callers::ErrorBody> {
        let length = head.headers().get_one("content-length");
        let stated = length.and_then(|length| length.parse().ok());
        if stated == Some(0) || (stated.is_none() && !head.headers().contains("transfer-encoding"))
        {
            return Ok(bytes::Bytes::new());
        }
        let place = handle.bodies().connect().await;
        let _place = place.ok_or_else(|| refusal_of(budgets::BodyEnd::Crowded))?;
        let now = times::clocks::boot_now();
        let config = handle.config();
        let limit = config.map_or(MAX_BODY_BYTES, |config| {
            config.document.limits.max_body.get().min(MAX_BODY_BYTES)
        });
        let mut reader = Self {
            handle,
            max_size: usize::try_from(limit).unwrap_or(usize::MAX),
            intake: pier_bodies::BodyIntake::begin(handle.bodies(), stated, now)
                .with_read_ahead(READ_AHEAD_BYTES),
        };
        let mut stream = data.open((limit + MAX_DISCARDED_BYTES).bytes());
        let deadline = tokio::time::Instant::now() + handle.settings().body_timeout;
        let reading = tokio::time::timeout_at(deadline, reader.read_all(&mut stream));
        match reading.await.unwrap_or(Err(ReadEnd::Incomplete)) {
            Ok(()) => Ok(reader.intake.finish()),
            Err(ReadEnd::Incomplete) => Err(incomplete()),
            Err(ReadEnd::TooLarge) => {
                reader.release();
                let discarding = reader.discard(&mut stream);
                // The refusal is the same for a sender that does not come to an end.
                let _sent_on = tokio::time::timeout_at(deadline, discarding).await;
                Err(too_large(limit))
            }
            Err(ReadEnd::GivenUp(end)) => {
                reader.count_end(end);
                Err(refusal_of(end))
            }
        }
    }

    async fn read_all(&mut self, stream: &mut DataStream<'_>) -> Result<(), ReadEnd> {
        let stated = self.intake.stated();
        if stated.is_some_and(|stated| stated > self.max_size as u64) {
            return Err(ReadEnd::TooLarge);
        }
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let read = tokio::select! {
                biased;
                end = self.intake.ended() => return Err(ReadEnd::GivenUp(end)),
                read = stream.read(&mut buffer) => read,
            };
            let read = read.map_err(|_broken| ReadEnd::Incomplete)?;
            if read == 0 {
                return Ok(());
            }
            if self.intake.length() + read > self.max_size {
                return Err(ReadEnd::TooLarge);
            }
            let now = times::clocks::boot_now();
            let appended = self.intake.append(&buffer[..read], now).await;
            appended.map_err(ReadEnd::GivenUp)?;
        }
    }

    /// Releases the memory of the body; it is still one that may be given up.
    fn release(&mut self) {
        let now = times::clocks::boot_now();
        self.intake = pier_bodies::BodyIntake::begin(self.handle.bodies(), None, now);
    }

    /// Reads and drops the rest of a body that is over the limit: a sender whose connection is closed
    /// before it has sent everything may miss the refusal.
    async fn discard(&mut self, stream: &mut DataStream<'_>) {
        let mut sink = tokio::io::sink();
        tokio::select! {
            biased;
            end = self.intake.ended() => self.count_end(end),
            _broken = tokio::io::copy(stream, &mut sink) => {}
        }
    }

    fn count_end(&self, end: budgets::BodyEnd) {
        self.handle.metrics().bodies().count_ended(end);
        let now = times::clocks::boot_now();
        let millis =
            |elapsed: time::Duration| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            event = "body-ended",
            cause = end.label(),
            received_bytes = self.intake.length(),
            stated_bytes = self.intake.stated(),
            age_ms = millis(now.since(self.intake.started_at())),
            quiet_ms = millis(now.since(self.intake.progress_at()));
            ""
        );
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEnd {
    /// It broke off, or did not come in time.
    Incomplete,
    TooLarge,
    /// Others need its memory or its connection.
    GivenUp(budgets::BodyEnd),
}

fn refusal_of(end: budgets::BodyEnd) -> callers::ErrorBody {
    match end {
        budgets::BodyEnd::Quiet | budgets::BodyEnd::Slow => incomplete(),
        budgets::BodyEnd::Crowded => {
            let code = codes::ResultCode::BodyCrowded;
            callers::ErrorBody::new(code, code.meaning()).retry_after_ms(RETRY_AFTER_MILLIS)
        }
    }
}

fn incomplete() -> callers::ErrorBody {
    let code = codes::ResultCode::IncompleteBody;
    let error = callers::ErrorBody::new(code, "the body did not arrive whole in time");
    error.retry_after_ms(RETRY_AFTER_MILLIS)
}

fn too_large(limit: u64) -> callers::ErrorBody {
    let code = codes::ResultCode::BodyTooLarge;
    callers::ErrorBody::new(code, format!("the body is over {limit} bytes"))
}
