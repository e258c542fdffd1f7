//! Which groups may serve, and why the others may not.

use std::collections;

use pier_types::sizes;

use crate::health;

/// The health of all groups of a data centre at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HealthView {
    /// The groups that may serve, by number.
    pub serving: collections::BTreeMap<u64, health::ServingGroup>,
    /// The first reason why each other group may not serve.
    pub stopped: collections::BTreeMap<u64, health::StopReason>,
    /// Groups with a member that applied an order other than the current one; the lease holder
    /// gives them a new generation.
    pub mismatched: collections::BTreeSet<u64>,
    /// Groups whose successor's new members have loaded the weights.
    pub ready: collections::BTreeSet<u64>,
}

impl HealthView {
    /// Returns the number of running requests in each serving group.
    pub fn loads(&self) -> collections::BTreeMap<u64, sizes::RequestCount> {
        let groups = self.serving.iter();
        groups
            .map(|(group, serving)| (*group, serving.load.running))
            .collect()
    }
}
