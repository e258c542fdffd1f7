//! Which nodes probe which VM.

use std::collections;

use pier_types::ids;

use crate::hashing;

/// Number of probers of each VM.
pub const PROBERS_PER_VM: usize = 3;

/// The probers of each VM, chosen by rendezvous hashing over the live nodes of the data centre.
///
/// Nodes with different views of the membership choose different probers. That costs an extra
/// probe or a pull from a backup prober, but never gives wrong evidence. When a node joins or
/// leaves, only its own probes move.
///
/// ```
/// use pier_limits::probes;
///
/// let nodes = ["n1".parse()?, "n2".parse()?].into();
/// let vms = ["vm-1".parse()?].into();
/// let plan = probes::ProbePlan::build(&nodes, &vms);
/// assert_eq!(plan.probers(&"vm-1".parse()?).len(), 2);
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ProbePlan {
    probers: collections::BTreeMap<ids::VmName, Vec<ids::NodeName>>,
}

impl ProbePlan {
    /// Chooses the probers of each VM; the first prober comes first.
    pub fn build(
        nodes: &collections::BTreeSet<ids::NodeName>,
        vms: &collections::BTreeSet<ids::VmName>,
    ) -> Self {
        let probers = vms
            .iter()
            .map(|vm| (vm.clone(), choose(nodes, vm)))
            .collect();
        Self { probers }
    }

    /// Returns the probers of a VM; the first prober comes first.
    pub fn probers(&self, vm: &ids::VmName) -> &[ids::NodeName] {
        self.probers.get(vm).map_or(&[], Vec::as_slice)
    }

    /// Returns the VMs that a node probes, each with its rank: 0 for the first prober.
    pub fn assignments(&self, node: &ids::NodeName) -> collections::BTreeMap<ids::VmName, usize> {
        let rank_of = |probers: &[ids::NodeName]| probers.iter().position(|one| one == node);
        self.probers
            .iter()
            .filter_map(|(vm, probers)| Some((vm.clone(), rank_of(probers)?)))
            .collect()
    }
}

fn choose(nodes: &collections::BTreeSet<ids::NodeName>, vm: &ids::VmName) -> Vec<ids::NodeName> {
    let score =
        |node: &ids::NodeName| hashing::score(node.as_str().as_bytes(), vm.as_str().as_bytes());
    let mut scored = nodes
        .iter()
        .map(|node| (score(node), node))
        .collect::<Vec<_>>();
    scored.sort_unstable_by(|one, two| two.cmp(one));
    scored.truncate(PROBERS_PER_VM);
    scored.into_iter().map(|(_, node)| node.clone()).collect()
}
