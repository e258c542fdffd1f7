//! What one node states to another about a request that it passes on.

use std::time;

/// Name of the header that marks a request as passed on by a node.
pub(super) const FORWARD_HEADER: &str = "pier-forward";

/// Version of the header's format.
const VERSION: &str = "1";

/// Headers that concern one connection, or the framing of a body on it.
const CONNECTION_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers that pass between nodes unchanged: all that do not concern one connection.
pub(super) fn without_connection_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let named = headers.get_all(http::header::CONNECTION);
    let options: Vec<_> = named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect();
    let mut passed = headers.clone();
    for name in CONNECTION_HEADERS {
        passed.remove(name);
    }
    for option in options {
        // A `connection` header that lists `host` must not remove it.
        if option != "host" {
            passed.remove(option.as_str());
        }
    }
    passed
}

/// The terms on which a node passes a caller's request on to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ForwardNote {
    /// Time left for the answer.
    pub time_left: time::Duration,
    /// Targets to which the other node may send the request.
    pub sends_left: u32,
    /// Whether a target may have received the request before, from the sender.
    pub may_have_run: bool,
    /// Id of the event after which a stream is to be resumed.
    pub after_event: Option<String>,
}

impl ForwardNote {
    /// Returns the header's value; the id comes last, as it may contain spaces.
    pub(super) fn text(&self) -> String {
        let millis = u64::try_from(self.time_left.as_millis()).unwrap_or(u64::MAX);
        let sends = self.sends_left;
        let has_run = u8::from(self.may_have_run);
        let note = format!("{VERSION} time={millis} sends={sends} sent={has_run}");
        match &self.after_event {
            Some(event) => format!("{note} after={event}"),
            None => note,
        }
    }

    /// Parses the header's value; `None` for another version or a malformed one.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(VERSION)?.strip_prefix(" time=")?;
        let (millis, rest) = rest.split_once(" sends=")?;
        let (sends, rest) = rest.split_once(" sent=")?;
        let (has_run, after_event) = match rest.split_once(" after=") {
            Some((has_run, event)) => (has_run, Some(event.to_owned())),
            None => (rest, None),
        };
        Some(Self {
            time_left: time::Duration::from_millis(millis.parse().ok()?),
            sends_left: sends.parse().ok()?,
            may_have_run: match has_run {
                "0" => false,
                "1" => true,
                _ => return None,
            },
            after_event,
        })
    }

    /// Returns whether the caller has already waited for a target that was lost.
    pub(super) const fn is_late(&self) -> bool {
        self.may_have_run || self.after_event.is_some()
    }
}
