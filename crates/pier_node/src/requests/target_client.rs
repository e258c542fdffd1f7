//! The HTTP client for one-time requests.

use std::time;

use anyhow::Context as _;

/// Time-out for connecting to a target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Creates a client that opens a new connection for each request.
///
/// A pooled connection may be dead without notice, and a request sent on it would be lost with an
/// unknown outcome. A new connection fails before any byte of the request is sent.
///
/// # Errors
///
/// Fails when the client cannot be created.
pub(super) fn one_time() -> anyhow::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(0)
        .tcp_nodelay(true)
        .build()
        .context("creating the HTTP client for one-time requests")
}
