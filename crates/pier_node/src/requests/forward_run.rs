//! Forwards a request to another node when this one has no capacity for it.

use std::time;

use pier_request::retries;
use pier_types::{codes, ids, times::clocks};
use pier_wire::frames;

use crate::{callers, forwards, handle, requests, telemetry};

/// Shortest time for which a node or data centre that refused is skipped.
const MIN_SKIP_TIME: time::Duration = time::Duration::from_millis(100);

/// Longest time for which a node or data centre that refused is skipped.
const MAX_SKIP_TIME: time::Duration = time::Duration::from_secs(2);

/// Forwards one request to other nodes, to each at most once.
#[derive(Debug)]
pub(super) struct ForwardRun<'a> {
    handle: &'a handle::NodeHandle,
    plan: &'a requests::RequestPlan,
    client: forwards::ForwardClient,
}

/// What to do with a request that another node did not answer.
enum ForwardDecision {
    /// It certainly did not run there; another node may take it. The refusal of the other node, if
    /// there is one, replaces this node's own, as it is more specific.
    TryNext(Option<callers::ErrorBody>),
    /// It may have run there, and may be repeated on another node.
    Repeat(callers::ErrorBody),
    /// No other node may take it.
    Stop(callers::ErrorBody),
}

impl<'a> ForwardRun<'a> {
    /// Forwards a request that this node refused; the refusal is returned when no node takes it.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or the error of a node that was lost after it took the request.
    pub(super) async fn serve(
        handle: &'a handle::NodeHandle,
        plan: &'a requests::RequestPlan,
        parent: &telemetry::TraceParent,
        refusal: callers::ErrorBody,
    ) -> Result<callers::CallerReply, callers::ErrorBody> {
        if plan.hops > 0 || !may_help(refusal.code) && !may_repeat_lost(plan, refusal.code) {
            return Err(refusal);
        }
        let key = handle.settings().peer_key.clone();
        let client = forwards::ForwardClient::new(key, handle.name().clone(), handle.instance());
        let run = Self {
            handle,
            plan,
            client,
        };
        // Once the request may have run somewhere, a later refusal must not claim that it did not.
        let mut lost = None;
        let mut refusal = refusal;
        if refusal.outcome != codes::RunOutcome::NotRun {
            if !run.may_repeat() {
                return Err(refusal);
            }
            lost = Some(refusal.clone());
        }
        for (number, peer) in run.candidates().into_iter().enumerate() {
            // An earlier one may have refused for its whole data centre.
            if number > 0 && run.is_skipped(&peer) {
                continue;
            }
            match run.send(&peer, parent).await {
                Ok(reply) => return Ok(reply),
                Err(ForwardDecision::TryNext(specific)) => refusal = specific.unwrap_or(refusal),
                Err(ForwardDecision::Repeat(error)) => lost = Some(error),
                Err(ForwardDecision::Stop(error)) => return Err(lost.unwrap_or(error)),
            }
        }
        Err(lost.unwrap_or(refusal))
    }

    fn candidates(&self) -> Vec<handle::PeerEntry> {
        let Some(config) = self.handle.config() else {
            return Vec::new();
        };
        let peers = self.handle.peers();
        let (skipped, open): (Vec<_>, Vec<_>) = peers
            .iter()
            .cloned()
            .partition(|peer| self.is_skipped(peer));
        let local_serves = self.handle.shift().weight;
        let mut choice = forwards::ForwardChoice {
            data_centre: &self.handle.settings().data_centre,
            document: &config.document,
            peers: &open,
            local_serves: local_serves.includes(self.plan.fingerprint.get()),
        };
        let candidates = choice.candidates(rand::random());
        if !candidates.is_empty() {
            return candidates;
        }
        // One of them may serve again. A single try finds out, and if it is refused, its refusal is
        // newer than the ones that were recorded.
        choice.peers = &skipped;
        let mut candidates = choice.candidates(rand::random());
        candidates.truncate(1);
        candidates
    }

    fn is_skipped(&self, peer: &handle::PeerEntry) -> bool {
        let skipped = self.handle.requests().skipped_peers();
        skipped.contains(&self.plan.pool, peer, clocks::boot_now())
    }

    async fn send(
        &self,
        peer: &handle::PeerEntry,
        parent: &telemetry::TraceParent,
    ) -> Result<callers::CallerReply, ForwardDecision> {
        let mut span = telemetry::HopSpan::start(self.handle.traces(), "forward", Some(parent));
        span.set_attribute("node", peer.node.to_string());
        let begin = self.begin(&span.parent());
        let sent = self.client.send(peer.address, begin, &self.plan.body).await;
        let metrics = self.handle.metrics().requests();
        metrics.count_forward(outcome_of(&sent));
        sent.map_err(|error| {
            span.fail(code_of(&error));
            self.decide_next(peer, error)
        })
    }

