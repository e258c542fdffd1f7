//! Serves requests from arrival to answer.

use std::{sync, time};

use pier_request::{admission, routing};
use pier_types::{codes, times::clocks};

use crate::{callers, handle, requests, telemetry};

/// Retry-after hint while there is no configuration, in milliseconds.
const CONFIG_RETRY_MILLIS: u64 = 1_000;

/// Retry-after hint while this data centre accepts no new requests, in milliseconds.
const SHIFT_RETRY_MILLIS: u64 = 1_000;

/// Serves requests: plans, admits, dispatches or forwards them.
#[derive(Debug, Clone)]
pub struct RequestPath {
    handle: handle::NodeHandle,
}

impl RequestPath {
    /// Creates the request path of a node.
    pub fn new(handle: handle::NodeHandle) -> Self {
        Self { handle }
    }

    /// Serves a request; failures are returned as replies too.
    pub async fn serve(&self, request: callers::CallerRequest) -> callers::CallerReply {
        let arrived_at = request.arrived_at;
        let parent = request.header("traceparent");
        let parent = parent.and_then(|text| text.parse().ok());
        let mut span = telemetry::HopSpan::start(self.handle.traces(), "entry", parent.as_ref());
        let reply = match self.dispatch(request, &span.parent()).await {
            Ok(reply) => reply,
            Err(error) => error.into(),
        };
        if let Some(code) = reply.code {
            span.fail(code);
        }
        let now = clocks::boot_now();
        self.handle
            .metrics()
            .record_first_part(now.since(arrived_at));
        self.handle.metrics().count_answer(reply.code);
        reply
    }

    async fn dispatch(
        &self,
        request: callers::CallerRequest,
        parent: &telemetry::TraceParent,
    ) -> Result<callers::CallerReply, callers::ErrorBody> {
        let plan = sync::Arc::new(self.plan(request)?);
        self.check_quarantine(&plan)?;
        if let Some(answer) = self.forward_if_shifted(&plan, parent).await {
            return answer;
        }
        let permit = match self.admit(&plan) {
            Ok(permit) => permit,
            Err(refusal) => {
                return requests::ForwardRun::serve(&self.handle, &plan, parent, refusal).await;
            }
        };
        let run = sync::Arc::clone(&plan);
        let run = requests::RequestRun::new(self.handle.clone(), run, parent.clone(), permit);
        let answer = match &plan.key {
            Some(key) => requests::OneTimeRun::serve(run, key).await,
            None if plan.stream => requests::StreamRun::serve(run).await,
            None => requests::BufferedRun::serve(run).await,
        };
        match answer {
            Err(error) if self.is_unreachable(&plan) => {
                requests::ForwardRun::serve(&self.handle, &plan, parent, error).await
            }
            answer => answer,
        }
    }

    /// Returns whether this node reaches no target that can serve a request.
    fn is_unreachable(&self, plan: &requests::RequestPlan) -> bool {
        let state = self.handle.requests();
        let targets = state.targets();
        let pool = targets.pool(&plan.pool, plan.freshness, clocks::boot_now());
        pool.is_some_and(|pool| {
            let mut entries = pool.entries();
            entries.all(|entry| state.links().is_down(entry.target.address))
        })
    }

    /// Forwards a request while the traffic of this data centre is shifted away, because it leaves
    /// service or returns to it.
    ///
    /// Returns `None` when the request is to be served here.
    async fn forward_if_shifted(
        &self,
        plan: &requests::RequestPlan,
        parent: &telemetry::TraceParent,
    ) -> Option<Result<callers::CallerReply, callers::ErrorBody>> {
        let shift = self.handle.shift();
        let forwarded = plan.hops > 0;
        if shift.weight.includes(plan.fingerprint.get()) || (forwarded && shift.is_open()) {
            return None;
        }
        let code = codes::ResultCode::NoServingTarget;
        let refusal = callers::ErrorBody::new(code, "this data centre takes no new work")
            .retry_after_ms(SHIFT_RETRY_MILLIS);
        match requests::ForwardRun::serve(&self.handle, plan, parent, refusal).await {
            Err(error) if shift.is_open() && error.outcome == codes::RunOutcome::NotRun => None,
            answer => Some(answer),
        }
    }

    fn plan(
        &self,
        request: callers::CallerRequest,
    ) -> Result<requests::RequestPlan, callers::ErrorBody> {
        let config = self.handle.config().ok_or_else(|| {
            let code = codes::ResultCode::ConfigUnavailable;
            callers::ErrorBody::new(code, code.meaning()).retry_after_ms(CONFIG_RETRY_MILLIS)
        })?;
        let now = clocks::boot_now();
        requests::RequestPlan::read(request, &config.document, now, clocks::wall_now())
    }

    fn check_quarantine(&self, plan: &requests::RequestPlan) -> Result<(), callers::ErrorBody> {
        let set = self.handle.requests().quarantine();
        let Some(remaining) = set.remaining(plan.fingerprint, clocks::boot_now()) else {
            return Ok(());
        };
        let code = codes::ResultCode::RequestQuarantined;
        let error = callers::ErrorBody::new(code, code.meaning());
        Err(error.retry_after_ms(to_millis(remaining)))
    }

    fn admit(
        &self,
        plan: &requests::RequestPlan,
    ) -> Result<admission::AdmissionPermit, callers::ErrorBody> {
        let state = self.handle.requests();
        let now = clocks::boot_now();
        let targets = state.targets();
        let pool = targets.pool(&plan.pool, plan.freshness, now);
        let request = admission::AdmissionRequest {
            customer: &plan.customer,
            priority: plan.priority,
            load: pool.map(routing::PoolView::load).unwrap_or_default(),
            deadline: plan.deadline,
            now,
        };
        let customers = state.customers();
        let Some(controller) = customers.controller_of(&plan.pool) else {
            let code = codes::ResultCode::NoServingTarget;
            return Err(callers::ErrorBody::new(code, code.meaning()));
        };
        controller.admit(&request).map_err(|refusal| {
            let error = callers::ErrorBody::new(refusal.code, refusal.code.meaning());
            match refusal.retry_after {
                Some(wait) => error.retry_after_ms(to_millis(wait)),
                None => error,
            }
        })
    }
}

fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}
