//! What a node makes of its hub's digests.

use std::{collections, time};

use pier_types::{ids, times};

use crate::loads;

/// Age up to which a digest speaks for the present: several times the pause between two.
const DIGEST_LIFE: time::Duration = time::Duration::from_millis(400);

/// Reports that are kept to tell the own part of a digest.
const KEPT_REPORTS: usize = 32;

/// Tells the other nodes' load from a hub's digests and the node's own reports.
#[derive(Debug, Default)]
pub struct LoadFollower {
    sent: collections::VecDeque<(u64, OwnLoads)>,
    heard: Option<(loads::LoadDigest, times::BootTime)>,
}

type OwnLoads = collections::BTreeMap<ids::VmName, loads::TargetLoad>;

impl LoadFollower {
    /// Remembers a report of this node's own.
    pub fn note_sent(&mut self, report: &loads::LoadReport) {
        self.sent.push_back((report.number, report.loads.clone()));
        while self.sent.len() > KEPT_REPORTS {
            self.sent.pop_front();
        }
    }

    /// Takes in a digest; an older one of the same hub is dropped.
    pub fn hear(&mut self, digest: loads::LoadDigest, now: times::BootTime) {
        let known = self.heard.as_ref();
        let is_old = known
            .is_some_and(|(known, _at)| known.hub == digest.hub && known.number >= digest.number);
        if !is_old {
            self.heard = Some((digest, now));
        }
    }

    /// Returns the newest digest while it speaks for the present.
    pub fn digest(&self, now: times::BootTime) -> Option<&loads::LoadDigest> {
        let (digest, at) = self.heard.as_ref()?;
        (now.since(*at) < DIGEST_LIFE).then_some(digest)
    }

    /// Returns the load of all other nodes than the one of a tag, by target; none without a fresh
    /// digest.
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
