//! A request sent to one target.

use std::{sync, time};

use http_body_util::Full;
use hyper::body::Incoming;
use pier_types::times;

use crate::{links, serving, state};

/// Greatest idle time of a connection that is reused for a request which may run only once. The
/// target is unlikely to have closed it in that time, which would leave unknown whether it ran.
const ONE_TIME_MAX_AGE: time::Duration = time::Duration::from_secs(1);

/// The reason why an answer without framing counts as incomplete.
pub(super) const PROCESS_LOST: &str = "the target's process ended with the answer";

/// A request that a target has begun to answer.
#[derive(Debug)]
pub(super) struct TargetCall {
    pub slot: sync::Arc<state::TargetSlot>,
    pub connection: serving::PooledConnection,
    pub guard: state::GaugeGuard,
    pub head: http::response::Parts,
    pub answer: links::AnswerHead,
    pub framing: serving::BodyFraming,
    pub body: Incoming,
    pub sent_at: times::BootTime,
}

impl TargetCall {
    /// Sends a request and waits up to `limit` for the answer's head.
    pub(super) async fn send<P: links::FleetPlatform>(
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
        let mut connection = match idle {
            Some(connection) => connection,
            None => slot.connections.connect().await.map_err(|fault| {
                let failed_at = times::clocks::boot_now();
                job.state
                    .record_unreached(&job.service, &slot.vm, failed_at);
                serving::SendFault::Unreached(fault.to_string())
            })?,
        };
        let now = times::clocks::boot_now();
        // The state may have changed while this request waited for its connection.
        if slot.is_leaving() || slot.pause_left(now).is_some() {
            let reason = "the target leaves or pauses".to_owned();
            return Err(serving::SendFault::NotSent(reason));
        }
        let guard = slot.gauge.begin(job.head.prompt_tokens, now);
        slot.count_send(now);
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
        job.state
            .record_reached(&job.service, times::clocks::boot_now());
        let (head, body) = response.into_parts();
        let answer = job.state.platform().read_answer(&job.head.attempt, &head);
        if answer.notice == links::TargetNotice::Leaving {
            let answered_at = times::clocks::boot_now();
            job.state.record_leaving(&slot.vm, slot.born, answered_at);
        }
        if let Some(pause) = answer.pause {
            let answered_at = times::clocks::boot_now();
            job.state
                .record_pause(&slot.vm, slot.born, pause, answered_at);
        }
        let framing = serving::BodyFraming::of(&head, &body);
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

    /// Returns whether the end of the body may be that of a crashed process: nothing else marks it,
    /// and the target's process is known to have ended.
    pub(super) async fn has_lost_process<P: links::FleetPlatform>(
        &self,
        job: &serving::RequestJob<P>,
    ) -> bool {
        self.framing == serving::BodyFraming::UntilClose && job.is_process_lost(&self.slot).await
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
