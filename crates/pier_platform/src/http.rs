//! The HTTP client that every call to the platform goes through.

use std::{error, time};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Unused connections kept to one host.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Builds a client that sends each request once and to no other place.
///
/// It names its TLS provider itself, so that none need be installed for the process.
///
/// # Errors
///
/// Fails when the TLS library can not be set up.
pub(crate) fn build_client() -> anyhow::Result<reqwest::Client> {
    let client = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build()?;
    Ok(client)
}

/// Tells an error with its causes in one line.
pub(crate) fn explain(failure: &reqwest::Error) -> String {
    let mut text = failure.to_string();
    let mut cause = error::Error::source(failure);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
