//! The HTTP client for one-time requests.

use std::time;

use anyhow::Context as _;

/// Bound on connecting to a target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Makes a client that opens a connection for each request.
///
/// A kept connection may be dead without a sign; the request would then be lost with an unknown
/// outcome, where a new connection fails before any byte of it was sent.
///
/// # Errors
///
/// Fails when the client can not be made.
pub(super) fn one_time() -> anyhow::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(0)
        .tcp_nodelay(true)
        .build()
        .context("making the HTTP client for one-time requests")
}
