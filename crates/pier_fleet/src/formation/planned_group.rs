//! A group as the planner intends it.

use std::collections;

use pier_types::{epochs, ids, times};

use crate::{formation, targets};

/// A member, identified by its VM and that VM's incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedMember {
    pub vm: ids::VmName,
    pub born: epochs::VmIncarnation,
    /// Whether the VM was seen as a member of this generation.
    pub was_member: bool,
}

/// A group with its current member list.
#[derive(Debug, Clone)]
pub(super) struct PlannedGroup {
    pub model: ids::ModelName,
    pub generation: epochs::GroupGeneration,
    pub members: Vec<PlannedMember>,
    /// Whether the member list is complete; orders to join and open are issued only then.
    pub is_complete: bool,
    /// When the first member was last ordered to open.
    pub opened_at: Option<times::BootTime>,
    /// Since when the group has been waiting for its requests to end before it is re-formed.
    pub retiring_since: Option<times::BootTime>,
    /// Since when the group has been short of members.
    pub short_since: Option<times::BootTime>,
}

impl PlannedGroup {
    /// Returns the state of each member, by rank; records which members were seen in this
    /// generation.
    pub fn states(
        &mut self,
        name: &ids::GroupName,
        facts: &collections::BTreeMap<ids::VmName, formation::MemberFacts>,
    ) -> Vec<formation::MemberState> {
        let generation = self.generation;
        let members = self.members.iter_mut();
        members
            .map(|member| member_state(member, facts.get(&member.vm), name, generation))
            .collect()
    }

    /// Returns whether a VM is a member.
    pub fn contains(&self, vm: &ids::VmName) -> bool {
        self.members.iter().any(|member| member.vm == *vm)
    }

    /// Returns the members' names by rank.
    pub fn member_names(&self) -> Vec<ids::VmName> {
        self.members
            .iter()
            .map(|member| member.vm.clone())
            .collect()
    }
}

fn member_state(
    member: &mut PlannedMember,
    facts: Option<&formation::MemberFacts>,
    group: &ids::GroupName,
    generation: epochs::GroupGeneration,
) -> formation::MemberState {
    let Some(facts) = facts.filter(|facts| !facts.is_lost) else {
        return formation::MemberState::Gone;
    };
    if facts.standing.born != member.born {
        return formation::MemberState::Gone;
    }
    let Some(membership) = facts.membership_in(group, generation) else {
        return if member.was_member {
            formation::MemberState::Departed
        } else if facts.draining_since.is_some() && !facts.is_unlisted {
            formation::MemberState::Gone
        } else {
            formation::MemberState::NotJoined
        };
    };
    member.was_member = true;
    if membership.phase == targets::GroupPhase::Broken {
        return formation::MemberState::Broken;
    }
    match membership.phase {
        targets::GroupPhase::Joining => formation::MemberState::Joining,
        _ if facts.draining_since.is_some() => formation::MemberState::Leaving,
        targets::GroupPhase::Open => formation::MemberState::Open,
        _ => formation::MemberState::Ready,
    }
}
