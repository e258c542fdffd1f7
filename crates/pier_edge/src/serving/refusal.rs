//! Answers that this node gives itself, without one from a target.

use std::time;

use crate::serving;

/// When a caller may repeat a request that another node did not take over.
const FORWARD_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

/// When a caller may repeat a request whose body was given up.
const BODY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Why this node answers a request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The configuration document has not been read yet.
    NoDocument,
    /// No route matches.
    NoRoute,
    /// The caller's key is unknown.
    BadKey,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The body was given up, as the node has no memory for it; the request was not sent.
    BodyCrowded,
    /// Every target is too busy to answer in time; the request was not sent.
    Overloaded { retry_after: time::Duration },
    /// No target serves the request now; it was not sent, or no connection could be opened.
    NoTarget { retry_after: time::Duration },
    /// Every target that could serve the request wants no request until then; it was not sent, or
    /// the targets to which it was sent turned it away.
    Paused { retry_after: time::Duration },
    /// The request has not run: targets refused it or could not be reached, and no further
    /// attempt is allowed.
    NotRun { retry_after: time::Duration },
    /// The targets that ran the request crashed, so that it is held back; it was not sent.
    HeldBack { retry_after: time::Duration },
    /// The request was sent and may have run, but no usable answer came.
    Broken,
    /// Like [`Self::Broken`], for a request that the caller may safely repeat.
    Lost { retry_after: time::Duration },
    /// The request was sent and was not answered before its deadline.
    TimedOut,
    /// Another node passed on more requests than this one takes from it; it was not sent.
    TooManyForwards,
    /// Another node's request lacks its note, or the note is not understood; it was not sent.
    UnreadableForward,
    /// The node to which the request was passed on refused it; it has not run.
    ByNode(serving::NodeRefusal),
}

impl Refusal {
    pub(super) const fn label(&self) -> &'static str {
        match self {
            Self::NoDocument => "no-document",
            Self::NoRoute => "no-route",
            Self::BadKey => "bad-key",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::BodyCrowded => "body-crowded",
            Self::Overloaded { .. } => "overloaded",
            Self::NoTarget { .. } => "no-target",
            Self::Paused { .. } => "paused",
            Self::NotRun { .. } => "not-run",
            Self::HeldBack { .. } => "held-back",
            Self::Broken => "broken",
            Self::Lost { .. } => "lost",
            Self::TimedOut => "timed-out",
            Self::TooManyForwards => "too-many-forwards",
            Self::UnreadableForward => "unreadable-forward",
            Self::ByNode(_) => "refused-by-node",
        }
    }

    const fn status(&self) -> http::StatusCode {
        match self {
            Self::NoDocument
            | Self::Overloaded { .. }
            | Self::NoTarget { .. }
            | Self::Paused { .. }
            | Self::NotRun { .. }
            | Self::HeldBack { .. }
            | Self::BodyCrowded
            | Self::TooManyForwards
            | Self::UnreadableForward => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => http::StatusCode::NOT_FOUND,
            Self::BadKey => http::StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => http::StatusCode::REQUEST_TIMEOUT,
            Self::Broken | Self::Lost { .. } => http::StatusCode::BAD_GATEWAY,
            Self::TimedOut => http::StatusCode::GATEWAY_TIMEOUT,
            Self::ByNode(refusal) => refusal.status,
        }
    }

    const fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::NoDocument => Some(time::Duration::from_millis(500)),
            Self::Overloaded { retry_after }
            | Self::NoTarget { retry_after }
            | Self::Paused { retry_after }
            | Self::NotRun { retry_after }
            | Self::HeldBack { retry_after }
            | Self::Lost { retry_after } => Some(*retry_after),
            Self::BodyCrowded => Some(BODY_RETRY_AFTER),
            Self::TooManyForwards | Self::UnreadableForward => Some(FORWARD_RETRY_AFTER),
            Self::ByNode(refusal) => refusal.retry_after,
            _ => None,
        }
    }

    /// Returns the answer to the caller.
    pub(super) fn response(&self) -> http::Response<serving::EdgeBody> {
        let text = format!("{}\n", self.label());
        let mut response = http::Response::new(serving::EdgeBody::whole(text.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/plain"),
        );
        if let Some(wait) = self.retry_after() {
            let seconds = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = http::HeaderValue::from_str(&seconds) {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        if matches!(
            self,
            Self::BodyTooLarge | Self::BodyTooSlow | Self::BodyCrowded
        ) {
            let close = http::HeaderValue::from_static("close");
            headers.insert(http::header::CONNECTION, close);
        }
        response
    }
}
