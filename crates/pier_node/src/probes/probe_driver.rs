//! Schedules the probes of a node and collects the evidence.

use std::{collections, sync, time};

use pier_control::health;
use pier_limits::probes as decisions;
use pier_types::{ids, times, vms};
use pier_wire::messages;
use tokio::sync::mpsc;

use crate::{handle, probes, probes::probe_call};

/// Maximum age of evidence while there is no configuration.
const DEFAULT_FRESHNESS: time::Duration = time::Duration::from_secs(4);

type VmList = collections::BTreeMap<ids::VmName, vms::VmEntry>;

/// Owns the evidence of each VM of the data centre, and probes those assigned to this node.
#[derive(Debug)]
pub(crate) struct ProbeDriver {
    handle: handle::NodeHandle,
    outcomes: mpsc::UnboundedSender<probes::ProbeOutcome>,
    evidence: decisions::EvidenceTable,
    plan: decisions::ProbePlan,
    schedule: decisions::ProbeSchedule,
    failures: decisions::FailureFilter,
    assignments: collections::BTreeMap<ids::VmName, usize>,
    nodes: collections::BTreeSet<ids::NodeName>,
    list: sync::Arc<VmList>,
    listed: collections::BTreeSet<ids::VmName>,
    names: collections::BTreeMap<messages::VmKey, ids::VmName>,
}

impl ProbeDriver {
    /// Creates a driver that knows no VM yet.
    pub(crate) fn new(
        handle: handle::NodeHandle,
        outcomes: mpsc::UnboundedSender<probes::ProbeOutcome>,
    ) -> Self {
        let max_age = handle
            .config()
            .map_or(DEFAULT_FRESHNESS, |config| config.document.limits.freshness);
        Self {
            handle,
            outcomes,
            evidence: decisions::EvidenceTable::new(max_age),
            plan: decisions::ProbePlan::default(),
            schedule: decisions::ProbeSchedule::default(),
            failures: decisions::FailureFilter::default(),
            assignments: collections::BTreeMap::new(),
            nodes: collections::BTreeSet::new(),
            list: sync::Arc::default(),
            listed: collections::BTreeSet::new(),
            names: collections::BTreeMap::new(),
        }
    }

    /// Returns which node probes which VM.
    pub(crate) const fn plan(&self) -> &decisions::ProbePlan {
        &self.plan
    }

    /// Returns the VMs whose evidence is about to expire; their backup probers are then asked too.
    pub(crate) fn expiring_vms(&self, now: times::BootTime) -> Vec<ids::VmName> {
        self.evidence.expiring(&self.listed, now)
    }

    /// Applies the live nodes and the VM list, starts the probes that are due and publishes the
    /// evidence.
    pub(crate) fn tick(
        &mut self,
        nodes: &collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) {
        self.replan(nodes, now);
        if let Some(config) = self.handle.config() {
            self.evidence.set_max_age(config.document.limits.freshness);
        }
        let expiring = self.expiring_vms(now).into_iter().collect();
        for vm in self.schedule.due(&expiring, now) {
            if let Some(entry) = self.list.get(&vm) {
                probe_call::start(&self.handle, &self.outcomes, entry);
            }
        }
        self.publish(now);
    }

    /// Records the outcome of a probe by this node.
    ///
    /// A node that probes a single VM cannot tell whether its own links are cut.
    pub(crate) fn record_outcome(&mut self, outcome: probes::ProbeOutcome) {
        if self.assignments.len() < 2 {
            self.observe(outcome.result, outcome.asked_at);
            return;
        }
        for (result, asked_at) in self.failures.pass(outcome.result, outcome.asked_at) {
            self.observe(result, asked_at);
        }
    }

    /// Records results that another node sent for a pull sent at `asked_at`.
    pub(crate) fn record_batch(&mut self, batch: &messages::ProbeBatch, asked_at: times::BootTime) {
        for result in batch.unpack(|key| self.names.get(&key).cloned()) {
            self.observe(result, asked_at);
        }
    }

    /// Answers a pull with the latest results for those VMs in its scope that this node probes.
    pub(crate) fn answer_pull(
        &self,
        pull: &messages::ProbePull,
        now: times::BootTime,
    ) -> messages::PeerMessage {
        let asked = |vm: &ids::VmName, rank: usize| match &pull.scope {
            messages::PullScope::First => rank == 0,
            messages::PullScope::Named(keys) => keys.contains(&messages::VmKey::of(vm)),
        };
        let results = self
            .assignments
            .iter()
            .filter(|(vm, rank)| asked(vm, **rank))
            .filter_map(|(vm, _)| self.evidence.latest(vm, now))
            .collect::<Vec<_>>();
        messages::ProbeBatch::pack(pull.pull, &results).reply(pull.known)
    }

    /// Drops all evidence, for example after a pause of the node.
    pub(crate) fn clear_evidence(&mut self) {
        self.evidence.clear();
    }

    fn observe(&mut self, result: messages::ProbeResult, asked_at: times::BootTime) {
        if !self.listed.contains(&result.vm) {
            return;
        }
        if let Some(change) = self.evidence.observe(result, asked_at) {
            probe_call::log_change(&change);
        }
    }

    fn replan(&mut self, nodes: &collections::BTreeSet<ids::NodeName>, now: times::BootTime) {
        let list = self.handle.vms();
        if sync::Arc::ptr_eq(&list, &self.list) && *nodes == self.nodes {
            return;
        }
        let local = &self.handle.settings().data_centre;
        self.listed = list
            .values()
            .filter(|entry| entry.data_centre == *local)
            .map(|entry| entry.name.clone())
            .collect();
        self.names = self
            .listed
            .iter()
            .map(|vm| (messages::VmKey::of(vm), vm.clone()))
            .collect();
        self.list = list;
        self.nodes.clone_from(nodes);
        self.plan = decisions::ProbePlan::build(nodes, &self.listed);
        self.assignments = self.plan.assignments(self.handle.name());
        self.schedule.assign(&self.assignments, now);
        self.evidence.retain(&self.listed);
    }

    fn publish(&self, now: times::BootTime) {
        let evidence = self.evidence.evidence(now).into_iter();
        let evidence = evidence.map(|(vm, found)| {
            let evidence = health::VmEvidence {
                report: found.report,
                probed_at: found.probed_at,
            };
            (vm, evidence)
        });
        self.handle.publish_evidence(evidence.collect());
        let health = self.evidence.health_by_vm(now).into_iter();
        let slow = health.filter(|(_vm, health)| *health == decisions::VmHealth::Straggler);
        self.handle
            .publish_stragglers(slow.map(|(vm, _health)| vm).collect());
    }
}
