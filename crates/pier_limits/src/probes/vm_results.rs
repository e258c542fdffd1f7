//! The probe results of one VM.

use std::time;

use pier_types::{ids, times};
use pier_wire::messages;

use crate::probes;

/// Number of consecutive failed probes after which a VM's evidence no longer counts.
const FAILURE_LIMIT: u32 = 2;

/// Time without an answer after which a VM counts as dead.
const DEAD_AFTER: time::Duration = time::Duration::from_secs(10);

/// The latest success and the latest failure of a VM's probes.
#[derive(Debug, Default)]
pub(crate) struct VmResults {
    pub(crate) evidence: Option<probes::VmEvidence>,
    failure: Option<(messages::ProbeFailure, times::BootTime)>,
    consecutive_failures: u32,
    first_probed_at: Option<times::BootTime>,
}

impl VmResults {
    /// Records a success; results of an earlier probe or incarnation are dropped.
    pub(crate) fn record_success(
        &mut self,
        vm: &ids::VmName,
        found: probes::VmEvidence,
        max_age: time::Duration,
    ) -> Option<probes::EvidenceChange> {
        self.first_probed_at.get_or_insert(found.probed_at);
        let Some(known) = &self.evidence else {
            self.evidence = Some(found);
            self.consecutive_failures = 0;
            return None;
        };
        let earlier = known.report.incarnation;
        let present = found.report.incarnation;
        if present < earlier || (present == earlier && found.probed_at <= known.probed_at) {
            return None;
        }
        let gap = found.probed_at.since(known.probed_at);
        self.evidence = Some(found);
        self.consecutive_failures = 0;
        if present > earlier {
            let vm = vm.clone();
            return Some(probes::EvidenceChange::Restarted {
                vm,
                earlier,
                present,
            });
        }
        (gap > max_age).then(|| probes::EvidenceChange::Resumed { vm: vm.clone() })
    }

    /// Records a failure, unless a later result is known.
    pub(crate) fn record_failure(
        &mut self,
        failure: messages::ProbeFailure,
        probed_at: times::BootTime,
    ) {
        self.first_probed_at.get_or_insert(probed_at);
        let failed_at = self.failure.map(|(_, failed_at)| failed_at);
        let answered_at = self.evidence.as_ref().map(|known| known.probed_at);
        if failed_at
            .max(answered_at)
            .is_some_and(|latest| probed_at <= latest)
        {
            return;
        }
        self.failure = Some((failure, probed_at));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Returns the evidence unless it is too old or later probes contradict it.
    ///
    /// One refused connection is enough, because then nothing listens there any more. After a
    /// lost answer, a second probe is awaited.
    pub(crate) fn fresh(
        &self,
        now: times::BootTime,
        max_age: time::Duration,
    ) -> Option<&probes::VmEvidence> {
        let evidence = self.evidence.as_ref()?;
        let recent = now.since(evidence.probed_at) <= max_age;
        let contradicted = self.is_refused() || self.consecutive_failures >= FAILURE_LIMIT;
        (recent && !contradicted).then_some(evidence)
    }

    /// Returns the latest result, with its age at `now`.
    pub(crate) fn latest(
        &self,
        vm: &ids::VmName,
        now: times::BootTime,
    ) -> Option<messages::ProbeResult> {
        let failed = self.failure.filter(|_| self.consecutive_failures > 0);
        let (probed_at, latency, outcome) = match (failed, &self.evidence) {
            (Some((failure, probed_at)), _) => (probed_at, time::Duration::ZERO, Err(failure)),
            (None, Some(found)) => (found.probed_at, found.latency, Ok(found.report.clone())),
            (None, None) => return None,
        };
        Some(messages::ProbeResult {
            vm: vm.clone(),
            age: now.since(probed_at),
            latency,
            outcome,
        })
    }

    pub(crate) fn is_dead(&self, now: times::BootTime) -> bool {
        let answered_at = self.evidence.as_ref().map(|known| known.probed_at);
        let since = answered_at.or(self.first_probed_at);
        self.is_refused() || since.is_some_and(|since| now.since(since) > DEAD_AFTER)
    }

    /// Returns whether the latest probe failed.
    pub(crate) const fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    const fn is_refused(&self) -> bool {
        self.consecutive_failures > 0
            && matches!(self.failure, Some((messages::ProbeFailure::Refused, _)))
    }
}
