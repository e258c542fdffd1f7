//! Serves one request.

use std::time;

use futures_util::StreamExt as _;
use pier_types::{codes, ids, routes, times};
use tokio::sync::mpsc;

use crate::{callers, handle, requests, telemetry};

/// Parts of a stream that may wait for a slow caller.
const STREAM_BUFFER: usize = 16;

/// Time a caller waits when it names none.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_mins(2);

/// When to come back while nothing serves, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 1_000;

/// Takes one request from its arrival to its answer.
#[derive(Debug, Clone)]
pub struct RequestPath {
    handle: handle::NodeHandle,
}

impl RequestPath {
    /// Makes a path over a node.
    pub fn new(handle: handle::NodeHandle) -> Self {
        Self { handle }
    }

    /// Serves a request; every outcome is an answer.
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
        let now = times::clocks::boot_now();
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
        let route = requests::RequestRoute::read(&request)?;
        let target = self.choose(&route.pool)?;
        let mut span = telemetry::HopSpan::start(self.handle.traces(), "attempt", Some(parent));
        span.note("target", target.target.to_string());
        let answer = self.send(&request, &route, &target, &span.parent()).await?;
        if route.stream {
            return Ok(relay(answer));
        }
        read_whole(answer).await
    }

    fn choose(
        &self,
        pool: &routes::PoolKey,
    ) -> Result<std::sync::Arc<routes::RouteTarget>, callers::ErrorBody> {
        let table = self.handle.routes();
        let targets = table.targets(pool);
        let index = rand::random_range(0..targets.len().max(1));
        let target = targets.get(index).cloned();
        target.ok_or_else(|| {
            let code = codes::ResultCode::NoServingTarget;
            callers::ErrorBody::new(code, format!("nothing serves {pool} now"))
                .retry_after_ms(RETRY_AFTER_MILLIS)
        })
    }

    async fn send(
        &self,
        request: &callers::CallerRequest,
        route: &requests::RequestRoute,
        target: &routes::RouteTarget,
        parent: &telemetry::TraceParent,
    ) -> Result<reqwest::Response, callers::ErrorBody> {
        let attempt = ids::AttemptId::new(uuid::Uuid::new_v4().as_u128());
        let method = reqwest::Method::from_bytes(request.method.as_bytes());
        let method = method.unwrap_or(reqwest::Method::GET);
        let url = format!("http://{}{}", target.address, route.path);
        let mut outgoing = self
            .handle
            .client()
            .request(method, url)
            .timeout(DEFAULT_DEADLINE)
            .header("x-attempt-id", attempt.to_string())
            .header("x-generation", target.generation.to_string())
            .header("traceparent", parent.to_string())
            .body(request.body.clone());
        for name in ["content-type", "idempotency-key"] {
            if let Some(value) = request.header(name) {
                outgoing = outgoing.header(name, value);
            }
        }
        outgoing.send().await.map_err(|error| {
            let code = if error.is_connect() {
                codes::ResultCode::TargetRefused
            } else {
                codes::ResultCode::TargetLost
            };
            callers::ErrorBody::new(code, format!("{}: {error}", target.target))
        })
    }
}

async fn read_whole(answer: reqwest::Response) -> Result<callers::CallerReply, callers::ErrorBody> {
    let status = answer.status().as_u16();
    let kind = answer.headers().get(reqwest::header::CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    let kind = kind.unwrap_or("application/octet-stream").to_owned();
    let body = answer.bytes().await.map_err(|error| {
        let code = codes::ResultCode::TargetLost;
        callers::ErrorBody::new(code, format!("the answer broke off: {error}"))
    })?;
    Ok(callers::CallerReply::whole(status, kind, body))
}

fn relay(answer: reqwest::Response) -> callers::CallerReply {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(async move {
        let mut parts = answer.bytes_stream();
        while let Some(part) = parts.next().await {
            let part = part.unwrap_or_else(|error| {
                let code = codes::ResultCode::StreamBroken;
                let error = callers::ErrorBody::new(code, format!("{error}"));
                error.to_event().into()
            });
            if sender.send(part).await.is_err() {
                return;
            }
        }
    });
    callers::CallerReply::events(receiver)
}
