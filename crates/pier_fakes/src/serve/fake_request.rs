//! A request to a fake server.

use std::{collections, net, str};

use bytes::Bytes;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub(crate) struct FakeRequest {
    /// Its sequence in the record; 0 if it is not recorded.
    pub sequence: u64,
    /// The peer address of the connection as the HTTP server sees it, which is the proxy's.
    pub client: Option<net::SocketAddr>,
    /// The method in upper case.
    pub method: String,
    /// The path without its leading slash.
    pub path: String,
    /// The query parameters.
    pub query: collections::BTreeMap<String, String>,
    /// The headers, with lower-case names; of equal names the last one counts.
    pub headers: collections::BTreeMap<String, String>,
    /// The body.
    pub body: Bytes,
}

impl FakeRequest {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns a parsed header; `None` if it is absent or does not parse.
    pub(crate) fn parsed_header<T: str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }

    /// Returns a parsed query parameter; `None` if it is absent or does not parse.
    pub(crate) fn parsed_query<T: str::FromStr>(&self, name: &str) -> Option<T> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns the method and the path segments.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        (&self.method, self.path.split('/').collect())
    }
}
