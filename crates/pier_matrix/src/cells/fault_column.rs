//! The columns of the matrix: the faults.

use std::{fmt, str};

/// A fault under which the promises must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultColumn {
    /// A member or target dies.
    MemberDies,
    /// A member or target pauses.
    MemberPauses,
    /// A member or target is slow.
    MemberStraggles,
    /// A member or target comes back with a new incarnation.
    MemberReturns,
    /// A whole fabric domain fails.
    DomainDark,
    /// Nodes of one data centre are cut off from one another.
    NodesParted,
    /// Data centres are cut off from one another.
    CentresParted,
    /// One node is cut off from the platform.
    PlatformParted,
    /// A target turns cold without warning.
    ColdAgain,
    /// The platform is down.
    PlatformDown,
    /// The platform is slow, or its reads lag.
    PlatformSlow,
    /// A write takes effect and its reply is lost.
    ReplyLost,
    /// A lease lapses while its holder is paused.
    LeaseLapsed,
    /// Operators make conflicting changes.
    OperatorsRace,
    /// A request crashes each target that runs it and is sent again.
    PoisonRequest,
    /// A node is killed.
    NodeKilled,
    /// A node is frozen and resumes later.
    NodeFrozen,
    /// A node is replaced by a new one.
    NodeReplaced,
    /// The step by itself, without a fault.
    NoFault,
    /// Two of these faults at once.
    TwoFaults,
    /// The same fault twice.
    FaultTwice,
}

impl FaultColumn {
    /// All faults, in the order of the page.
    pub const ALL: &[Self] = &[
        Self::MemberDies,
        Self::MemberPauses,
        Self::MemberStraggles,
        Self::MemberReturns,
        Self::DomainDark,
        Self::NodesParted,
        Self::CentresParted,
        Self::PlatformParted,
        Self::ColdAgain,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::ReplyLost,
        Self::LeaseLapsed,
        Self::OperatorsRace,
        Self::PoisonRequest,
        Self::NodeKilled,
        Self::NodeFrozen,
        Self::NodeReplaced,
        Self::NoFault,
        Self::TwoFaults,
        Self::FaultTwice,
    ];

    /// Returns the name used in case files.
    pub const fn name(self) -> &'static str {
        match self {
            Self::MemberDies => "member-dies",
            Self::MemberPauses => "member-pauses",
            Self::MemberStraggles => "member-straggles",
            Self::MemberReturns => "member-returns",
            Self::DomainDark => "domain-dark",
            Self::NodesParted => "nodes-parted",
            Self::CentresParted => "centres-parted",
            Self::PlatformParted => "platform-parted",
            Self::ColdAgain => "cold-again",
            Self::PlatformDown => "platform-down",
            Self::PlatformSlow => "platform-slow",
            Self::ReplyLost => "reply-lost",
            Self::LeaseLapsed => "lease-lapsed",
            Self::OperatorsRace => "operators-race",
            Self::PoisonRequest => "poison-request",
            Self::NodeKilled => "node-killed",
            Self::NodeFrozen => "node-frozen",
            Self::NodeReplaced => "node-replaced",
            Self::NoFault => "no-fault",
            Self::TwoFaults => "two-faults",
            Self::FaultTwice => "fault-twice",
        }
    }

    /// Returns the sentence that describes the fault on the page.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::MemberDies => "A member or target dies.",
            Self::MemberPauses => "A member or target pauses.",
            Self::MemberStraggles => "A member or target is slow.",
            Self::MemberReturns => "A member or target comes back with a new incarnation.",
            Self::DomainDark => "A whole fabric domain goes dark.",
            Self::NodesParted => "Nodes of one data centre are cut off from one another.",
            Self::CentresParted => "Data centres are cut off from one another.",
            Self::PlatformParted => "One node is cut off from the platform.",
            Self::ColdAgain => "A target turns cold without warning.",
            Self::PlatformDown => "The platform is down.",
            Self::PlatformSlow => "The platform is slow, or its reads lag.",
            Self::ReplyLost => "A write takes effect and its reply is lost.",
            Self::LeaseLapsed => "A lease lapses while its holder is paused.",
            Self::OperatorsRace => "Operators make conflicting changes.",
            Self::PoisonRequest => "A request crashes each target that runs it and is sent again.",
            Self::NodeKilled => "A node is killed.",
            Self::NodeFrozen => "A node is frozen and wakes later.",
            Self::NodeReplaced => "A node is replaced by a new one.",
            Self::NoFault => "The step by itself, without a fault.",
            Self::TwoFaults => "Two of these at once.",
            Self::FaultTwice => "The same fault twice.",
        }
    }
}

impl fmt::Display for FaultColumn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl str::FromStr for FaultColumn {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.iter().copied().find(|value| value.name() == text);
        known.ok_or_else(|| format!("{text:?} is not a known fault"))
    }
}
