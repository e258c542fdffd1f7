//! The HTTP clients for requests to targets.

use std::time;

use anyhow::Context as _;

/// Time-out for connecting to a target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time after which idle connections to targets are closed, before the target would close them.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time without a byte from a target after which its connection is probed.
const KEEPALIVE_TIME: time::Duration = time::Duration::from_secs(10);

/// Interval between the probes that follow.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// A connection ends when sent bytes stay unacknowledged, or the target's window stays closed, for
/// this long. It also decides after how many unanswered probes a connection ends.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Creates a client that keeps connections open for further requests.
///
/// # Errors
///
/// Fails when the client cannot be created.
pub fn pooled() -> anyhow::Result<reqwest::Client> {
    builder()
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
        .context("creating the HTTP client")
}

/// Creates a client that opens a new connection for each request.
///
/// A pooled connection may be dead without notice, and a request sent on it would be lost with an
/// unknown outcome. A new connection fails before any byte of the request is sent.
///
/// # Errors
///
/// Fails when the client cannot be created.
pub fn one_time() -> anyhow::Result<reqwest::Client> {
    builder()
        .pool_max_idle_per_host(0)
        .build()
        .context("creating the HTTP client for one-time requests")
}

/// Starts a client that follows no redirects, uses no proxy and never retries.
fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_TIME)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_user_timeout(UNACKED_TIMEOUT)
        .tcp_nodelay(true)
}
