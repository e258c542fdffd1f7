//! The input of the planner.

use std::collections;

use pier_types::ids;

use crate::{documents, formation};

/// The VMs of one service in one data centre, at one moment.
#[derive(Debug, Clone)]
pub struct FormationInput<'a> {
    /// The VMs.
    pub facts: &'a collections::BTreeMap<ids::VmName, formation::MemberFacts>,
    /// Published timing and models of the engine.
    pub engine: &'a documents::EngineSpec,
    /// Requests in flight from all nodes, by first member of a group.
    pub in_flight: &'a collections::BTreeMap<ids::VmName, u32>,
}
