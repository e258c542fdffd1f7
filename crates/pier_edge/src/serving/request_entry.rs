//! The entry point of requests: reads one, finds its route and runs it.

use std::{net, sync, time};

use hyper::body::Incoming;
use pier_fleet::documents;
use pier_types::{ids, times};

use super::{buffered_run, request_job::millis, stream_run};
use crate::{links, serving, state};

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    Caller,
    /// Another node passes a caller's request on.
    Node(net::IpAddr),
}

/// Answers one request and records the answer in log and metrics.
pub(super) async fn serve<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    request: http::Request<Incoming>,
    reset: serving::ResetSwitch,
    origin: RequestOrigin,
) -> http::Response<serving::EdgeBody> {
    let arrived_at = times::clocks::boot_now();
    let (mut parts, body) = request.into_parts();
    let has_chunks = parts.version >= http::Version::HTTP_11;
    let note = parts.headers.remove(serving::FORWARD_HEADER);
    let mut head = state.platform().read_request(&parts);
    let attempt = head.attempt.clone();
    let outcome = match begin(&state, origin, note.as_ref(), &mut head) {
        Ok((progress, forward)) => {
            let request = ReadHead {
                parts,
                head,
                forward,
                arrived_at,
            };
            answer(&state, request, body, progress, &reset).await
        }
        Err(refusal) => Err(refusal),
    };
    let taken = times::clocks::boot_now().since(arrived_at);
    let mut response = match outcome {
        Ok(response) => {
            count(&state, origin, "passed", response.status(), taken);
            log::info!(
                event = "request-answered",
                attempt = attempt.as_str(),
                is_forwarded = origin != RequestOrigin::Caller,
                status = response.status().as_u16(),
                taken_ms = millis(taken);
                ""
            );
            response
        }
        Err(refusal) => {
            let mut response = refusal.response();
            if origin != RequestOrigin::Caller {
                let label = http::HeaderValue::from_static(refusal.label());
                let headers = response.headers_mut();
                headers.insert(serving::REFUSAL_HEADER, label);
            }
            count(&state, origin, refusal.label(), response.status(), taken);
            log::info!(
                event = "request-refused",
                attempt = attempt.as_str(),
                is_forwarded = origin != RequestOrigin::Caller,
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

fn count<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    origin: RequestOrigin,
    cause: &str,
    status: http::StatusCode,
    taken: time::Duration,
) {
    match origin {
        RequestOrigin::Caller => state.metrics().count_answer(cause, status.as_u16(), taken),
        RequestOrigin::Node(_) => state.metrics().count_forward_received(cause),
    }
}

/// A request of which the body has not been read yet.
struct ReadHead {
    parts: http::request::Parts,
    head: links::CallerHead,
    /// The note of the node that passed the request on.
    forward: Option<serving::ForwardNote>,
    arrived_at: times::BootTime,
}

/// Counts a request that another node passes on, and applies the note of the node that passed it on.
///
/// # Errors
///
/// Fails when another node's request is not taken.
fn begin<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    origin: RequestOrigin,
    note: Option<&http::HeaderValue>,
    head: &mut links::CallerHead,
) -> Result<(state::ProgressGuard<P>, Option<serving::ForwardNote>), serving::Refusal> {
    let RequestOrigin::Node(from) = origin else {
        return Ok((state.begin_request(), None));
    };
    let note = note
        .and_then(|note| str::from_utf8(note.as_bytes()).ok())
        .and_then(serving::ForwardNote::parse)
        .ok_or(serving::Refusal::UnreadableForward)?;
    let progress = state.begin_forwarded(from);
    let progress = progress.ok_or(serving::Refusal::TooManyForwards)?;
    head.timeout = Some(note.time_left);
    if note.after_event.is_some() {
        head.last_event.clone_from(&note.after_event);
    }
    Ok((progress, Some(note)))
}

async fn answer<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    request: ReadHead,
    body: Incoming,
    progress: state::ProgressGuard<P>,
    reset: &serving::ResetSwitch,
) -> Result<http::Response<serving::EdgeBody>, serving::Refusal> {
    let ReadHead {
        parts,
        head,
        forward,
        arrived_at,
    } = request;
    let document = state.document().ok_or(serving::Refusal::NoDocument)?;
    let route = document.route(&head.host, parts.uri.path());
    let route = sync::Arc::clone(route.ok_or(serving::Refusal::NoRoute)?);
    let grant = grant(&document, &route, &head)?;
    let body = serving::BodyReader::read(state, body, document.limits(), &head).await;
    let body = body.map_err(|refusal| match refusal {
        // A label that nodes of earlier builds understand.
        serving::Refusal::BodyCrowded if forward.is_some() => serving::Refusal::TooManyForwards,
        refusal => refusal,
    })?;
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
    let is_forwarded = forward.is_some();
    if !is_forwarded {
        // The node that passed a request on has counted it.
        state.retries().add_fresh(&service, arrived_at);
    }
    let is_stream = route.repeat.is_stream();
    let job = serving::RequestJob {
        state: state.clone(),
        deadline: arrived_at.after(timeout),
        parts,
        body,
        head,
        forward,
        document,
        route,
        service,
        grant,
        fingerprint,
        arrived_at,
        reset: reset.clone(),
        unreached: sync::atomic::AtomicU32::new(0),
        may_have_run: sync::atomic::AtomicBool::new(false),
    };
    if is_stream {
        let platform = state.platform().clone();
        return match stream_run::run(job, progress).await? {
            stream_run::StreamStart::Stream(head, receiver) => {
                let body = serving::EdgeBody::stream(receiver);
                let headers = passed_headers(&platform, &head, is_forwarded);
                Ok(response_of(&head, headers, body, true))
            }
            stream_run::StreamStart::Whole(head, body) => {
                let headers = passed_headers(&platform, &head, is_forwarded);
                let body = serving::EdgeBody::Whole(body);
                Ok(response_of(&head, headers, body, false))
            }
        };
    }
    let (head, body) = buffered_run::run(&job).await?;
    let headers = passed_headers(state.platform(), &head, is_forwarded);
    let body = serving::EdgeBody::Whole(body);
    Ok(response_of(&head, headers, body, false))
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

/// Returns the headers of an answer to the caller, or to the node that passed the request on; it
/// gets the target's own, except for those that concern one connection.
fn passed_headers<P: links::FleetPlatform>(
    platform: &P,
    head: &http::response::Parts,
    is_forwarded: bool,
) -> http::HeaderMap {
    let mut headers = if is_forwarded {
        serving::without_connection_headers(&head.headers)
    } else {
        platform.caller_headers(head)
    };
    headers.remove(serving::REFUSAL_HEADER);
    headers
}

fn response_of(
    head: &http::response::Parts,
    headers: http::HeaderMap,
    body: serving::EdgeBody,
    is_stream: bool,
) -> http::Response<serving::EdgeBody> {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    if is_stream {
        // Another target may continue the stream, so its length is not known.
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    response
}
