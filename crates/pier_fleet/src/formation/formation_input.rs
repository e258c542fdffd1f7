//! What the planner looks at.

use std::collections;

use pier_types::ids;

use crate::{documents, formation};

/// One data centre's VMs of one service, at one moment.
#[derive(Debug, Clone)]
pub struct FormationInput<'a> {
    /// The VMs.
    pub facts: &'a collections::BTreeMap<ids::VmName, formation::MemberFacts>,
    /// What is published about the engines.
    pub engine: &'a documents::EngineSpec,
    /// Requests of all nodes in flight, by first member.
    pub in_flight: &'a collections::BTreeMap<ids::VmName, u32>,
}
