//! The HTTP client that every call to the platform goes through.

use std::{error, time};

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Maximum number of idle connections to one host.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Greatest size of an object's value: some times the 1 MB that the platform allows.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// Builds a client that sends each request once: it does not retry, follow redirects or use a
/// proxy.
///
/// It brings its own TLS provider, so none has to be installed for the process.
///
/// # Errors
///
/// Fails when TLS cannot be set up.
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

/// Reads a reply's body as the value of an object.
///
/// # Errors
///
/// Fails with the reason when the body is truncated, over [`MAX_VALUE_BYTES`], or has neither a
/// length nor chunks, so that its end cannot be told from a break.
pub(crate) async fn read_value(mut reply: reqwest::Response) -> Result<bytes::Bytes, String> {
    let has_chunks = reply
        .headers()
        .contains_key(reqwest::header::TRANSFER_ENCODING);
    if reply.content_length().is_none() && !has_chunks {
        return Err("the reply has neither a length nor chunks".to_owned());
    }
    let mut value = bytes::BytesMut::new();
    while let Some(chunk) = reply.chunk().await.map_err(|failure| explain(&failure))? {
        if value.len() + chunk.len() > MAX_VALUE_BYTES {
            return Err(format!("the value is larger than {MAX_VALUE_BYTES} bytes"));
        }
        value.extend_from_slice(&chunk);
    }
    Ok(value.freeze())
}

/// Formats an error and its causes in one line.
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
