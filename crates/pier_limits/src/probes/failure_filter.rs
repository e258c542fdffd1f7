//! Holds back failed probes that may be due to the links of this node.

use std::{collections, time};

use pier_types::{ids, times};
use pier_wire::messages;

/// Maximum time between a failed probe and answered ones before and after it that show that this
/// node's links are sound. It is longer than the time between two probes of a first prober.
const PROOF_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Most failures that are held back for one VM.
const MAX_HELD: usize = 4;

/// Lets failed probes of this node count only while other VMs answer it.
///
/// A node that lost its links to all VMs must not report sound VMs as failed to the nodes that use
/// its probes. Their evidence of these VMs ages instead, so that they ask the backup probers.
///
/// ```
/// use std::time;
/// use pier_limits::probes;
/// use pier_types::times;
/// use pier_wire::messages;
///
/// let mut filter = probes::FailureFilter::default();
/// let failure = messages::ProbeResult {
///     vm: "vm-1".parse()?,
///     age: time::Duration::ZERO,
///     latency: time::Duration::ZERO,
///     outcome: Err(messages::ProbeFailure::Refused),
/// };
/// assert!(filter.pass(failure, times::BootTime::from_millis(5_000)).is_empty());
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Default)]
pub struct FailureFilter {
    answered: collections::BTreeSet<times::BootTime>,
    held: collections::BTreeMap<ids::VmName, Vec<(messages::ProbeResult, times::BootTime)>>,
}

impl FailureFilter {
    /// Takes the result of a probe of this node, and returns the results that count now, in order.
    pub fn pass(
        &mut self,
        result: messages::ProbeResult,
        asked_at: times::BootTime,
    ) -> Vec<(messages::ProbeResult, times::BootTime)> {
        if result.outcome.is_err() {
            let held = self.held.entry(result.vm.clone()).or_default();
            held.push((result, asked_at));
            if held.len() > MAX_HELD {
                held.remove(0);
            }
            return self.release(asked_at);
        }
        self.answered.insert(asked_at);
        let oldest = asked_at.before(PROOF_TIME * 4);
        self.answered.retain(|answered_at| *answered_at >= oldest);
        if let Some(held) = self.held.get_mut(&result.vm) {
            held.retain(|(_failure, failed_at)| *failed_at > asked_at);
        }
        let mut counting = self.release(asked_at);
        counting.push((result, asked_at));
        counting
    }

    /// Removes the failures that count, and those that can no longer be shown to.
    fn release(&mut self, now: times::BootTime) -> Vec<(messages::ProbeResult, times::BootTime)> {
        let answered = &self.answered;
        let mut counting = Vec::new();
        for held in self.held.values_mut() {
            for (failure, failed_at) in std::mem::take(held) {
                if is_shown(answered, failed_at) {
                    counting.push((failure, failed_at));
                } else if now <= failed_at.after(PROOF_TIME) {
                    held.push((failure, failed_at));
                }
            }
        }
        self.held.retain(|_vm, held| !held.is_empty());
        counting
    }
}

/// Returns whether VMs answered probes shortly before a failed one and shortly after it.
fn is_shown(answered: &collections::BTreeSet<times::BootTime>, failed_at: times::BootTime) -> bool {
    let before = failed_at.before(PROOF_TIME)..failed_at;
    let after = failed_at..=failed_at.after(PROOF_TIME);
    answered.range(before).next().is_some() && answered.range(after).next().is_some()
}
