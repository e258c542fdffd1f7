//! Derives the load of the other nodes from the hub's digests.

use std::{collections, time};

use pier_types::{ids, times};

use crate::loads;

/// Age up to which a digest counts as current: several times the interval between two digests.
const DIGEST_LIFETIME: time::Duration = time::Duration::from_millis(400);

/// Number of sent reports that are kept to find this node's own share of a digest.
const MAX_KEPT_REPORTS: usize = 32;

/// Computes the load of the other nodes from a hub's digests and this node's own reports.
#[derive(Debug, Default)]
pub struct LoadFollower {
    sent: collections::VecDeque<(u64, TargetLoads)>,
    latest: Option<(loads::LoadDigest, times::BootTime)>,
}

type TargetLoads = collections::BTreeMap<ids::VmName, loads::TargetLoad>;

impl LoadFollower {
    /// Records a report that this node sent.
    pub fn note_sent(&mut self, report: &loads::LoadReport) {
        self.sent.push_back((report.number, report.loads.clone()));
        while self.sent.len() > MAX_KEPT_REPORTS {
            self.sent.pop_front();
        }
    }

    /// Records a digest; one that is not newer than the last from the same hub is dropped.
    pub fn record_digest(&mut self, digest: loads::LoadDigest, now: times::BootTime) {
        let known = self.latest.as_ref();
        let is_old = known
            .is_some_and(|(known, _at)| known.hub == digest.hub && known.number >= digest.number);
        if !is_old {
            self.latest = Some((digest, now));
        }
    }

    /// Returns the latest digest while it is current.
    pub fn digest(&self, now: times::BootTime) -> Option<&loads::LoadDigest> {
        let (digest, at) = self.latest.as_ref()?;
        (now.since(*at) < DIGEST_LIFETIME).then_some(digest)
    }

    /// Returns the time since the latest digest arrived; `None` before the first.
    pub fn age(&self, now: times::BootTime) -> Option<time::Duration> {
        self.latest.as_ref().map(|(_digest, at)| now.since(*at))
    }

    /// Returns the load by target of all nodes except the one with the tag `own_tag`; `None`
    /// without a current digest.
    pub fn other_loads(&self, own_tag: u32, now: times::BootTime) -> Option<TargetLoads> {
        let digest = self.digest(now)?;
        let counted = digest.counted.get(&own_tag);
        let sent_loads = counted.and_then(|number| {
            let mut sent = self.sent.iter();
            sent.find(|(sent, _loads)| sent == number)
        });
        let mut other_loads = digest.local.clone();
        if let Some((_number, sent_loads)) = sent_loads {
            for (vm, part) in sent_loads {
                if let Some(load) = other_loads.get_mut(vm) {
                    *load = load.without(*part);
                }
            }
        }
        for (vm, load) in &digest.remote {
            *other_loads.entry(vm.clone()).or_default() += *load;
        }
        Some(other_loads)
    }
}
