//! Why a group may not serve.

use std::fmt;

use pier_types::{epochs, ids, reports};

/// What is wrong with the probe result of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReason {
    /// It has never answered a probe.
    NoEvidence(ids::VmName),
    /// Its last answered probe is too old.
    StaleEvidence(ids::VmName),
    /// Another incarnation answers under its name.
    OtherIncarnation(ids::VmName),
    /// It reports another group, or none.
    OtherGroup(ids::VmName),
    /// It reports another generation of the group.
    OtherGeneration {
        /// The member.
        vm: ids::VmName,
        /// The generation that it reports.
        found: epochs::GroupGeneration,
    },
    /// It has loaded another model.
    OtherModel(ids::VmName),
    /// It has not loaded the weights.
    NotLoaded {
        /// The member.
        vm: ids::VmName,
        /// The state that it reports.
        state: reports::EngineState,
    },
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEvidence(vm) => write!(f, "no-evidence vm={vm}"),
            Self::StaleEvidence(vm) => write!(f, "stale-evidence vm={vm}"),
            Self::OtherIncarnation(vm) => write!(f, "other-incarnation vm={vm}"),
            Self::OtherGroup(vm) => write!(f, "other-group vm={vm}"),
            Self::OtherGeneration { vm, found } => {
                write!(f, "other-generation vm={vm} found={found}")
            }
            Self::OtherModel(vm) => write!(f, "other-model vm={vm}"),
            Self::NotLoaded { vm, state } => write!(f, "not-loaded vm={vm} state={state:?}"),
        }
    }
}
