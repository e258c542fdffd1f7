//! Derives the load of the other nodes from the hub's digests.

use std::{collections, time};

use pier_types::{ids, times};

use crate::loads;

/// Age up to which a digest counts as current: several times the interval between two digests.
const DIGEST_LIFE: time::Duration = time::Duration::from_millis(400);

/// Number of sent reports that are kept to find this node's own share of a digest.
const KEPT_REPORTS: usize = 32;

/// Computes the load of the other nodes from a hub's digests and this node's own reports.
#[derive(Debug, Default)]
pub struct LoadFollower {
    sent: collections::VecDeque<(u64, OwnLoads)>,
    heard: Option<(loads::LoadDigest, times::BootTime)>,
}

type OwnLoads = collections::BTreeMap<ids::VmName, loads::TargetLoad>;

impl LoadFollower {
    /// Records a report that this node sent.
    pub fn note_sent(&mut self, report: &loads::LoadReport) {
        self.sent.push_back((report.number, report.loads.clone()));
        while self.sent.len() > KEPT_REPORTS {
            self.sent.pop_front();
        }
    }

    /// Records a digest; one that is not newer than the last from the same hub is dropped.
    pub fn hear(&mut self, digest: loads::LoadDigest, now: times::BootTime) {
        let known = self.heard.as_ref();
        let is_old = known
            .is_some_and(|(known, _at)| known.hub == digest.hub && known.number >= digest.number);
        if !is_old {
            self.heard = Some((digest, now));
        }
    }

    /// Returns the latest digest while it is current.
    pub fn digest(&self, now: times::BootTime) -> Option<&loads::LoadDigest> {
        let (digest, at) = self.heard.as_ref()?;
        (now.since(*at) < DIGEST_LIFE).then_some(digest)
    }

    /// Returns the load by target of all nodes except the one with the tag `own`; `None` without a
    /// current digest.
    pub fn others(&self, own: u32, now: times::BootTime) -> Option<OwnLoads> {
        let digest = self.digest(now)?;
        let counted = digest.counted.get(&own);
        let own_loads = counted.and_then(|number| {
            let mut sent = self.sent.iter();
            sent.find(|(sent, _loads)| sent == number)
        });
        let mut others = digest.local.clone();
        if let Some((_number, own_loads)) = own_loads {
            for (vm, part) in own_loads {
                if let Some(load) = others.get_mut(vm) {
                    *load = load.without(*part);
                }
            }
        }
        for (vm, load) in &digest.remote {
            *others.entry(vm.clone()).or_default() += *load;
        }
        Some(others)
    }
}
