//! The client of the object API.

use std::{sync, time};

use pier_types::epochs;

use crate::{http, objects};

/// Header that carries an object's version.
const VERSION_HEADER: &str = "X-Object-Version";
/// Header that makes a write conditional.
const IF_VERSION_HEADER: &str = "If-Version";
/// Default time-out of a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Reads and writes the platform's objects. Clones share their connections.
///
/// ```no_run
/// use pier_platform::objects;
/// use pier_types::epochs;
///
/// # async fn example() -> anyhow::Result<()> {
/// let client = objects::ObjectClient::new("http://10.0.0.2:8000")?;
/// let absent = epochs::ObjectVersion::new(0);
/// let result = client.write("lease/mvd-a", absent, "{}".into()).await;
/// if let objects::WriteResult::Written(version) = result {
///     println!("now at version {version}");
/// }
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct ObjectClient {
    http: reqwest::Client,
    base: sync::Arc<str>,
    call_timeout: time::Duration,
}

impl ObjectClient {
    /// Creates a client for the platform at a base URL; sends nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when the URL is not HTTP or HTTPS, or TLS cannot be set up.
    pub fn new(base: &str) -> anyhow::Result<Self> {
        let url = reqwest::Url::parse(base)?;
        anyhow::ensure!(
            matches!(url.scheme(), "http" | "https"),
            "{base:?} is not an http or https URL"
        );
        Ok(Self {
            http: http::build_client()?,
            base: base.trim_end_matches('/').into(),
            call_timeout: CALL_TIMEOUT,
        })
    }

    /// Sets the time-out of calls; a watch has its waiting time in addition.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout: time::Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Reads an object.
    pub async fn read(&self, key: &str) -> objects::ReadResult {
        let call = self.http.get(self.object_url(key));
        match self.fetch(call, self.call_timeout).await {
            FetchResult::Found { version, bytes } => objects::ReadResult::Found { version, bytes },
            FetchResult::Absent => objects::ReadResult::Absent,
            FetchResult::Unchanged => {
                unavailable_read("status 304 for an unconditional read".to_owned())
            }
            FetchResult::Unavailable { reason } => unavailable_read(reason),
        }
    }

    /// Waits until an object's version is higher than `after`, for at most `wait`.
    pub async fn watch(
        &self,
        key: &str,
        after: epochs::ObjectVersion,
        wait: time::Duration,
    ) -> objects::WatchResult {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let call = self.http.get(self.object_url(key) + &query);
        match self.fetch(call, self.call_timeout + wait).await {
            FetchResult::Found { version, bytes } => {
                objects::WatchResult::Changed { version, bytes }
            }
            FetchResult::Absent => objects::WatchResult::Absent,
            FetchResult::Unchanged => objects::WatchResult::Unchanged,
            FetchResult::Unavailable { reason } => objects::WatchResult::Unavailable { reason },
        }
    }

    /// Writes an object if its current version is `if_version`; 0 means that it does not exist.
    pub async fn write(
        &self,
        key: &str,
        if_version: epochs::ObjectVersion,
        bytes: bytes::Bytes,
    ) -> objects::WriteResult {
        let call = self.http.put(self.object_url(key)).body(bytes);
        self.change(call, if_version).await
    }

    /// Deletes an object if its current version is `if_version`.
    pub async fn delete(
        &self,
        key: &str,
        if_version: epochs::ObjectVersion,
    ) -> objects::WriteResult {
        let call = self.http.delete(self.object_url(key));
        self.change(call, if_version).await
    }

    /// Lists the keys under a prefix.
    pub async fn list(&self, prefix: &str) -> objects::ListResult {
        let url = format!("{}/list?prefix={}", self.base, percent_encode(prefix));
        let call = self.http.get(url).timeout(self.call_timeout);
        let reply = match call.send().await {
            Ok(reply) if reply.status() == reqwest::StatusCode::OK => reply,
            Ok(reply) => return unavailable_list(format!("status {}", reply.status().as_u16())),
            Err(failure) => return unavailable_list(http::explain(&failure)),
        };
        match reply.json::<Vec<objects::ObjectEntry>>().await {
            Ok(entries) => objects::ListResult::Listed(entries),
            Err(failure) => unavailable_list(http::explain(&failure)),
        }
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/objects/{}", self.base, percent_encode(key))
    }

