//! The run of a one-time request, which runs at most once.

use std::time;

use pier_request::claims;
use pier_types::{codes, ids, times::clocks};
use tokio::sync::oneshot;

use crate::{callers, requests, telemetry};

/// Longest time from the check of a key's age to the dispatch; also limited by the margin of the
/// claim retention.
const MAX_CLAIM_TIME: time::Duration = time::Duration::from_secs(5);

/// Time after the deadline until a run counts as ended.
const ACTIVE_MARGIN: time::Duration = time::Duration::from_secs(5);

/// Longest time that a refusal waits for its key to be released, so that the caller can send the
/// request again at once.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time-out for a caller to accept the last event of a failed stream.
const LAST_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Retry-after hint of a refusal, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 1_000;

/// The answer or the error for a caller.
type ReplyResult = Result<callers::CallerReply, callers::ErrorBody>;

/// Runs a request with an idempotency key: claims the key, dispatches the request and records the
/// outcome.
///
/// Runs in its own task, since the outcome is recorded even if the caller has disconnected.
#[derive(Debug)]
pub(super) struct OneTimeRun {
    run: requests::RequestRun,
    driver: requests::ClaimDriver,
}

impl OneTimeRun {
    /// Serves a request with a key.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller when the request is refused or fails.
    pub(super) async fn serve(
        run: requests::RequestRun,
        key: &claims::IdempotencyKey,
    ) -> ReplyResult {
        let object_key = claims::ClaimRecord::object_key(&run.plan.customer, key);
        let driver = requests::ClaimDriver::new(run.handle.objects(), object_key);
        let (reply, answer) = oneshot::channel();
        tokio::spawn(Self { run, driver }.claim(reply));
        answer
            .await
            .unwrap_or_else(|_lost| Err(requests::internal_fault()))
    }

    // The reply to a caller that has disconnected is dropped; the outcome is recorded all the same.
    async fn claim(self, reply: oneshot::Sender<ReplyResult>) {
        match self.driver.claim(self.claim_request()).await {
            requests::ClaimDecision::Dispatch(grant) => {
                self.count(telemetry::ClaimOutcome::Claimed);
                self.dispatch(grant, reply).await;
            }
            requests::ClaimDecision::Reply(answer) => {
                self.count(telemetry::ClaimOutcome::Replayed);
                let _ignored = reply.send(replay(&answer));
            }
            requests::ClaimDecision::Refuse { code, cleanup } => {
                self.count(telemetry::ClaimOutcome::Refused);
                let _ignored = reply.send(Err(refusal(code)));
                if let Some(cleanup) = cleanup {
                    self.recorder().record(cleanup).await;
                }
            }
        }
    }

    fn count(&self, outcome: telemetry::ClaimOutcome) {
        self.run.handle.metrics().requests().count_claim(outcome);
    }

    fn claim_request(&self) -> claims::ClaimRequest {
        let plan = &self.run.plan;
        let wall = clocks::wall_now();
        let active = plan.deadline.since(clocks::boot_now()) + ACTIVE_MARGIN;
        let limit = MAX_CLAIM_TIME.min(plan.retention.margin);
        claims::ClaimRequest {
            fingerprint: plan.fingerprint,
            nonce: ids::WriteNonce::new(rand::random()),
            node: self.run.handle.name().clone(),
            claimed_at: wall,
            active_until: wall.after(active),
            dispatch_by: plan.read_at.after(limit).min(plan.deadline),
        }
    }

    fn recorder(&self) -> requests::OutcomeDriver {
        requests::OutcomeDriver::new(self.driver.clone())
    }

    async fn dispatch(mut self, grant: claims::ClaimGrant, reply: oneshot::Sender<ReplyResult>) {
        self.run.grant = Some(grant);
        if self.run.plan.stream {
            return self.dispatch_stream(reply).await;
        }
        match requests::BufferedRun::run(&mut self.run).await {
            Ok(answer) => {
                self.count(telemetry::ClaimOutcome::Finished);
                let stored = answer.to_stored();
                let _ignored = reply.send(Ok(answer.into_reply()));
                self.record(|grant| grant.finish(stored)).finish().await;
            }
            Err(error) => {
                let recording = self.record_failure(&error).await;
                let _ignored = reply.send(Err(error));
                recording.finish().await;
            }
        }
    }

