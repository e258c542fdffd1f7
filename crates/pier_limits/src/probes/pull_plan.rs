//! Which nodes this node pulls probe results from.

use std::collections;

use pier_types::{ids, times};
use pier_wire::messages;

use crate::probes;

/// Maximum number of pulls to each prober whose replies are awaited.
const MAX_OPEN_PULLS: usize = 8;

/// Creates pulls and records when each was sent.
///
/// A reply counts only if it answers a pull that this node sent to that same prober, so that
/// replayed or misdirected replies are no evidence.
#[derive(Debug, Default)]
pub struct PullPlan {
    last: u64,
    open: collections::BTreeMap<ids::NodeName, collections::BTreeMap<u64, OpenPull>>,
    batches: collections::BTreeMap<ids::NodeName, messages::ProbeBatch>,
}

/// A pull whose reply is awaited.
#[derive(Debug)]
struct OpenPull {
    asked_at: times::BootTime,
    is_first: bool,
}

impl PullPlan {
    /// Creates this round's pulls: each peer is asked for the VMs of which it is the first prober,
    /// and the backup probers also for the VMs in `expiring`.
    pub fn round(
        &mut self,
        local_node: &ids::NodeName,
        plan: &probes::ProbePlan,
        peers: &collections::BTreeSet<ids::NodeName>,
        expiring: &[ids::VmName],
        now: times::BootTime,
    ) -> Vec<(ids::NodeName, messages::ProbePull)> {
        self.open.retain(|prober, _| peers.contains(prober));
        self.batches.retain(|prober, _| peers.contains(prober));
        let mut pulls = Vec::new();
        for peer in peers.iter().filter(|peer| *peer != local_node) {
            pulls.push(self.pull(peer, messages::PullScope::First, now));
        }
        for (peer, keys) in backups(local_node, plan, peers, expiring) {
            pulls.push(self.pull(&peer, messages::PullScope::Named(keys), now));
        }
        pulls
    }

    /// Returns when the pull was sent that a prober's reply answers.
    pub fn asked_at(&self, prober: &ids::NodeName, pull: u64) -> Option<times::BootTime> {
        Some(self.open.get(prober)?.get(&pull)?.asked_at)
    }

    /// Remembers a prober's batch, so that its next reply can leave out what has not changed.
    pub fn remember(&mut self, prober: &ids::NodeName, batch: &messages::ProbeBatch) {
        let open = self.open.get(prober);
        let pull = open.and_then(|open| open.get(&batch.pull));
        if pull.is_some_and(|pull| pull.is_first) {
            self.batches.insert(prober.clone(), batch.clone());
        }
    }

    /// Completes a reply with the remembered batch of its prober. Returns `None` if the reply was
    /// made for a different batch.
    pub fn complete(
        &self,
        prober: &ids::NodeName,
        loads: &messages::LoadBatch,
    ) -> Option<messages::ProbeBatch> {
        self.batches.get(prober)?.with_loads(loads)
    }

    fn pull(
        &mut self,
        peer: &ids::NodeName,
        scope: messages::PullScope,
        now: times::BootTime,
    ) -> (ids::NodeName, messages::ProbePull) {
        self.last += 1;
        let open = self.open.entry(peer.clone()).or_default();
        let is_first = scope == messages::PullScope::First;
        let asked_at = now;
        open.insert(self.last, OpenPull { asked_at, is_first });
        while open.len() > MAX_OPEN_PULLS {
            open.pop_first();
        }
        let batch = self.batches.get(peer).filter(|_| is_first);
        let pull = messages::ProbePull {
            pull: self.last,
            known: batch.map(messages::ProbeBatch::digest),
            scope,
        };
        (peer.clone(), pull)
    }
}

/// Groups the VMs with expiring evidence by their backup probers.
fn backups(
    local_node: &ids::NodeName,
    plan: &probes::ProbePlan,
    peers: &collections::BTreeSet<ids::NodeName>,
    expiring: &[ids::VmName],
) -> collections::BTreeMap<ids::NodeName, Vec<messages::VmKey>> {
    let mut named = collections::BTreeMap::<ids::NodeName, Vec<messages::VmKey>>::new();
    for vm in expiring {
        for prober in plan.probers(vm).iter().skip(1) {
            if prober != local_node && peers.contains(prober) {
                let keys = named.entry(prober.clone()).or_default();
                keys.push(messages::VmKey::of(vm));
            }
        }
    }
    named
}
