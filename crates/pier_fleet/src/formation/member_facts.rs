//! A VM as the planner sees it.

use pier_types::{ids, times};

use crate::{documents, targets};

/// State of one VM.
#[derive(Debug, Clone)]
pub struct MemberFacts {
    /// The VM.
    pub vm: ids::VmName,
    /// Its fabric domain.
    pub domain: ids::DomainName,
    /// The status that it reports.
    pub standing: targets::TargetStanding,
    /// Since when it has been draining.
    pub draining_since: Option<times::BootTime>,
    /// Whether its registration ended while it was in a group; it may still work for that group.
    pub is_unlisted: bool,
    /// Whether it was queried and did not answer.
    pub is_lost: bool,
    /// Whether no order may be sent to it: an order is still unanswered, or the pause after a
    /// refused order lasts.
    pub is_held: bool,
}

impl MemberFacts {
    /// Returns whether the VM may become or stay a member of a group.
    pub fn is_usable(&self) -> bool {
        !self.is_lost && self.draining_since.is_none()
    }

    /// Returns the model that the VM runs as a member of a group that it has joined.
    pub fn settled_model(&self) -> Option<&ids::ModelName> {
        let membership = self.standing.membership.as_ref()?;
        let running = self.standing.running.as_ref();
        running.filter(|_running| membership.phase != targets::GroupPhase::Joining)
    }

    /// Returns how soon the VM could run a model: 0 if it runs it already, 1 if the weights are
    /// staged on its host, 2 if it has to load them.
    pub fn load_distance(&self, model: &documents::ModelSpec) -> u8 {
        if self.settled_model() == Some(&model.name) {
            0
        } else if self.standing.staged.contains(&model.name) {
            1
        } else {
            2
        }
    }

    /// Returns the VM's membership if it is in the given generation of the group.
    pub fn membership_in(
        &self,
        group: &ids::GroupName,
        generation: pier_types::epochs::GroupGeneration,
    ) -> Option<&targets::GroupMembership> {
        let membership = self.standing.membership.as_ref()?;
        (membership.group == *group && membership.generation == generation).then_some(membership)
    }
}
