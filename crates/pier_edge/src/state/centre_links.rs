//! What this node knows of the links to the other data centres.

use std::{collections, sync, time};

use pier_fleet::{loads, locality};
use pier_types::{ids, times};

use crate::{links, state};

/// The links to each other data centre that has targets.
#[derive(Debug, Default)]
pub(crate) struct CentreLinks {
    links: sync::Mutex<collections::BTreeMap<ids::DataCentreName, sync::Arc<CentreLink>>>,
}

impl CentreLinks {
    /// Returns the links to a data centre.
    pub(crate) fn link(&self, data_centre: &ids::DataCentreName) -> sync::Arc<CentreLink> {
        let mut links = state::lock(&self.links);
        let link = links.entry(data_centre.clone()).or_insert_with(|| {
            sync::Arc::new(CentreLink {
                data_centre: data_centre.clone(),
                watch: sync::Mutex::default(),
                load_age: sync::Mutex::default(),
            })
        });
        sync::Arc::clone(link)
    }
}

/// The links to one data centre, and the age of the loads known of its targets.
#[derive(Debug)]
pub(crate) struct CentreLink {
    pub data_centre: ids::DataCentreName,
    watch: sync::Mutex<locality::LinkWatch>,
    load_age: sync::Mutex<locality::LoadAge>,
}

impl CentreLink {
    /// Records that a target there was not reached, or that its connection was lost.
    pub(crate) fn record_failure(&self, vm: &ids::VmName, now: times::BootTime) {
        if state::lock(&self.watch).record_failure(vm, now) {
            log::info!(
                event = "data-centre-avoided",
                data_centre:% = self.data_centre,
                target_vm:% = vm;
                ""
            );
        }
    }

    /// Records that a target there answered a request that was sent at `sent_at`.
    pub(crate) fn record_answer(&self, sent_at: times::BootTime) {
        state::lock(&self.watch).record_answer(sent_at);
    }

    /// Records by how much a first event from there came later than expected.
    pub(crate) fn record_delay(&self, delay: time::Duration, now: times::BootTime) {
        state::lock(&self.watch).record_delay(delay, now);
    }

    /// Returns what the price of a target there depends on; `view_age` is the usual age of loads.
    pub(crate) fn facts(
        &self,
        view_age: time::Duration,
        now: times::BootTime,
    ) -> locality::CentreFacts {
        let watch = state::lock(&self.watch);
        locality::CentreFacts {
            load_age: view_age.max(state::lock(&self.load_age).age(now)),
            distance: watch.delay(now),
            is_open: !watch.is_closed(now),
        }
    }
}

impl<P: links::FleetPlatform> state::EdgeState<P> {
    /// Records the loads that the other nodes have at the targets of each other data centre.
    pub(crate) fn record_centre_loads(&self, now: times::BootTime) {
        let mut sums: collections::BTreeMap<_, loads::TargetLoad> = collections::BTreeMap::new();
        let mut centre_links = collections::BTreeMap::new();
        for slot in self.slots() {
            if let Some(link) = &slot.centre_link {
                *sums.entry(link.data_centre.clone()).or_default() += slot.gauge.remote_load();
                centre_links.insert(link.data_centre.clone(), sync::Arc::clone(link));
            }
        }
        for (data_centre, link) in centre_links {
            let sum = sums.get(&data_centre).copied().unwrap_or_default();
            state::lock(&link.load_age).record(sum, now);
        }
    }
}
