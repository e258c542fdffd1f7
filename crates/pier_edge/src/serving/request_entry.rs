//! The entry point of requests: reads one, finds its route and runs it.

use std::time;

use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use pier_fleet::documents;
use pier_types::{ids, times};

use super::{buffered_run, request_job::millis, stream_run};
use crate::{links, serving, state};

/// Time-out for reading a request's body when the caller states none.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Answers one request and records the answer in log and metrics.
pub(super) async fn serve<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    request: http::Request<Incoming>,
    reset: serving::ResetSwitch,
) -> http::Response<serving::EdgeBody> {
    let arrived_at = times::clocks::boot_now();
    let progress = state.begin_request();
    let (parts, body) = request.into_parts();
    let has_chunks = parts.version >= http::Version::HTTP_11;
    let head = state.platform().read_request(&parts);
    let attempt = head.attempt.clone();
    let outcome = answer(&state, parts, head, body, arrived_at, progress).await;
    let taken = times::clocks::boot_now().since(arrived_at);
    let mut response = match outcome {
        Ok(response) => {
            state
                .metrics()
                .count_answer("passed", response.status().as_u16(), taken);
            log::info!(
                event = "request-answered",
                attempt = attempt.as_str(),
                status = response.status().as_u16(),
                taken_ms = millis(taken);
                ""
            );
            response
        }
        Err(refusal) => {
            let response = refusal.response();
            state
                .metrics()
                .count_answer(refusal.label(), response.status().as_u16(), taken);
            log::info!(
                event = "request-refused",
                attempt = attempt.as_str(),
                cause = refusal.label(),
                status = response.status().as_u16(),
                taken_ms = millis(taken);
                ""
            );
            response
        }
    };
    if !has_chunks {
        response.body_mut().reset_when_cut(reset);
    }
    if state.is_draining() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn answer<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    parts: http::request::Parts,
    head: links::CallerHead,
    body: Incoming,
    arrived_at: times::BootTime,
    progress: state::ProgressGuard<P>,
) -> Result<http::Response<serving::EdgeBody>, serving::Refusal> {
    let document = state.document().ok_or(serving::Refusal::NoDocument)?;
    let route = document.route(&head.host, parts.uri.path());
    let route = std::sync::Arc::clone(route.ok_or(serving::Refusal::NoRoute)?);
    let grant = grant(&document, &route, &head)?;
    let body = read_body(body, document.limits(), &head).await?;
    let fingerprint = fingerprint(grant.as_ref(), &parts.uri, &body);
    let held_for = state
        .crashes()
        .held_for(fingerprint, &head.shared_parts, arrived_at);
    if let Some(retry_after) = held_for {
        log::info!(
            event = "held-request-refused",
            attempt = head.attempt.as_str(),
            fingerprint:% = fingerprint,
            prompt_parts = links::parts_text(&head.shared_parts).as_str(),
            held_ms = millis(retry_after);
            ""
        );
        return Err(serving::Refusal::HeldBack { retry_after });
    }
    let service = route.service_for(rand::random());
    let service = service.cloned().ok_or(serving::Refusal::NoRoute)?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    state.mark_served();
    state.retries().add_fresh(&service, arrived_at);
    let is_stream = route.repeat.is_stream();
    let job = serving::RequestJob {
        state: state.clone(),
        deadline: arrived_at.after(timeout),
        parts,
        body,
        head,
        document,
        route,
        service,
        grant,
        fingerprint,
        arrived_at,
    };
    if is_stream {
        let platform = state.platform().clone();
        return match stream_run::run(job, progress).await? {
            stream_run::StreamStart::Stream(head, receiver) => {
                let body = serving::EdgeBody::stream(receiver);
                Ok(response_of(&platform, &head, body, true))
            }
            stream_run::StreamStart::Whole(head, body) => Ok(response_of(
                &platform,
                &head,
                serving::EdgeBody::whole(body),
                false,
            )),
        };
    }
    let (head, body) = buffered_run::run(&job).await?;
    Ok(response_of(
        state.platform(),
        &head,
        serving::EdgeBody::whole(body),
        false,
    ))
}

fn grant(
    document: &documents::FleetDocument,
    route: &documents::RouteRule,
    head: &links::CallerHead,
) -> Result<Option<documents::CustomerGrant>, serving::Refusal> {
    let known = head.key.as_deref().and_then(|key| document.customer(key));
    if known.is_none() && document.needs_keys() && !route.is_public {
        return Err(serving::Refusal::BadKey);
    }
    Ok(known.cloned())
}

/// Returns the fingerprint of a request, which is the same whenever the same customer sends it.
fn fingerprint(
    grant: Option<&documents::CustomerGrant>,
    uri: &http::Uri,
    body: &[u8],
) -> ids::RequestFingerprint {
    let customer = grant.map_or("", |grant| grant.customer.as_str());
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    ids::RequestFingerprint::of(customer, path, body)
}

async fn read_body(
    mut body: Incoming,
    limits: documents::CallerLimits,
    head: &links::CallerHead,
) -> Result<bytes::Bytes, serving::Refusal> {
    let max_size = usize::try_from(limits.body_size.get()).unwrap_or(usize::MAX);
    let stated = body.size_hint().exact();
    if stated.is_some_and(|stated| stated > limits.body_size.get()) {
        return Err(serving::Refusal::BodyTooLarge);
    }
    let reading = async {
        let mut whole = bytes::BytesMut::new();
        while let Some(frame) = body.frame().await {
            // The connection ended within the body, so that nobody will read the answer.
            let frame = frame.map_err(|_ended| serving::Refusal::BodyTooSlow)?;
            if let Some(data) = frame.data_ref() {
                if whole.len() + data.len() > max_size {
                    return Err(serving::Refusal::BodyTooLarge);
                }
                whole.extend_from_slice(data);
            }
        }
        Ok(whole.freeze())
    };
    let limit = head.timeout.unwrap_or(BODY_TIMEOUT);
    let read = tokio::time::timeout(limit, reading).await;
    read.unwrap_or(Err(serving::Refusal::BodyTooSlow))
}

fn response_of<P: links::FleetPlatform>(
    platform: &P,
    head: &http::response::Parts,
    body: serving::EdgeBody,
    is_stream: bool,
) -> http::Response<serving::EdgeBody> {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = platform.caller_headers(head);
    if is_stream {
        // Another target may continue the stream, so its length is not known.
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    response
}
