//! Answers of this node's own.

use std::time;

use crate::serving;

/// Why this node answers by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No document is known yet.
    NoDocument,
    /// No route matches.
    NoRoute,
    /// The key is not known.
    BadKey,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTooSlow,
    /// The request was not sent, and would not be answered in time.
    Overloaded { retry_after: time::Duration },
    /// No target serves it now; it was not sent.
    NoTarget { retry_after: time::Duration },
    /// A target refused it and no other one may be asked; it has not run.
    NotRun { retry_after: time::Duration },
    /// It was sent, and no answer came that can be passed on.
    Broken,
    /// The same of a request that the caller may send again.
    Lost { retry_after: time::Duration },
    /// It was sent, and its time is over.
    TimedOut,
}

impl Refusal {
    pub(super) const fn label(&self) -> &'static str {
        match self {
            Self::NoDocument => "no-document",
            Self::NoRoute => "no-route",
            Self::BadKey => "bad-key",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::Overloaded { .. } => "overloaded",
            Self::NoTarget { .. } => "no-target",
            Self::NotRun { .. } => "not-run",
            Self::Broken => "broken",
            Self::Lost { .. } => "lost",
            Self::TimedOut => "timed-out",
        }
    }

    const fn status(&self) -> http::StatusCode {
        match self {
            Self::NoDocument
            | Self::Overloaded { .. }
            | Self::NoTarget { .. }
            | Self::NotRun { .. } => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => http::StatusCode::NOT_FOUND,
            Self::BadKey => http::StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => http::StatusCode::REQUEST_TIMEOUT,
            Self::Broken | Self::Lost { .. } => http::StatusCode::BAD_GATEWAY,
            Self::TimedOut => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    const fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::NoDocument => Some(time::Duration::from_millis(500)),
            Self::Overloaded { retry_after }
            | Self::NoTarget { retry_after }
            | Self::NotRun { retry_after }
            | Self::Lost { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// Returns the answer.
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
        if matches!(self, Self::BodyTooLarge | Self::BodyTooSlow) {
            let close = http::HeaderValue::from_static("close");
            headers.insert(http::header::CONNECTION, close);
        }
        response
    }
}
