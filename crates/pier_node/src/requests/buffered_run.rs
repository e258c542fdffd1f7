//! The run of a request whose answer is buffered, not streamed.

use pier_request::{attempts, retries, routing};
use pier_types::{ids, sizes, times::clocks};

use crate::{callers, requests, telemetry};

/// Runs requests whose answer is buffered, not streamed.
#[derive(Debug)]
pub(super) struct BufferedRun;

impl BufferedRun {
    /// Serves a request.
    ///
    /// A request that may not be repeated runs on when its caller disconnects: its effects may be
    /// permanent, and no one could send it again.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller when no attempt succeeds.
    pub(super) async fn serve(
        mut run: requests::RequestRun,
    ) -> Result<callers::CallerReply, callers::ErrorBody> {
        if run.plan.rule == retries::RepeatRule::Repeatable {
            return Ok(Self::run(&mut run).await?.into_reply());
        }
        let running = tokio::spawn(async move { Self::run(&mut run).await });
        let answer = running.await;
        let answer = answer.unwrap_or_else(|_panicked| Err(requests::internal_fault()));
        answer.map(requests::BufferedAnswer::into_reply)
    }

    /// Makes attempts until an answer is complete or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller when no attempt succeeds.
    pub(super) async fn run(
        run: &mut requests::RequestRun,
    ) -> Result<requests::BufferedAnswer, callers::ErrorBody> {
        loop {
            let permit = run.choose()?;
            let started_at = clocks::boot_now();
            let fault = match Self::attempt(run, &permit).await {
                Ok(answer) => {
                    run.succeed(started_at);
                    return Ok(answer);
                }
                Err(fault) => fault,
            };
            let backoff = run.next_backoff(&fault, &permit, sizes::TokenCount::default())?;
            drop(permit);
            tokio::time::sleep(backoff).await;
        }
    }

    async fn attempt(
        run: &requests::RequestRun,
        permit: &routing::RoutePermit,
    ) -> Result<requests::BufferedAnswer, requests::AttemptFault> {
        let mut span = telemetry::HopSpan::start(run.handle.traces(), "attempt", Some(&run.parent));
        span.set_attribute("target", permit.target().target.to_string());
        let call = requests::AttemptCall {
            handle: &run.handle,
            plan: &run.plan,
            target: permit.target(),
            attempt: ids::AttemptId::new(rand::random()),
            resume_from: sizes::TokenCount::default(),
        };
        let guard = requests::AttemptGuard::new(call);
        let answer = call.send(&span.parent()).await;
        let read = match answer {
            Ok(answer) => read_body(&call, answer).await,
            Err(fault) => Err(fault),
        };
        guard.disarm();
        read.inspect_err(|fault| span.fail(fault.end.code()))
    }
}

async fn read_body(
    call: &requests::AttemptCall<'_>,
    answer: reqwest::Response,
) -> Result<requests::BufferedAnswer, requests::AttemptFault> {
    let status = answer.status().as_u16();
    let kind = answer.headers().get(reqwest::header::CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    let content_type = kind.unwrap_or("application/octet-stream").to_owned();
    let remaining = call.plan.deadline.since(clocks::boot_now());
    let body = requests::AnswerBody::new(answer, call.target.address);
    let reading = tokio::time::timeout(remaining, body.read(|| call.is_target_in_use()));
    let read = tokio::select! {
        read = reading => read,
        fault = call.wait_for_broken_group() => return Err(fault),
    };
    let Ok(body) = read else {
        call.cancel();
        let end = attempts::AttemptEnd::TimedOut;
        let cause = "the answer was not whole before the deadline";
        return Err(requests::AttemptFault::new(end, cause));
    };
    let body = body.map_err(|error| {
        let end = attempts::AttemptEnd::Broken;
        requests::AttemptFault::with_possible_crash(end, format!("the answer broke off: {error:#}"))
    })?;
    Ok(requests::BufferedAnswer {
        status,
        content_type,
        body,
    })
}
