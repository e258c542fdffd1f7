//! The reasons that a plan gives for its changes.

use std::fmt;

use pier_types::{epochs, ids};

/// One change to the placement, or one condition that prevented a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanReason {
    /// A new lease holder writes its term to the placement, so that conditional writes of earlier
    /// holders fail.
    TermTaken(epochs::LeaseTerm),
    /// Failed members of a group were replaced, or kept their slots after a restart.
    Repaired {
        /// The group.
        group: u64,
        /// How many members changed.
        replaced: usize,
    },
    /// Spares start to load weights so that they can replace members that are leaving or slow.
    SuccessorPrepared {
        /// The group.
        group: u64,
        /// How many members will be replaced.
        replaced: usize,
    },
    /// A group's successor became its current members.
    SuccessorTookOver(u64),
    /// A group's successor was discarded since one of its members failed.
    SuccessorDropped(u64),
    /// A group got a new generation, since a member had applied an order other than the current
    /// one.
    GenerationRaised(u64),
    /// A group ended so that its members could complete another group.
    BrokenUp {
        /// The group that ended.
        group: u64,
        /// The group that receives its members.
        receiver: u64,
    },
    /// A group that cannot be repaired ended, since another domain has room for all its members.
    Moved(u64),
    /// A group remains incomplete: its domain lacks spares, and it is not formed in another one.
    LeftShort {
        /// The group.
        group: u64,
        /// How many members are missing.
        missing: usize,
    },
    /// A domain has an outage, so its unreachable members are not replaced for a while.
    DomainHeld(ids::DomainName),
    /// So many VMs are unreachable that this node itself is probably cut off.
    ViewDoubtful,
    /// The VM list has conflicting entries for a VM, which is therefore not used.
    VmAmbiguous(ids::VmName),
    /// A group was formed.
    Formed(u64),
    /// A group got a new recipe and kept its VMs.
    Updated(u64),
    /// A group ended as surplus, or to be formed again with a new version or size.
    Removed(u64),
    /// No domain has room for another group of the model.
    Unplaceable(ids::ModelName),
}

impl fmt::Display for PlanReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TermTaken(term) => write!(f, "term-taken term={term}"),
            Self::Repaired { group, replaced } => {
                write!(f, "repaired group={group} replaced={replaced}")
            }
            Self::SuccessorPrepared { group, replaced } => {
                write!(f, "successor-prepared group={group} replaced={replaced}")
            }
            Self::SuccessorTookOver(group) => write!(f, "successor-took-over group={group}"),
            Self::SuccessorDropped(group) => write!(f, "successor-dropped group={group}"),
            Self::GenerationRaised(group) => write!(f, "generation-raised group={group}"),
            Self::BrokenUp { group, receiver } => {
                write!(f, "broken-up group={group} receiver={receiver}")
            }
            Self::Moved(group) => write!(f, "moved group={group}"),
            Self::LeftShort { group, missing } => {
                write!(f, "left-short group={group} missing={missing}")
            }
            Self::DomainHeld(domain) => write!(f, "domain-held domain={domain}"),
            Self::ViewDoubtful => f.write_str("view-doubtful"),
            Self::VmAmbiguous(vm) => write!(f, "vm-ambiguous vm={vm}"),
            Self::Formed(group) => write!(f, "formed group={group}"),
            Self::Updated(group) => write!(f, "updated group={group}"),
            Self::Removed(group) => write!(f, "removed group={group}"),
            Self::Unplaceable(model) => write!(f, "unplaceable model={model}"),
        }
    }
}
