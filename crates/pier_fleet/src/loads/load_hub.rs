//! Sums up the load reports of a data centre's nodes.

use std::{collections, time};

use pier_types::{ids, times};

use crate::loads;

/// Silence after which a node's load is dropped: the node ended together with its requests, or is
/// partitioned.
const REPORT_LIFETIME: time::Duration = time::Duration::from_millis(1_500);

/// Silence after which another data centre's load is dropped.
const DIGEST_LIFETIME: time::Duration = time::Duration::from_millis(1_500);

/// Keeps the newest report of each node and the newest digest of each other hub.
#[derive(Debug, Default)]
pub struct LoadHub {
    reports: collections::BTreeMap<ids::NodeName, (loads::LoadReport, times::BootTime)>,
    digests: collections::BTreeMap<ids::DataCentreName, (loads::LoadDigest, times::BootTime)>,
}

impl LoadHub {
    /// Records a node's report; one that is not newer than the last is dropped.
    pub fn record_report(&mut self, report: loads::LoadReport, now: times::BootTime) {
        let known = self.reports.get(&report.node);
        if known.is_some_and(|(known, _at)| known.number >= report.number) {
            return;
        }
        self.reports.insert(report.node.clone(), (report, now));
    }

    /// Records another hub's digest; one that is not newer than the last from the same hub is
    /// dropped.
    pub fn record_digest(&mut self, digest: loads::LoadDigest, now: times::BootTime) {
        let known = self.digests.get(&digest.data_centre);
        let is_old = known
            .is_some_and(|(known, _at)| known.hub == digest.hub && known.number >= digest.number);
        if !is_old {
            self.digests
                .insert(digest.data_centre.clone(), (digest, now));
        }
    }

    /// Returns the nodes of another data centre to which this one's sums are sent.
    ///
    /// That is its hub, as its last digest names it. While none arrives, it is the steward and the first
    /// live node by name, one of which is its hub unless the view of that data centre is incomplete.
    /// `steward` may be a node that is not known to be alive.
    pub fn contacts<'a>(
        &'a self,
        data_centre: &ids::DataCentreName,
        steward: Option<&'a ids::NodeName>,
        live_nodes: &'a collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) -> collections::BTreeSet<&'a ids::NodeName> {
        let heard = self.digests.get(data_centre);
        let heard = heard.filter(|(_digest, at)| now.since(*at) < DIGEST_LIFETIME);
        match heard {
            Some((digest, _at)) => collections::BTreeSet::from([&digest.hub]),
            None => steward.into_iter().chain(live_nodes.first()).collect(),
        }
    }

    /// Drops the reports and digests of nodes and hubs that fell silent.
    pub fn expire(&mut self, now: times::BootTime) {
        self.reports
            .retain(|_node, (_report, at)| now.since(*at) < REPORT_LIFETIME);
        self.digests
            .retain(|_data_centre, (_digest, at)| now.since(*at) < DIGEST_LIFETIME);
    }

    /// Returns the targets that any node of the data centre reports as stuck.
    pub fn suspected(&self) -> collections::BTreeSet<ids::VmName> {
        let reports = self.reports.values();
        reports
            .flat_map(|(report, _at)| report.stuck.iter().cloned())
            .collect()
    }

    /// Returns the digest of this data centre's reports. The caller clears `counted` before
    /// sending it to other hubs.
    pub fn local_digest(
        &self,
        hub: &ids::NodeName,
        data_centre: &ids::DataCentreName,
        number: u64,
        retiring: collections::BTreeSet<ids::VmName>,
    ) -> loads::LoadDigest {
        let mut digest = loads::LoadDigest {
            hub: hub.clone(),
            data_centre: data_centre.clone(),
            number,
            counted: collections::BTreeMap::new(),
            local: collections::BTreeMap::new(),
            remote: collections::BTreeMap::new(),
            stuck: self.majority_stuck(),
            retiring,
        };
        for (report, _at) in self.reports.values() {
            digest.counted.insert(report.tag, report.number);
            for (vm, load) in &report.loads {
                *digest.local.entry(vm.clone()).or_default() += *load;
            }
        }
        digest
    }

    /// Returns a local digest merged with the other hubs' digests, for the nodes of this data
    /// centre.
    ///
    /// It is never sent to other hubs, which would receive their own load back.
    #[must_use]
    pub fn merged_digest(&self, mut digest: loads::LoadDigest) -> loads::LoadDigest {
        for (other, _at) in self.digests.values() {
            for (vm, load) in &other.local {
                *digest.remote.entry(vm.clone()).or_default() += *load;
            }
            digest.stuck.extend(other.stuck.iter().cloned());
            digest.retiring.extend(other.retiring.iter().cloned());
        }
        digest
    }

    /// Returns the targets that most of the nodes with running requests there report as stuck.
    ///
    /// A single node whose own path to the targets is broken finds all of them stuck; the other
    /// nodes outvote it.
    fn majority_stuck(&self) -> collections::BTreeSet<ids::VmName> {
        let mut stuck_targets = self.suspected();
        stuck_targets.retain(|vm| {
            let reports = self.reports.values();
            let (mut stuck, mut progressing) = (0_usize, 0_usize);
            for (report, _at) in reports {
                if report.stuck.contains(vm) {
                    stuck += 1;
                } else if report.loads.get(vm).is_some_and(|load| load.running > 0) {
                    progressing += 1;
                }
            }
            stuck > progressing
        });
        stuck_targets
    }
}
