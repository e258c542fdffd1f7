//! Why a plan changes something.

use std::fmt;

use pier_types::{epochs, ids};

/// One change, or one thing that could not be changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanReason {
    /// A new holder marks the placement with its term, which voids writes of earlier holders.
    TermTaken(epochs::LeaseTerm),
    /// Members of a group were replaced by spares.
    Repaired {
        /// The group.
        group: u64,
        /// How many members changed.
        replaced: usize,
    },
    /// Spares load weights so that they can follow members that are about to go.
    SuccessorPrepared {
        /// The group.
        group: u64,
        /// How many members will change.
        replaced: usize,
    },
    /// The prepared members took over.
    SuccessorTookOver(u64),
    /// Prepared members were lost before they took over.
    SuccessorDropped(u64),
    /// A member obeyed another order, so the group got a new generation.
    GenerationRaised(u64),
    /// A group that can not be mended gave its members to another one.
    BrokenUp {
        /// The group that ended.
        group: u64,
        /// The group that was completed with its members.
        receiver: u64,
    },
    /// A group that can not be mended ended, since another domain can hold it whole.
    Moved(u64),
    /// A group waits for members: neither its domain nor another one has enough of them.
    LeftShort {
        /// The group.
        group: u64,
        /// How many members are missing.
        missing: usize,
    },
    /// A domain went dark as a whole, so its groups are kept for a while.
    DomainHeld(ids::DomainName),
    /// So many VMs are silent that the planner's own view is in doubt.
    ViewDoubtful,
    /// The list names a VM twice in different places; it is not used.
    VmAmbiguous(ids::VmName),
    /// A group was formed.
    Formed(u64),
    /// A group got a new recipe in place.
    Updated(u64),
    /// A group ended because there are more than wanted.
    Removed(u64),
    /// No domain can hold another group of the model.
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