    fn begin(&self, parent: &telemetry::TraceParent) -> frames::ForwardBegin {
        let plan = self.plan;
        let headers = plan.headers.iter();
        let headers = headers.map(|(name, value)| frames::ForwardHeader {
            name: name.clone(),
            value: value.clone(),
        });
        let remaining = plan.deadline.since(clocks::boot_now()).as_millis();
        frames::ForwardBegin {
            pool: plan.pool.clone(),
            customer: plan.customer.clone(),
            attempt: ids::AttemptId::new(rand::random()),
            method: plan.method.clone(),
            path: plan.entry_path.clone(),
            headers: headers.collect(),
            trace_parent: Some(parent.to_string()),
            deadline_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
            hops: plan.hops + 1,
        }
    }

    fn decide_next(
        &self,
        peer: &handle::PeerEntry,
        error: forwards::ForwardError,
    ) -> ForwardDecision {
        match error {
            forwards::ForwardError::NotSent { .. } => ForwardDecision::TryNext(None),
            forwards::ForwardError::Refused(failure)
                if may_help(failure.code) && failure.outcome == codes::RunOutcome::NotRun =>
            {
                self.skip(peer, &failure);
                ForwardDecision::TryNext(Some(error_of(&failure)))
            }
            forwards::ForwardError::Refused(failure) => ForwardDecision::Stop(error_of(&failure)),
            forwards::ForwardError::Lost { cause } => {
                let code = codes::ResultCode::NodeLost;
                let error = callers::ErrorBody::new(code, cause);
                if self.may_repeat() {
                    return ForwardDecision::Repeat(error);
                }
                ForwardDecision::Stop(error)
            }
        }
    }

    fn may_repeat(&self) -> bool {
        self.plan.rule == retries::RepeatRule::Repeatable
            && self.handle.requests().node_budget().take()
    }

    fn skip(&self, peer: &handle::PeerEntry, failure: &frames::AnswerFailure) {
        let wait = failure.retry_after_ms.unwrap_or_default();
        let wait = time::Duration::from_millis(wait.into()).clamp(MIN_SKIP_TIME, MAX_SKIP_TIME);
        let until = clocks::boot_now().after(wait);
        // A node that reaches no target says nothing about the others of its data centre.
        let place = match failure.code {
            codes::ResultCode::NoServingTarget => requests::SkippedPlace::Node(peer.node.clone()),
            _ => requests::SkippedPlace::DataCentre(peer.data_centre.clone()),
        };
        let state = self.handle.requests();
        state.skip_place(&self.plan.pool, &place, until);
    }
}

/// Returns the error for the caller from another node's refusal.
fn error_of(failure: &frames::AnswerFailure) -> callers::ErrorBody {
    let error = callers::ErrorBody::new(failure.code, failure.code.meaning());
    let error = error.outcome(failure.outcome);
    match failure.retry_after_ms {
        Some(millis) => error.retry_after_ms(millis.into()),
        None => error,
    }
}

/// Returns whether another node may be able to serve a request refused with this code.
const fn may_help(code: codes::ResultCode) -> bool {
    matches!(
        code,
        codes::ResultCode::NoServingTarget
            | codes::ResultCode::Overloaded
            | codes::ResultCode::CustomerOverShare
    )
}

/// Returns whether a request that a target may have run can be repeated by another node.
fn may_repeat_lost(plan: &requests::RequestPlan, code: codes::ResultCode) -> bool {
    let is_repeatable = plan.rule == retries::RepeatRule::Repeatable && plan.key.is_none();
    is_repeatable && code == codes::ResultCode::TargetLost
}

const fn code_of(error: &forwards::ForwardError) -> codes::ResultCode {
    match error {
        forwards::ForwardError::NotSent { .. } => codes::ResultCode::NoServingTarget,
        forwards::ForwardError::Lost { .. } => codes::ResultCode::NodeLost,
        forwards::ForwardError::Refused(failure) => failure.code,
    }
}

const fn outcome_of(
    sent: &Result<callers::CallerReply, forwards::ForwardError>,
) -> telemetry::ForwardOutcome {
    match sent {
        Ok(_reply) => telemetry::ForwardOutcome::Answered,
        Err(forwards::ForwardError::NotSent { .. }) => telemetry::ForwardOutcome::NotSent,
        Err(forwards::ForwardError::Refused(_failure)) => telemetry::ForwardOutcome::Refused,
        Err(forwards::ForwardError::Lost { .. }) => telemetry::ForwardOutcome::Lost,
    }
}