    async fn fetch(&self, call: reqwest::RequestBuilder, timeout: time::Duration) -> FetchResult {
        let reply = match call.timeout(timeout).send().await {
            Ok(reply) => reply,
            Err(failure) => return FetchResult::unavailable(http::explain(&failure)),
        };
        match reply.status() {
            reqwest::StatusCode::OK => {}
            reqwest::StatusCode::NOT_FOUND => return FetchResult::Absent,
            reqwest::StatusCode::NOT_MODIFIED => return FetchResult::Unchanged,
            status => return FetchResult::unavailable(format!("status {}", status.as_u16())),
        }
        let Some(version) = version_of(&reply) else {
            return FetchResult::unavailable(format!("no {VERSION_HEADER} in the reply"));
        };
        match http::read_value(reply).await {
            Ok(bytes) => FetchResult::Found { version, bytes },
            Err(reason) => FetchResult::unavailable(reason),
        }
    }

    async fn change(
        &self,
        call: reqwest::RequestBuilder,
        if_version: epochs::ObjectVersion,
    ) -> objects::WriteResult {
        let call = call
            .header(IF_VERSION_HEADER, if_version.to_string())
            .timeout(self.call_timeout);
        match call.send().await {
            Ok(reply) => classify_reply(&reply),
            Err(failure) if failure.is_connect() || failure.is_builder() => {
                objects::WriteResult::Unreached {
                    reason: http::explain(&failure),
                }
            }
            Err(failure) => objects::WriteResult::Unsettled {
                reason: http::explain(&failure),
            },
        }
    }
}

/// The result of a read or a watch.
enum FetchResult {
    Found {
        version: epochs::ObjectVersion,
        bytes: bytes::Bytes,
    },
    Absent,
    Unchanged,
    Unavailable {
        reason: String,
    },
}

impl FetchResult {
    fn unavailable(reason: String) -> Self {
        Self::Unavailable { reason }
    }
}

/// Classifies the reply to a write or a deletion.
///
/// After a server error the write may or may not have taken effect. A client error other than 408
/// and 409 means that it had no effect.
fn classify_reply(reply: &reqwest::Response) -> objects::WriteResult {
    let status = reply.status();
    match (status, version_of(reply)) {
        (reqwest::StatusCode::OK, Some(version)) => objects::WriteResult::Written(version),
        (reqwest::StatusCode::CONFLICT, Some(version)) => objects::WriteResult::Conflict(version),
        _ if status.is_client_error() && status != reqwest::StatusCode::REQUEST_TIMEOUT => {
            objects::WriteResult::Unreached {
                reason: format!("refused with status {}", status.as_u16()),
            }
        }
        _ => objects::WriteResult::Unsettled {
            reason: format!(
                "status {}, which does not tell whether the write took effect",
                status.as_u16()
            ),
        },
    }
}

fn version_of(reply: &reqwest::Response) -> Option<epochs::ObjectVersion> {
    let value = reply.headers().get(VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

fn unavailable_read(reason: String) -> objects::ReadResult {
    objects::ReadResult::Unavailable { reason }
}

fn unavailable_list(reason: String) -> objects::ListResult {
    objects::ListResult::Unavailable { reason }
}

/// Percent-encodes a key for a URL's path or query, except for the slashes between its levels.
fn percent_encode(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'/') {
            escaped.push(char::from(byte));
        } else {
            escaped.push('%');
            escaped.extend([byte >> 4, byte & 0x0F].map(hex_digit));
        }
    }
    escaped
}

fn hex_digit(nibble: u8) -> char {
    char::from_digit(u32::from(nibble), 16).unwrap_or('0')
}
