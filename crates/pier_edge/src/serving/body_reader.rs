//! Reads the body of a request.

use std::time;

use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use pier_fleet::{budgets, documents};
use pier_types::times;

use crate::{links, serving, serving::request_job::millis, state};

/// Time-out for reading a request's body when the caller states none.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Reads a body within the node's budget.
#[derive(Debug)]
pub(super) struct BodyReader {
    intake: pier_bodies::BodyIntake,
}

impl BodyReader {
    /// Reads a body to its end; when it is refused, the request has not run.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over the limit, that does not come in time, or that is given up for
    /// others.
    pub(super) async fn read<P: links::FleetPlatform>(
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
        let max_size = usize::try_from(limits.body_size.get()).unwrap_or(usize::MAX);
        let mut reader = Self {
            intake: pier_bodies::BodyIntake::begin(state.bodies(), stated, now),
        };
        let bounds = state.settings().bodies;
        let quiet_time = bounds.quiet_time.unwrap_or(limits.idle_time);
        let limit = head.timeout.unwrap_or(BODY_TIMEOUT);
        let reading = reader.read_all(body, max_size, quiet_time);
        let read = tokio::time::timeout(limit, reading).await;
        match read.unwrap_or(Err(ReadEnd::TooSlow)) {
            Ok(()) => Ok(reader.intake.finish()),
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
                end = self.intake.ended() => return Err(ReadEnd::GivenUp(end)),
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
            if self.intake.length() + data.len() > max_size {
                return Err(ReadEnd::TooLarge);
            }
            let now = times::clocks::boot_now();
            let appended = self.intake.append(data, now).await;
            appended.map_err(ReadEnd::GivenUp)?;
        }
    }

    fn log_end(&self, end: budgets::BodyEnd, head: &links::CallerHead) {
        let now = times::clocks::boot_now();
        log::info!(
            event = "body-ended",
            attempt = head.attempt.as_str(),
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
    TooLarge,
    TooSlow,
    /// Nothing came of it for too long, or others need its memory.
    GivenUp(budgets::BodyEnd),
}
