//! Numbered result codes.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::codes;

/// A numbered result, stable across releases.
///
/// ```
/// use pier_types::codes;
///
/// let code = codes::ResultCode::Overloaded;
/// assert_eq!(code.number(), 2001);
/// assert_eq!(code.outcome(), codes::RunOutcome::NotRun);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
pub enum ResultCode {
    /// The body is not valid or lacks a field.
    MalformedBody,
    /// No model of this name is configured.
    UnknownModel,
    /// The credentials belong to no configured customer.
    UnknownCustomer,
    /// The body is over the size limit.
    BodyTooLarge,
    /// The idempotency key does not have the required format.
    MalformedKey,
    /// The idempotency key is older than the retention time of results.
    ExpiredKey,
    /// The deadline header is missing where it is required, or is not a number of milliseconds.
    MalformedDeadline,
    /// No plain service of this name is configured.
    UnknownService,
    /// The idempotency key was used before for a different request; this one did not run.
    ReusedKey,
    /// The body did not arrive completely in time.
    IncompleteBody,
    /// No such path or method.
    UnknownRoute,
    /// Every target is at its in-flight limit.
    Overloaded,
    /// The system is full and this customer already uses its share of it.
    CustomerOverShare,
    /// No target serves this model or service now.
    NoServingTarget,
    /// The request cannot be answered before its deadline.
    DeadlineTooClose,
    /// This node is shutting down.
    NodeDraining,
    /// The same request crashed several targets and is quarantined for a while.
    RequestQuarantined,
    /// The attempt did not run, and the retry budget is exhausted.
    RetryBudgetSpent,
    /// This node has no memory for the body now.
    BodyCrowded,
    /// A one-time request needs the platform, which is unavailable.
    PlatformUnavailable,
    /// This node has no configuration yet.
    ConfigUnavailable,
    /// The outcome of claiming a one-time request is unknown; the request was not dispatched.
    ClaimUnknown,
    /// The target reported that it did not start the request.
    TargetRefused,
    /// The target was lost after the request was sent.
    TargetLost,
    /// The target ran the request and answered with a failure.
    TargetFailed,
    /// The answer was interrupted and could not be resumed.
    StreamBroken,
    /// The deadline passed; the request may have run.
    DeadlinePassed,
    /// The key was claimed before and the outcome is unknown; the request is never run again.
    EarlierOutcomeUnknown,
    /// The key was claimed before and that run has not ended.
    EarlierRunActive,
    /// The node that the request was forwarded to became unreachable.
    NodeLost,
    /// The configuration document has changed since it was read.
    ConfigConflict,
    /// The configuration document was refused; nothing changed.
    ConfigInvalid,
    /// The write of the configuration document may have taken effect.
    ConfigOutcomeUnknown,
    /// An internal error.
    InternalFault,
}

impl ResultCode {
    /// Every code, in ascending order.
    pub const ALL: &[Self] = &[
        Self::MalformedBody,
        Self::UnknownModel,
        Self::UnknownCustomer,
        Self::BodyTooLarge,
        Self::MalformedKey,
        Self::ExpiredKey,
        Self::MalformedDeadline,
        Self::UnknownService,
        Self::ReusedKey,
        Self::IncompleteBody,
        Self::UnknownRoute,
        Self::Overloaded,
        Self::CustomerOverShare,
        Self::NoServingTarget,
        Self::DeadlineTooClose,
        Self::NodeDraining,
        Self::RequestQuarantined,
        Self::RetryBudgetSpent,
        Self::BodyCrowded,
        Self::PlatformUnavailable,
        Self::ConfigUnavailable,
        Self::ClaimUnknown,
        Self::TargetRefused,
        Self::TargetLost,
        Self::TargetFailed,
        Self::StreamBroken,
        Self::DeadlinePassed,
        Self::EarlierOutcomeUnknown,
        Self::EarlierRunActive,
        Self::NodeLost,
        Self::ConfigConflict,
        Self::ConfigInvalid,
        Self::ConfigOutcomeUnknown,
        Self::InternalFault,
    ];

    /// Returns the number of the code.
    pub const fn number(self) -> u16 {
        match self {
            Self::MalformedBody => 1001,
            Self::UnknownModel => 1002,
            Self::UnknownCustomer => 1003,
            Self::BodyTooLarge => 1004,
            Self::MalformedKey => 1005,
            Self::ExpiredKey => 1006,
            Self::MalformedDeadline => 1007,
            Self::UnknownService => 1008,
            Self::ReusedKey => 1010,
            Self::IncompleteBody => 1011,
            Self::UnknownRoute => 1012,
            Self::Overloaded => 2001,
            Self::CustomerOverShare => 2002,
            Self::NoServingTarget => 2003,
            Self::DeadlineTooClose => 2004,
            Self::NodeDraining => 2005,
            Self::RequestQuarantined => 2006,
            Self::RetryBudgetSpent => 2007,
            Self::BodyCrowded => 2008,
            Self::PlatformUnavailable => 3001,
            Self::ConfigUnavailable => 3002,
            Self::ClaimUnknown => 3003,
            Self::TargetRefused => 4001,
            Self::TargetLost => 4002,
            Self::TargetFailed => 4003,
            Self::StreamBroken => 4004,
            Self::DeadlinePassed => 4005,
            Self::EarlierOutcomeUnknown => 4006,
            Self::EarlierRunActive => 4007,
            Self::NodeLost => 4008,
            Self::ConfigConflict => 5001,
            Self::ConfigInvalid => 5002,
            Self::ConfigOutcomeUnknown => 5003,
            Self::InternalFault => 9001,
        }
    }

