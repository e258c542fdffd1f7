//! The run of a request whose answer is buffered, not streamed.

use futures_util::{Stream, stream};
use pier_request::{attempts, retries};
use pier_types::{sizes, times::clocks};

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
        let none = sizes::TokenCount::default();
        loop {
            let permit = run.choose()?;
            let mut race = requests::AttemptRace::start(run, permit, none, Self::answer);
            let fault = match race.next(run, none).await {
                Ok(answer) => {
                    run.succeed(race.current().started_at());
                    race.into_current().finish();
                    return Ok(answer);
                }
                Err(fault) => fault,
            };
            let permit = race.into_current().fail(&fault);
            let backoff = run.next_backoff(&fault, &permit, none)?;
            drop(permit);
            tokio::time::sleep(backoff).await;
        }
    }

    /// Sends a request; the whole answer is the only part.
    fn answer(
        call: requests::AttemptCall,
        parent: telemetry::TraceParent,
    ) -> impl Stream<Item = Result<requests::BufferedAnswer, requests::AttemptFault>> {
        stream::once(async move {
            let answer = call.send(&parent).await?;
            read_body(&call, answer).await
        })
    }
}

async fn read_body(
    call: &requests::AttemptCall,
    answer: reqwest::Response,
) -> Result<requests::BufferedAnswer, requests::AttemptFault> {
    let status = answer.status().as_u16();
    let kind = answer.headers().get(reqwest::header::CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    let content_type = kind.unwrap_or("application/octet-stream").to_owned();
    let remaining = call.plan.deadline.since(clocks::boot_now());
    let body = requests::AnswerBody::new(answer);
    let reading = body.read(call);
    let Ok(body) = tokio::time::timeout(remaining, reading).await else {
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
