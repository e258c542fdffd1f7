//! A VM as the planner sees it.

use pier_types::{ids, times};

use crate::{documents, targets};

/// What is known of one VM.
#[derive(Debug, Clone)]
pub struct MemberFacts {
    /// The VM.
    pub vm: ids::VmName,
    /// Its fabric domain.
    pub domain: ids::DomainName,
    /// Its own word.
    pub standing: targets::TargetStanding,
    /// Since when it is about to leave.
    pub draining_since: Option<times::BootTime>,
    /// Whether its registration ended while it was in a group; it may still work for the group.
    pub is_unlisted: bool,
    /// Whether it was asked and did not answer.
    pub is_lost: bool,
    /// Whether an order to it has no answer yet, or a pause after a refusal lasts.
    pub is_held: bool,
}

impl MemberFacts {
    /// Tells whether the VM may be given work of a group.
    pub fn is_usable(&self) -> bool {
        !self.is_lost && self.draining_since.is_none()
    }

    /// Returns how soon the VM could run a model: 0 at once, 1 from its host, 2 after a load.
    pub fn distance(&self, model: &documents::ModelSpec) -> u8 {
        let runs = self.standing.running.as_ref() == Some(&model.name);
        let settled = self
            .standing
            .membership
            .as_ref()
            .is_some_and(|membership| membership.phase != targets::GroupPhase::Joining);
        if runs && settled {
            0
        } else if self.standing.staged.contains(&model.name) {
            1
        } else {
            2
        }
    }

    /// Returns the VM's place in a group's generation, if it is in it.
    pub fn place_in(
        &self,
        group: &ids::GroupName,
        generation: pier_types::epochs::GroupGeneration,
    ) -> Option<&targets::GroupMembership> {
        let membership = self.standing.membership.as_ref()?;
        (membership.group == *group && membership.generation == generation).then_some(membership)
    }
}
