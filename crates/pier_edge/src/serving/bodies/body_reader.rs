//! Reads the body of a request.

use std::time;

use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use pier_fleet::{budgets, documents};
use pier_types::times;
use tokio::sync::oneshot;

use super::BodyShare;
use crate::{links, serving, serving::request_job::millis, state};

/// Time-out for reading a request's body when the caller states none.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Size of the first block of a body without a stated length, in bytes.
const FIRST_BLOCK_BYTES: usize = 4 << 10;

/// Size of the blocks of a body that is longer than one, in bytes. Equal blocks are used again for
/// other bodies.
const BLOCK_BYTES: usize = 64 << 10;

/// Reads a body in blocks that are reserved before they are filled.
#[derive(Debug)]
pub(in crate::serving) struct BodyReader {
    share: BodyShare,
    ends: oneshot::Receiver<budgets::BodyEnd>,
    stated: Option<u64>,
    blocks: Vec<bytes::BytesMut>,
    length: usize,
    started_at: times::BootTime,
    progress_at: times::BootTime,
}

impl BodyReader {
    /// Reads a body to its end; when it is refused, the request has not run.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over the limit, that does not come in time, or that is given up for
    /// others.
    pub(in crate::serving) async fn read<P: links::FleetPlatform>(
        state: &state::EdgeState<P>,
        body: Incoming,
        limits: documents::CallerLimits,
        head: &links::CallerHead,
    ) -> Result<bytes::Bytes, serving::Refusal> {
        let stated = body.size_hint().exact();
        if stated.is_some_and(|stated| stated > limits.body_size.get()) {
            return Err(serving::Refusal::BodyTooLarge);
        }
        if stated == Some(0) {
            return Ok(bytes::Bytes::new());
        }
        let now = times::clocks::boot_now();
        let (share, ends) = state.bodies().begin(stated, now);
        let mut reader = Self {
            share,
            ends,
            stated,
            blocks: Vec::new(),
            length: 0,
            started_at: now,
            progress_at: now,
        };
        let bounds = state.settings().bodies;
        let quiet_time = bounds.quiet_time.unwrap_or(limits.idle_time);
        let max_size = usize::try_from(limits.body_size.get()).unwrap_or(usize::MAX);
        let limit = head.timeout.unwrap_or(BODY_TIMEOUT);
        let reading = reader.read_all(body, max_size, quiet_time);
        let read = tokio::time::timeout(limit, reading).await;
        match read.unwrap_or(Err(ReadEnd::TooSlow)) {
            Ok(()) => Ok(reader.finish()),
            Err(ReadEnd::TooLarge) => Err(serving::Refusal::BodyTooLarge),
            Err(ReadEnd::TooSlow) => Err(serving::Refusal::BodyTooSlow),
            Err(ReadEnd::GivenUp(end)) => {
                reader.log_end(end, head);
                state.metrics().bodies().count_ended(end);
                Err(match end {
                    budgets::BodyEnd::Quiet | budgets::BodyEnd::Slow => {
                        serving::Refusal::BodyTooSlow
                    }
                    budgets::BodyEnd::Crowded => serving::Refusal::BodyCrowded,
                })
            }
        }
    }

    async fn read_all(
        &mut self,
        mut body: Incoming,
        max_size: usize,
        quiet_time: time::Duration,
    ) -> Result<(), ReadEnd> {
        loop {
            let frame = tokio::select! {
                biased;
                end = &mut self.ends => {
                    return Err(ReadEnd::GivenUp(end.unwrap_or(budgets::BodyEnd::Crowded)));
                }
                frame = tokio::time::timeout(quiet_time, body.frame()) => frame,
            };
            let Some(frame) =
                frame.map_err(|_elapsed| ReadEnd::GivenUp(budgets::BodyEnd::Quiet))?
            else {
                return Ok(());
            };
            // The connection ended within the body, so that nobody will read the answer.
            let frame = frame.map_err(|_ended| ReadEnd::TooSlow)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if self.length + data.len() > max_size {
                return Err(ReadEnd::TooLarge);
            }
            self.progress_at = times::clocks::boot_now();
            self.share.record_progress(self.progress_at);
            self.append(data).await?;
        }
    }

    async fn append(&mut self, mut data: &[u8]) -> Result<(), ReadEnd> {
        while !data.is_empty() {
            let room = self
                .blocks
                .last()
                .map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                let size = self.next_block();
                tokio::select! {
                    biased;
                    end = &mut self.ends => {
                        return Err(ReadEnd::GivenUp(end.unwrap_or(budgets::BodyEnd::Crowded)));
                    }
                    reserved = self.share.reserve(size) => reserved.map_err(ReadEnd::GivenUp)?,
                }
                self.blocks.push(bytes::BytesMut::with_capacity(size));
                continue;
            }
            let (part, rest) = data.split_at(data.len().min(room));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(part);
            }
            self.length += part.len();
            data = rest;
        }
        Ok(())
    }

    /// Returns the size of the next block.
    fn next_block(&self) -> usize {
        let stated = self.stated.and_then(|stated| usize::try_from(stated).ok());
        let left = stated.unwrap_or_default().saturating_sub(self.length);
        if stated.is_none() {
            // Doubles what is held, up to the size of a block.
            return self.length.clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES);
        }
        left.clamp(1, BLOCK_BYTES)
    }

    fn finish(mut self) -> bytes::Bytes {
        let whole = if self.blocks.len() > 1 {
            let mut whole = Vec::with_capacity(self.length);
            // Each block is released as soon as it is copied.
            for block in self.blocks.drain(..) {
                whole.extend_from_slice(&block);
            }
            bytes::Bytes::from(whole)
        } else {
            self.blocks
                .pop()
                .map_or_else(bytes::Bytes::new, bytes::BytesMut::freeze)
        };
        self.share.attach(whole)
    }

    fn log_end(&self, end: budgets::BodyEnd, head: &links::CallerHead) {
        let now = times::clocks::boot_now();
        log::info!(
            event = "body-ended",
            attempt = head.attempt.as_str(),
            cause = end.label(),
            received_bytes = self.length,
            stated_bytes = self.stated,
            age_ms = millis(now.since(self.started_at)),
            quiet_ms = millis(now.since(self.progress_at));
            ""
        );
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEnd {
    TooLarge,
    TooSlow,
    /// Nothing came of it for too long, or others need its memory.
    GivenUp(budgets::BodyEnd),
}
