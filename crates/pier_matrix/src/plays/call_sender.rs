//! Sends a call to a node, or straight to the targets with blind retries.

use std::time;

use futures_util::StreamExt as _;

use crate::plays;

/// Times that the blind retrier tries each target.
const BLIND_ROUNDS: usize = 3;

/// Time that the blind retrier waits for one answer.
const BLIND_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Times that a caller that retries refused calls sends a call, the first time included.
const MAX_SENDS: usize = 200;

/// Time that such a caller waits before it sends the call again.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(200);

/// Sends a call to a node; repeats it while it is refused as not run, if the caller retries.
pub(super) async fn send_to_node(
    client: &reqwest::Client,
    address: &str,
    call: &plays::CallRequest,
    timeout: time::Duration,
) -> plays::CallOutcome {
    let mut outcome = send_once(client, address, call, timeout).await;
    for _again in 1..MAX_SENDS {
        if !call.retries_not_run || outcome.error_outcome() != Some("not-run") {
            break;
        }
        tokio::time::sleep(RESEND_DELAY).await;
        outcome = send_once(client, address, call, timeout).await;
    }
    outcome
}

/// Sends a call once and reads as much of the answer as arrives.
pub(super) async fn send_once(
    client: &reqwest::Client,
    address: &str,
    call: &plays::CallRequest,
    timeout: time::Duration,
) -> plays::CallOutcome {
    let method = reqwest::Method::from_bytes(call.method.as_bytes());
    let method = method.unwrap_or(reqwest::Method::POST);
    let mut request = client
        .request(method, format!("http://{address}{}", call.path))
        .bearer_auth(&call.bearer)
        .header("x-deadline-ms", call.deadline_ms.to_string())
        .header("content-type", "application/json")
        .timeout(timeout)
        .body(call.body.clone());
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    let Ok(answer) = request.send().await else {
        return plays::CallOutcome::default();
    };
    let mut outcome = plays::CallOutcome {
        status: Some(answer.status().as_u16()),
        ..plays::CallOutcome::default()
    };
    let mut parts = answer.bytes_stream();
    while let Some(part) = parts.next().await {
        let Ok(part) = part else {
            return outcome;
        };
        outcome.body.push_str(&String::from_utf8_lossy(&part));
    }
    outcome.ended = true;
    outcome
}

/// Sends a call to one target after the other until one gives a complete answer.
///
/// The received part of a broken answer is kept in front of the next one, since a streaming caller
/// has already consumed it.
pub(super) async fn send_blindly(
    client: &reqwest::Client,
    targets: &[std::net::SocketAddr],
    call: &plays::CallRequest,
) -> plays::CallOutcome {
    let mut call = call.clone();
    if let Some(path) = call.path.strip_prefix("/services/ledger") {
        call.path = path.to_owned();
    }
    let mut outcome = plays::CallOutcome::default();
    let mut received = String::new();
    for target in targets.iter().cycle().take(BLIND_ROUNDS * targets.len()) {
        let address = target.to_string();
        outcome = send_once(client, &address, &call, BLIND_TIMEOUT).await;
        if outcome.is_complete() {
            outcome.body.insert_str(0, &received);
            return outcome;
        }
        if outcome.status.is_some_and(|status| status < 400) {
            received.push_str(&outcome.body);
        }
    }
    outcome
}
