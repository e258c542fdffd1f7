//! A request sent to one target.

use std::{sync, time};

use http_body_util::Full;
use hyper::body::Incoming;
use pier_request::attempts;
use pier_types::times;

use crate::{links, serving, state};

/// Greatest idle time of a connection that is reused for a request which may run only once. The
/// target is unlikely to have closed it in that time, which would leave unknown whether it ran.
const ONE_TIME_MAX_AGE: time::Duration = time::Duration::from_secs(1);

/// A request that a target has begun to answer.
#[derive(Debug)]
pub(super) struct TargetCall {
    pub slot: sync::Arc<state::TargetSlot>,
    pub connection: serving::PooledConnection,
    pub guard: state::GaugeGuard,
    pub head: http::response::Parts,
    pub answer: links::AnswerHead,
    pub framing: attempts::BodyFraming,
    pub body: Incoming,
    pub sent_at: times::BootTime,
}

impl TargetCall {
    /// Sends a request to a target or node, and waits up to `limit` for the answer's head.
    pub(super) async fn send<P: links::FleetPlatform>(
        job: &serving::RequestJob<P>,
        slot: &sync::Arc<state::TargetSlot>,
        after_event: Option<&str>,
        limit: time::Duration,
    ) -> Result<Self, serving::SendFault> {
        let result = Self::exchange(job, slot, after_event, limit).await;
        if slot.is_node() {
            let outcome = forward_outcome(&result);
            job.state.metrics().count_forward_sent(outcome);
        }
        result
    }

    async fn exchange<P: links::FleetPlatform>(
        job: &serving::RequestJob<P>,
        slot: &sync::Arc<state::TargetSlot>,
        after_event: Option<&str>,
        limit: time::Duration,
    ) -> Result<Self, serving::SendFault> {
        let age = if job.route.repeat.may_repeat() {
            time::Duration::MAX
        } else {
            ONE_TIME_MAX_AGE
        };
        let now = times::clocks::boot_now();
        let idle = slot.connections.take_idle(age, now);
        let is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(job, slot).await?,
        };
        let now = times::clocks::boot_now();
        // The state may have changed while this request waited for its connection.
        if slot.is_leaving(now) || slot.pause_left(now).is_some() {
            let reason = "the target leaves or pauses".to_owned();
            return Err(serving::SendFault::NotSent(reason));
        }
        let guard = slot
            .gauge
            .begin(job.head.prompt_tokens, job.class(after_event), now);
        slot.count_send(now);
        let metrics = job.state.metrics();
        metrics.count_sent_bytes(slot.is_local, job.body.len());
        if slot.is_node() {
            log_forward(job, slot, after_event);
        }
        connection.preface.begin();
        let request: http::Request<Full<bytes::Bytes>> = job.target_request(slot, after_event, now);
        let response = tokio::select! {
            response = connection.sender.try_send_request(request) => response,
            () = tokio::time::sleep(limit) => return Err(serving::SendFault::TimedOut),
        };
        let response = response.map_err(|mut fault| {
            let reason = fault.error().to_string();
            if fault.take_message().is_some() {
                serving::SendFault::NotSent(reason)
            } else if connection.preface.is_exceeded() || fault.error().is_parse_too_large() {
                serving::SendFault::TooLarge(serving::AnswerLimit::Head)
            } else {
                serving::SendFault::MayHaveRun(reason)
            }
        })?;
        connection.preface.end();
        if !slot.is_node() {
            let answered_at = times::clocks::boot_now();
            job.state.record_reached(&job.service, answered_at);
            if let Some(link) = &slot.centre_link {
                link.record_answer(now);
            }
        }
        let (head, body) = response.into_parts();
        let mut answer = job.state.platform().read_answer(&job.head.attempt, &head);
        let is_foreign = answer.origin == links::AnswerOrigin::OtherAttempt;
        // On a new connection nothing can be a copy of an earlier refusal.
        let is_doubtful = is_reused && !slot.is_node() && !job.head.attempt.is_empty();
        let may_be_copy = is_doubtful && answer.is_not_run && !answer.names_attempt;
        if is_foreign || may_be_copy {
            // Dropping the connection closes it, as the answer to this request may follow.
            job.state.metrics().count_foreign_answer();
            log::warn!(
                event = "foreign-answer",
                attempt = job.head.attempt.as_str(),
                target_vm:% = slot.vm,
                status = head.status.as_u16();
                ""
            );
            let reason = "the answer belongs to another attempt, or names none".to_owned();
            return Err(serving::SendFault::MayHaveRun(reason));
        }
        if !slot.is_node() {
            let answered_at = times::clocks::boot_now();
            job.state.record_limit(slot, &answer, now, answered_at);
        }
        if slot.is_node() {
            apply_refusal(&head, &mut answer)?;
        } else if answer.notice == links::TargetNotice::Leaving {
            let answered_at = times::clocks::boot_now();
            job.state.record_leaving(&slot.vm, slot.born, answered_at);
        }
        if let Some(pause) = answer.pause.filter(|_pause| !slot.is_node()) {
            let answered_at = times::clocks::boot_now();
            job.state
                .record_pause(&slot.vm, slot.born, pause, answered_at);
        }
        let framing = serving::framing_of(&head, &body);
        job.state.metrics().count_framing(framing.label());
        Ok(Self {
            slot: sync::Arc::clone(slot),
            connection,
            guard,
            head,
            answer,
            framing,
            body,
            sent_at: now,
        })
    }

    /// Judges the end of the body, which ended there in its content.
    pub(super) async fn body_end<P: links::FleetPlatform>(
        &self,
        job: &serving::RequestJob<P>,
        content: attempts::ContentEnd,
        pause: attempts::UnreadPause,
    ) -> attempts::BodyEnd {
        let needs_mark = self.head.status.is_success() && !self.answer.is_not_run;
        let mut evidence = attempts::EndEvidence {
            framing: self.framing,
            is_genuine: !needs_mark || self.answer.is_genuine(),
            content,
            was_unread: pause.explains_end(),
            life: attempts::LifeSign::Silent,
        };
        if evidence.needs_life_sign() {
            evidence.life = job.life_sign(&self.slot).await;
        }
        attempts::BodyEnd::judge(evidence)
    }

    /// Returns the connection to the pool once the answer was read completely.
    pub(super) fn finish(self) {
        let now = times::clocks::boot_now();
        if !self.answer.closes {
            let idle_time = self.answer.idle_time;
            self.slot
                .connections
                .give_back(self.connection, idle_time, now);
        }
    }
}

