//! One dispatch of a request to one target.

use std::time;

use pier_request::{attempts, retries};
use pier_types::{ids, routes, sizes, times::clocks};
use tokio::runtime;

use crate::{handle, requests, telemetry};

/// Header by which a target says that it did not start a request.
const NOT_STARTED_HEADER: &str = "x-not-started";

/// Time between two looks at the health of an attempt's group.
const HEALTH_CHECK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Time for which a group has to be broken before its work is ended; evidence may come late.
const BROKEN_GROUP_DELAY: time::Duration = time::Duration::from_secs(1);

/// A dispatch that is about to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptCall<'a> {
    /// The node.
    pub(super) handle: &'a handle::NodeHandle,
    /// The request.
    pub(super) plan: &'a requests::RequestPlan,
    /// The target.
    pub(super) target: &'a routes::RouteTarget,
    /// Identifies the dispatch.
    pub(super) attempt: ids::AttemptId,
    /// Tokens that the caller has already.
    pub(super) resume_from: sizes::TokenCount,
}

impl AttemptCall<'_> {
    /// Sends the request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins; the fault says what is certain.
    pub(super) async fn send(
        &self,
        parent: &telemetry::TraceParent,
    ) -> Result<reqwest::Response, requests::AttemptFault> {
        let remaining = self.plan.deadline.since(clocks::boot_now());
        let sending = tokio::time::timeout(remaining, self.request(parent).send());
        let sent = tokio::select! {
            sent = sending => sent,
            fault = self.wait_for_broken_group() => return Err(fault),
        };
        let Ok(sent) = sent else {
            self.cancel();
            let end = attempts::AttemptEnd::TimedOut;
            let cause = "no answer before the deadline";
            return Err(requests::AttemptFault::new(end, cause));
        };
        let answer = sent.map_err(|error| classify_error(&error))?;
        self.check_status(answer)
    }

    /// Waits until the group has been broken for a while and another target could go on.
    ///
    /// Never ends for requests that may not be repeated, nor while this node sees no other target:
    /// a node that is cut off must not end what may still finish.
    pub(super) async fn wait_for_broken_group(&self) -> requests::AttemptFault {
        let mut broken_since = None;
        loop {
            tokio::time::sleep(HEALTH_CHECK_PERIOD).await;
            let now = clocks::boot_now();
            if self.is_group_healthy() || !self.has_alternative() {
                broken_since = None;
                continue;
            }
            let since = *broken_since.get_or_insert(now);
            if now.since(since) >= BROKEN_GROUP_DELAY {
                self.cancel();
                let end = attempts::AttemptEnd::Broken;
                let cause = "a member of the group is missing";
                return requests::AttemptFault::new(end, cause);
            }
        }
    }

    fn is_group_healthy(&self) -> bool {
        let ids::TargetId::Group(group) = &self.target.target else {
            return true;
        };
        let groups = self.handle.groups();
        let serving = groups.health.serving.get(&group.number);
        serving.is_some_and(|serving| serving.generation == self.target.generation)
    }

    fn has_alternative(&self) -> bool {
        let table = self.handle.routes();
        let mut others = table.targets(&self.plan.pool).iter();
        let usable =
            others.any(|other| other.target != self.target.target && other.share.get() > 0);
        usable && self.plan.rule == retries::RepeatRule::Repeatable
    }

    /// Tells the target to end the attempt; nobody waits for it any more.
    pub(super) fn cancel(&self) {
        if !self.plan.can_resume() {
            return;
        }
        let url = format!(
            "http://{}/attempts/{}/cancel",
            self.target.address, self.attempt
        );
        // A node that stops drops attempts where nothing can be sent any more.
        let Ok(runtime) = runtime::Handle::try_current() else {
            return;
        };
        let cancelling = self.handle.client().post(url).send();
        runtime.spawn(async move {
            // The connection is closed as well, which most targets take as a cancel.
            let _unheard = cancelling.await;
        });
    }

    fn request(&self, parent: &telemetry::TraceParent) -> reqwest::RequestBuilder {
        let plan = self.plan;
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

    /// Tells answers from refusals; a plain service's answer is relayed whatever its status.
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

/// Tells what is certain after an error of the HTTP library.
fn classify_error(error: &reqwest::Error) -> requests::AttemptFault {
    let cause = format!("{error:?}");
    if error.is_connect() || error.is_builder() {
        return requests::AttemptFault::new(attempts::AttemptEnd::NotConnected, cause);
    }
    requests::AttemptFault::with_possible_crash(attempts::AttemptEnd::Lost, cause)
}
