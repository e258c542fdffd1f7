//! One attempt: a request dispatched to one target.

use std::sync;

use pier_request::attempts;
use pier_types::{ids, routes, sizes, times::clocks};
use tokio::runtime;

use crate::{handle, requests, telemetry};

/// Header with which a target states that it did not start a request.
const NOT_STARTED_HEADER: &str = "x-not-started";

/// Header with which a target states that it leaves and is to get no further request.
const LEAVING_HEADER: &str = "x-leaving";

/// An attempt and everything needed to send it.
#[derive(Debug, Clone)]
pub(super) struct AttemptCall {
    /// The node.
    pub(super) handle: handle::NodeHandle,
    /// The request.
    pub(super) plan: sync::Arc<requests::RequestPlan>,
    /// The target.
    pub(super) target: sync::Arc<routes::RouteTarget>,
    /// The target's process before the request was sent.
    pub(super) process: Option<requests::TargetProcess>,
    /// The identifier of the attempt.
    pub(super) attempt: ids::AttemptId,
    /// Number of tokens that the caller has already received.
    pub(super) resume_from: sizes::TokenCount,
}

impl AttemptCall {
    /// Sends the request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins; the fault states whether the request may have run.
    pub(super) async fn send(
        &self,
        parent: &telemetry::TraceParent,
    ) -> Result<reqwest::Response, requests::AttemptFault> {
        let remaining = self.plan.deadline.since(clocks::boot_now());
        let sending = tokio::time::timeout(remaining, self.request(parent).send());
        let sent = tokio::select! {
            sent = sending => sent,
            fault = requests::LinkMonitor::wait_for_silent_link(self) => return Err(fault),
        };
        let Ok(sent) = sent else {
            self.cancel();
            let end = attempts::AttemptEnd::TimedOut;
            let cause = "no answer before the deadline";
            return Err(requests::AttemptFault::new(end, cause));
        };
        let answer = sent.map_err(|error| classify_error(&error))?;
        if answer.headers().contains_key(LEAVING_HEADER) {
            let target = (self.target.target.clone(), self.target.generation);
            self.handle
                .requests()
                .record_leaving(&target, clocks::boot_now());
        }
        self.check_status(answer)
    }

    /// Finds out whether the target's process has outlived its answer.
    pub(super) async fn life_sign(&self) -> attempts::LifeSign {
        match &self.process {
            Some(process) => process.life_sign(&self.handle).await,
            None => attempts::LifeSign::Silent,
        }
    }

    /// Returns whether the target's group serves in the generation to which the request was sent.
    pub(super) fn is_group_healthy(&self) -> bool {
        let ids::TargetId::Group(group) = &self.target.target else {
            return true;
        };
        let groups = self.handle.groups();
        let serving = groups.health.serving.get(&group.number);
        serving.is_some_and(|serving| serving.generation == self.target.generation)
    }

    /// Asks the target to cancel the attempt, without waiting for its answer.
    pub(super) fn cancel(&self) {
        if !self.plan.can_resume() {
            return;
        }
        let url = format!(
            "http://{}/attempts/{}/cancel",
            self.target.address, self.attempt
        );
        // Attempts dropped after the runtime has ended cannot send anything.
        let Ok(runtime) = runtime::Handle::try_current() else {
            return;
        };
        let cancelling = self.handle.client().post(url).send();
        runtime.spawn(async move {
            // A lost cancel is harmless: the connection is closed too, and most targets treat that
            // as a cancel.
            let _ignored = cancelling.await;
        });
    }

    fn request(&self, parent: &telemetry::TraceParent) -> reqwest::RequestBuilder {
        let plan = &self.plan;
        let method = reqwest::Method::from_bytes(plan.method.as_bytes());
        let method = method.unwrap_or(reqwest::Method::GET);
        let url = format!("http://{}{}", self.target.address, plan.path);
        let remaining = plan.deadline.since(clocks::boot_now());
        let mut request = self
            .client()
            .request(method, url)
            .header("x-attempt-id", self.attempt.to_string())
            .header("x-generation", self.target.generation.to_string())
            .header("x-priority", plan.priority.to_string())
            .header("x-deadline-ms", remaining.as_millis().to_string())
            .header("traceparent", parent.to_string())
            .body(plan.body.clone());
        if let ids::TargetId::Group(group) = &self.target.target {
            request = request.header("x-group", group.to_string());
        }
        if let Some(kind) = &plan.content_type {
            request = request.header("content-type", kind);
        }
        if let Some(key) = &plan.key {
            request = request.header("idempotency-key", key.as_str());
        }
        if self.resume_from.get() > 0 {
            request = request.header("x-resume-from", self.resume_from.to_string());
        }
        request
    }

    fn client(&self) -> &reqwest::Client {
        if self.plan.key.is_some() {
            return self.handle.requests().one_time_client();
        }
        self.handle.client()
    }

    /// Separates answers from refusals by the status.
    ///
    /// The answer of a plain service is relayed whatever its status.
    fn check_status(
        &self,
        answer: reqwest::Response,
    ) -> Result<reqwest::Response, requests::AttemptFault> {
        let status = answer.status();
        let cause = format!("{} answered with status {status}", self.target.target);
        if answer.headers().contains_key(NOT_STARTED_HEADER) {
            let end = attempts::AttemptEnd::NotStarted;
            return Err(requests::AttemptFault::new(end, cause));
        }
        let is_model = matches!(self.plan.pool, routes::PoolKey::Model(_));
        if is_model && status.is_server_error() {
            let end = attempts::AttemptEnd::Failed;
            return Err(requests::AttemptFault::with_possible_crash(end, cause));
        }
        if is_model && !status.is_success() {
            let end = attempts::AttemptEnd::Rejected;
            return Err(requests::AttemptFault::new(end, cause));
        }
        Ok(answer)
    }
}

/// Returns how an attempt ended, from an error of the HTTP client.
///
/// Only a failed connection proves that the request did not run.
fn classify_error(error: &reqwest::Error) -> requests::AttemptFault {
    let cause = format!("{error:?}");
    if error.is_connect() || error.is_builder() {
        return requests::AttemptFault::new(attempts::AttemptEnd::NotConnected, cause);
    }
    requests::AttemptFault::with_possible_crash(attempts::AttemptEnd::Lost, cause)
}