async fn connect<P: links::FleetPlatform>(
    job: &serving::RequestJob<P>,
    slot: &state::TargetSlot,
) -> Result<serving::PooledConnection, serving::SendFault> {
    slot.connections.connect().await.map_err(|fault| {
        if !slot.is_node() {
            let failed_at = times::clocks::boot_now();
            job.record_unreached(slot, failed_at);
        }
        serving::SendFault::Unreached(fault.to_string())
    })
}

/// Applies a node's own refusal to the answer that carries it.
///
/// # Errors
///
/// Fails with what a refusal means, unless it is like that of a target which has not run the
/// request.
fn apply_refusal(
    head: &http::response::Parts,
    answer: &mut links::AnswerHead,
) -> Result<(), serving::SendFault> {
    let Some(refusal) = serving::NodeRefusal::read(head) else {
        return Ok(());
    };
    match refusal.meaning() {
        serving::RefusalMeaning::NotRun => {
            answer.is_not_run = true;
            Ok(())
        }
        serving::RefusalMeaning::NotSent => Err(serving::SendFault::NotSent(refusal.label)),
        serving::RefusalMeaning::Final => Err(serving::SendFault::Refused(refusal)),
        serving::RefusalMeaning::MayHaveRun => Err(serving::SendFault::MayHaveRun(refusal.label)),
        serving::RefusalMeaning::TimedOut => Err(serving::SendFault::TimedOut),
    }
}

const fn forward_outcome(result: &Result<serving::TargetCall, serving::SendFault>) -> &'static str {
    match result {
        Ok(call) if call.answer.is_not_run => "refused",
        Ok(_) => "answered",
        Err(serving::SendFault::Unreached(_)) => "unreached",
        Err(serving::SendFault::NotSent(_) | serving::SendFault::Refused(_)) => "refused",
        Err(
            serving::SendFault::MayHaveRun(_)
            | serving::SendFault::Unread(_)
            | serving::SendFault::TooLarge(_),
        ) => "lost",
        Err(serving::SendFault::TimedOut) => "timed-out",
    }
}

fn log_forward<P>(
    job: &serving::RequestJob<P>,
    slot: &state::TargetSlot,
    after_event: Option<&str>,
) {
    log::info!(
        event = "request-forwarded",
        attempt = job.head.attempt.as_str(),
        node:% = slot.vm,
        is_local = slot.is_local,
        in_flight = slot.gauge.local_in_flight(),
        after = after_event.unwrap_or("");
        ""
    );
}