    /// Returns the HTTP status that carries the code.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::MalformedBody
            | Self::MalformedKey
            | Self::ExpiredKey
            | Self::MalformedDeadline => 400,
            Self::UnknownCustomer => 401,
            Self::UnknownModel | Self::UnknownService | Self::UnknownRoute => 404,
            Self::IncompleteBody => 408,
            Self::EarlierOutcomeUnknown | Self::EarlierRunActive | Self::ConfigConflict => 409,
            Self::BodyTooLarge => 413,
            Self::ReusedKey | Self::RequestQuarantined | Self::ConfigInvalid => 422,
            Self::Overloaded | Self::CustomerOverShare => 429,
            Self::InternalFault => 500,
            Self::TargetLost | Self::TargetFailed | Self::StreamBroken | Self::NodeLost => 502,
            Self::NoServingTarget
            | Self::DeadlineTooClose
            | Self::NodeDraining
            | Self::RetryBudgetSpent
            | Self::BodyCrowded
            | Self::PlatformUnavailable
            | Self::ConfigUnavailable
            | Self::ClaimUnknown
            | Self::TargetRefused => 503,
            Self::DeadlinePassed | Self::ConfigOutcomeUnknown => 504,
        }
    }

    /// Returns what the code alone says about whether the request ran.
    pub const fn outcome(self) -> codes::RunOutcome {
        match self {
            Self::TargetLost
            | Self::StreamBroken
            | Self::DeadlinePassed
            | Self::EarlierOutcomeUnknown
            | Self::EarlierRunActive
            | Self::NodeLost
            | Self::ConfigOutcomeUnknown
            | Self::InternalFault => codes::RunOutcome::Unknown,
            Self::TargetFailed => codes::RunOutcome::RanFailed,
            _ => codes::RunOutcome::NotRun,
        }
    }

    /// Returns the meaning of the code in one sentence, as shown to callers.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::MalformedBody => "The body does not parse or lacks a field.",
            Self::UnknownModel => "No model of this name is configured.",
            Self::UnknownCustomer => "The credentials belong to no configured customer.",
            Self::BodyTooLarge => "The body is over the size limit.",
            Self::MalformedKey => "The idempotency key is not in the required form.",
            Self::ExpiredKey => "The idempotency key was issued longer ago than results are kept.",
            Self::MalformedDeadline => {
                "The deadline header is missing where needed, or not a number of milliseconds."
            }
            Self::UnknownService => "No plain service of this name is configured.",
            Self::ReusedKey => {
                "The idempotency key was used before with another request; this one did not run."
            }
            Self::IncompleteBody => "The body did not arrive whole in time.",
            Self::UnknownRoute => "No such path or method.",
            Self::Overloaded => "Every target is at its limit.",
            Self::CustomerOverShare => "This customer already holds its share of a full system.",
            Self::NoServingTarget => "No target serves this model or service now.",
            Self::DeadlineTooClose => "The deadline can not be met.",
            Self::NodeDraining => "This node is shutting down.",
            Self::RequestQuarantined => {
                "The same request crashed several targets; it is kept away from the rest for a while."
            }
            Self::RetryBudgetSpent => {
                "The attempt did not run, and the budget for retries is spent."
            }
            Self::BodyCrowded => "This node has no memory for the request's body now.",
            Self::PlatformUnavailable => {
                "A request that may run only once needs the platform, which is away."
            }
            Self::ConfigUnavailable => "This node has no configuration yet.",
            Self::ClaimUnknown => {
                "The claim of a one-time request could not be settled; it was not dispatched."
            }
            Self::TargetRefused => "The target said that it did not start the request.",
            Self::TargetLost => "The target was lost after the request was sent.",
            Self::TargetFailed => "The target ran the request and answered with a failure.",
            Self::StreamBroken => "The answer broke off and could not be resumed.",
            Self::DeadlinePassed => "The deadline passed while the request may have been running.",
            Self::EarlierOutcomeUnknown => {
                "The key was claimed before and no outcome is known; it is never run again."
            }
            Self::EarlierRunActive => "The key was claimed before and its run has not ended.",
            Self::NodeLost => "The node that the request was forwarded to was lost.",
            Self::ConfigConflict => "The document changed since it was read.",
            Self::ConfigInvalid => "The document was refused; nothing changed.",
            Self::ConfigOutcomeUnknown => "The write of the document may have taken effect.",
            Self::InternalFault => "A fault of the system itself.",
        }
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.number(), f)
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        let known = Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number);
        known.ok_or_else(|| format!("{number} is no result code"))
    }
}

impl str::FromStr for ResultCode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse::<u16>().map_err(|error| error.to_string())?;
        Self::try_from(number)
    }
}
