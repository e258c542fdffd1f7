//! One request as a stand-in sees it.

use std::{collections, net, str};

use bytes::Bytes;

/// A request whose body was read whole.
#[derive(Debug, Clone)]
pub(crate) struct FakeRequest {
    /// Its place in the record; 0 if it is not recorded.
    pub sequence: u64,
    /// The server's view of the connection that it came by.
    pub client: Option<net::SocketAddr>,
    /// The method in capitals.
    pub method: String,
    /// The path without its leading slash.
    pub path: String,
    /// The query's fields.
    pub query: collections::BTreeMap<String, String>,
    /// The headers, names in small letters; the last of equal names counts.
    pub headers: collections::BTreeMap<String, String>,
    /// The body.
    pub body: Bytes,
}

impl FakeRequest {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns a header read as a value; nothing if it is absent or does not parse.
    pub(crate) fn parsed_header<T: str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }

    /// Returns a query field read as a value; nothing if it is absent or does not parse.
    pub(crate) fn parsed_query<T: str::FromStr>(&self, name: &str) -> Option<T> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns the method and the parts of the path, for matching.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        (&self.method, self.path.split('/').collect())
    }
}
