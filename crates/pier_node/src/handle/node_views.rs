//! The state that the parts of a node publish to each other.

use std::collections;
use std::sync::{self, atomic};

use arc_swap::{ArcSwap, ArcSwapOption};
use pier_control::health;
use pier_types::{epochs, ids, routes, sizes, vms};

use crate::handle;

/// The newest state of each part; each field is replaced as a whole by read-copy-update.
#[derive(Debug, Default)]
pub(super) struct NodeViews {
    config: ArcSwapOption<handle::ConfigSnapshot>,
    refused: atomic::AtomicU64,
    routes: ArcSwap<routes::RouteTable>,
    vms: ArcSwap<collections::BTreeMap<ids::VmName, vms::VmEntry>>,
    list: ArcSwapOption<handle::ListSnapshot>,
    evidence: ArcSwap<collections::BTreeMap<ids::VmName, health::VmEvidence>>,
    stragglers: ArcSwap<collections::BTreeSet<ids::VmName>>,
    groups: ArcSwap<handle::GroupSnapshot>,
    shift: ArcSwap<handle::ShiftSnapshot>,
    lease: ArcSwapOption<handle::LeaseSnapshot>,
    peers: ArcSwap<Vec<handle::PeerEntry>>,
    shares: ArcSwap<collections::BTreeMap<ids::TargetId, sizes::RequestCount>>,
}

impl handle::NodeHandle {
    /// Returns the configuration in force; `None` until one was read.
    pub fn config(&self) -> Option<sync::Arc<handle::ConfigSnapshot>> {
        self.views().config.load_full()
    }

    /// Publishes a new configuration in force.
    pub fn publish_config(&self, snapshot: handle::ConfigSnapshot) {
        self.requests().publish_config(&snapshot.document);
        self.views().config.store(Some(sync::Arc::new(snapshot)));
    }

    /// Returns the refused version newer than the one in force, if any.
    pub fn refused_config(&self) -> Option<epochs::ConfigVersion> {
        let version = self.views().refused.load(atomic::Ordering::Relaxed);
        (version > 0).then_some(epochs::ConfigVersion::new(version))
    }

    /// Publishes the refused version newer than the one in force.
    pub fn publish_refused_config(&self, version: Option<epochs::ConfigVersion>) {
        let version = version.map_or(0, epochs::ConfigVersion::get);
        self.views()
            .refused
            .store(version, atomic::Ordering::Relaxed);
    }

    /// Returns the targets that may receive new requests.
    pub fn routes(&self) -> arc_swap::Guard<sync::Arc<routes::RouteTable>> {
        self.views().routes.load()
    }

    /// Publishes the targets that may receive new requests.
    pub fn publish_routes(&self, table: routes::RouteTable) {
        let data_centre = &self.settings().data_centre;
        self.requests().publish_routes(&table, data_centre);
        self.views().routes.store(sync::Arc::new(table));
    }

    /// Returns the VMs on the platform's list, which lags behind the real state.
    pub fn vms(&self) -> sync::Arc<collections::BTreeMap<ids::VmName, vms::VmEntry>> {
        self.views().vms.load_full()
    }

    /// Publishes the VM list.
    pub fn publish_vms(&self, list: collections::BTreeMap<ids::VmName, vms::VmEntry>) {
        self.views().vms.store(sync::Arc::new(list));
    }

    /// Returns the VM list and the time at which it was read, for other nodes.
    pub fn list_snapshot(&self) -> Option<sync::Arc<handle::ListSnapshot>> {
        self.views().list.load_full()
    }

    /// Publishes the VM list and the time at which it was read.
    pub fn publish_list(&self, snapshot: handle::ListSnapshot) {
        self.views().list.store(Some(sync::Arc::new(snapshot)));
    }

    /// Returns the newest evidence of each VM of this data centre.
    pub fn evidence(&self) -> sync::Arc<collections::BTreeMap<ids::VmName, health::VmEvidence>> {
        self.views().evidence.load_full()
    }

    /// Publishes the evidence from the probes.
    pub fn publish_evidence(
        &self,
        evidence: collections::BTreeMap<ids::VmName, health::VmEvidence>,
    ) {
        self.views().evidence.store(sync::Arc::new(evidence));
    }

    /// Returns the VMs of this data centre that answer far slower than the others.
    pub fn stragglers(&self) -> sync::Arc<collections::BTreeSet<ids::VmName>> {
        self.views().stragglers.load_full()
    }

    /// Publishes the VMs that answer far slower than the others.
    pub fn publish_stragglers(&self, stragglers: collections::BTreeSet<ids::VmName>) {
        self.views().stragglers.store(sync::Arc::new(stragglers));
    }

    /// Returns the groups of this data centre and their health.
    pub fn groups(&self) -> sync::Arc<handle::GroupSnapshot> {
        self.views().groups.load_full()
    }

    /// Publishes the groups of this data centre and their health.
    pub fn publish_groups(&self, snapshot: handle::GroupSnapshot) {
        self.views().groups.store(sync::Arc::new(snapshot));
    }

    /// Returns the part of new requests that this data centre currently gets.
    pub fn shift(&self) -> handle::ShiftSnapshot {
        **self.views().shift.load()
    }

    /// Publishes the part of new requests that this data centre currently gets.
    pub fn publish_shift(&self, snapshot: handle::ShiftSnapshot) {
        self.views().shift.store(sync::Arc::new(snapshot));
    }

    /// Returns the control lease of this data centre; `None` until it was read.
    pub fn lease(&self) -> Option<sync::Arc<handle::LeaseSnapshot>> {
        self.views().lease.load_full()
    }

    /// Publishes the control lease of this data centre.
    pub fn publish_lease(&self, snapshot: handle::LeaseSnapshot) {
        self.views().lease.store(Some(sync::Arc::new(snapshot)));
    }

    /// Returns the other nodes that are considered alive.
    pub fn peers(&self) -> sync::Arc<Vec<handle::PeerEntry>> {
        self.views().peers.load_full()
    }

    /// Publishes the other nodes that are considered alive.
    pub fn publish_peers(&self, peers: Vec<handle::PeerEntry>) {
        self.views().peers.store(sync::Arc::new(peers));
    }

    /// Returns how many requests this node may have in flight at each target.
    pub fn shares(&self) -> sync::Arc<collections::BTreeMap<ids::TargetId, sizes::RequestCount>> {
        self.views().shares.load_full()
    }

    /// Publishes how many requests this node may have in flight at each target.
    pub fn publish_shares(
        &self,
        shares: collections::BTreeMap<ids::TargetId, sizes::RequestCount>,
    ) {
        self.views().shares.store(sync::Arc::new(shares));
    }
}