    async fn dispatch_stream(mut self, reply: oneshot::Sender<ReplyResult>) {
        let mut sink = requests::RelaySink::new(reply).buffer_answer();
        match requests::StreamRun::run(&mut self.run, &mut sink).await {
            Ok(()) => {
                self.count(telemetry::ClaimOutcome::Finished);
                let answer = sink.into_answer();
                let recording = self.record(|grant| finish_stream(grant, answer));
                recording.finish().await;
            }
            Err(error) => {
                let recording = self.record_failure(&error).await;
                sink.fail(error, LAST_EVENT_TIMEOUT).await;
                recording.finish().await;
            }
        }
    }

    /// Starts to record a failure; waits up to [`RELEASE_TIMEOUT`] when that releases the key.
    async fn record_failure(&mut self, error: &callers::ErrorBody) -> OutcomeTask {
        if self.run.is_not_run() && error.outcome == codes::RunOutcome::NotRun {
            self.count(telemetry::ClaimOutcome::Released);
            let mut recording = self.record(claims::ClaimGrant::release);
            recording.wait(RELEASE_TIMEOUT).await;
            return recording;
        }
        if error.outcome == codes::RunOutcome::RanFailed {
            self.count(telemetry::ClaimOutcome::Finished);
            let stored = requests::BufferedAnswer::from(error).to_stored();
            return self.record(|grant| grant.finish(stored));
        }
        self.count(telemetry::ClaimOutcome::Unknown);
        self.record(claims::ClaimGrant::mark_lost)
    }

    /// Starts to record the outcome of the claimed request.
    fn record(
        &mut self,
        outcome: impl FnOnce(claims::ClaimGrant) -> claims::OutcomeFlow,
    ) -> OutcomeTask {
        let flow = self.run.grant.take().map(outcome);
        let recorder = self.recorder();
        OutcomeTask {
            task: tokio::spawn(async move {
                if let Some(flow) = flow {
                    recorder.record(flow).await;
                }
            }),
        }
    }
}

/// The task that writes an outcome.
#[derive(Debug)]
struct OutcomeTask {
    task: tokio::task::JoinHandle<()>,
}

impl OutcomeTask {
    /// Waits for the task up to a limit.
    async fn wait(&mut self, limit: time::Duration) {
        let _unfinished = tokio::time::timeout(limit, &mut self.task).await;
    }

    /// Waits until the task ends; the request counts as in progress until then.
    async fn finish(self) {
        if self.task.is_finished() {
            return;
        }
        // A task that panicked writes nothing more.
        let _panicked = self.task.await;
    }
}

fn finish_stream(grant: claims::ClaimGrant, answer: Option<bytes::Bytes>) -> claims::OutcomeFlow {
    let Some(body) = answer else {
        return grant.finish_unkept();
    };
    let answer = requests::BufferedAnswer {
        status: 200,
        content_type: callers::EVENT_STREAM.to_owned(),
        body,
    };
    grant.finish(answer.to_stored())
}

fn replay(answer: &claims::StoredAnswer) -> ReplyResult {
    let body = answer.body.to_bytes().ok_or_else(|| {
        let code = codes::ResultCode::EarlierOutcomeUnknown;
        callers::ErrorBody::new(code, "the stored answer is damaged")
    })?;
    let kind = answer.content_type.clone();
    Ok(callers::CallerReply::buffered(
        answer.status,
        kind,
        body.into(),
    ))
}

fn refusal(code: codes::ResultCode) -> callers::ErrorBody {
    let error = callers::ErrorBody::new(code, code.meaning());
    match code {
        codes::ResultCode::PlatformUnavailable
        | codes::ResultCode::ClaimUnknown
        | codes::ResultCode::EarlierRunActive => error.retry_after_ms(RETRY_AFTER_MILLIS),
        _ => error,
    }
}
