//! The rule that says whether a request may be sent again.

use std::{fmt, str};

use crate::attempts;

/// When a request may be sent to a target again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatRule {
    /// The request carries an idempotency key: it is never sent again once a byte of it may have
    /// left this node.
    OneTime,
    /// The request is never sent again once it may have started.
    NotRepeatable,
    /// The request may be sent again even if it may have run.
    Repeatable,
}

impl RepeatRule {
    /// Returns whether another attempt may follow an attempt with this end.
    pub const fn allows(self, end: attempts::AttemptEnd) -> bool {
        match (self, end) {
            (Self::OneTime, attempts::AttemptEnd::NotConnected) => true,
            (Self::OneTime, _) => false,
            (Self::NotRepeatable, end) => matches!(
                end,
                attempts::AttemptEnd::NotConnected | attempts::AttemptEnd::NotStarted
            ),
            // The other targets would reject it too, and no time is left after the deadline.
            (Self::Repeatable, end) => !matches!(
                end,
                attempts::AttemptEnd::Rejected | attempts::AttemptEnd::TimedOut
            ),
        }
    }
}

impl fmt::Display for RepeatRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneTime => "one-time",
            Self::NotRepeatable => "not-repeatable",
            Self::Repeatable => "repeatable",
        })
    }
}

impl str::FromStr for RepeatRule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "one-time" => Ok(Self::OneTime),
            "not-repeatable" => Ok(Self::NotRepeatable),
            "repeatable" => Ok(Self::Repeatable),
            other => Err(format!(
                "{other:?} is not one of one-time, not-repeatable, repeatable"
            )),
        }
    }
}
