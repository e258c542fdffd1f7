//! What may be repeated.

use std::{fmt, str};

use crate::attempts;

/// How often a request may reach a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatRule {
    /// It carries an idempotency key: never sent again once a byte may have left this node.
    OneTime,
    /// Never sent again once it may have started.
    NotRepeatable,
    /// May be sent again, whatever became of it.
    Repeatable,
}

impl RepeatRule {
    /// Tells whether another attempt may follow an end.
    pub const fn allows(self, end: attempts::AttemptEnd) -> bool {
        match (self, end) {
            (Self::OneTime, attempts::AttemptEnd::NotConnected) => true,
            (Self::OneTime, _) => false,
            (Self::NotRepeatable, end) => matches!(
                end,
                attempts::AttemptEnd::NotConnected | attempts::AttemptEnd::NotStarted
            ),
            // What one target can not do no other can; a passed deadline stays passed.
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
