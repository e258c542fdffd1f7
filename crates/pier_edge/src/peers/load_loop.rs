//! Exchanges loads and looks for targets that make no progress.

use std::{collections, net, sync, time};

use pier_fleet::loads;
use pier_types::{ids, times};
use tokio::net::UdpSocket;

use super::{beat_loop, load_intake, peer_groups, stall_watch};
use crate::{links, peers, state};

/// Interval between two ticks of the loop. A busy group starts about two requests in it.
const LOAD_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Time between two ticks from which on the node itself is taken to have stalled. No target is then
/// reported as stuck for two more ticks, in which the node reads what arrived meanwhile.
const LATE_THRESHOLD: time::Duration = time::Duration::from_millis(200);

/// Mean age of the other nodes' loads: half an interval each for the report, the hub's digest and
/// the other hub's digest, plus the time until a request is counted.
pub(crate) const VIEW_AGE: time::Duration = time::Duration::from_millis(100);

/// Interval at which an unchanged load is reported again, in case a datagram was lost.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Nodes of a data centre up to which a digest is sent at every tick.
const FULL_RATE_NODES: usize = 30;

/// Greatest number of ticks between two digests. A hub counts as lost after several times as long.
const MAX_DIGEST_STRIDE: usize = 4;

/// Reports this node's load to the hub of its data centre, and sends the hub's digests while this
/// node is the hub.
///
/// Fleets of a few nodes need no hub, as their heartbeats carry the loads often enough.
#[derive(Debug)]
pub(crate) struct LoadLoop<P> {
    state: state::EdgeState<P>,
    socket: sync::Arc<UdpSocket>,
    last_report: Option<(loads::LoadReport, times::BootTime)>,
    retiring: collections::BTreeSet<ids::VmName>,
    /// Ticks at which this node was the hub.
    ticks: u64,
    /// The hub that the last report went to.
    hub: Option<ids::NodeName>,
}

impl<P: links::FleetPlatform> LoadLoop<P> {
    pub(crate) fn new(state: state::EdgeState<P>, socket: sync::Arc<UdpSocket>) -> Self {
        Self {
            state,
            socket,
            last_report: None,
            retiring: collections::BTreeSet::new(),
            ticks: 0,
            hub: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut last_tick_at = times::clocks::boot_now();
        let mut late_ticks = 0_u32;
        loop {
            let now = times::clocks::boot_now();
            let is_timely = now.since(last_tick_at) < LATE_THRESHOLD;
            late_ticks = if is_timely {
                late_ticks.saturating_sub(1)
            } else {
                2
            };
            last_tick_at = now;
            let stuck = stall_watch::find_stuck(&self.state, late_ticks == 0, now);
            if self.needs_hub() {
                let hub = self.choose_hub(now);
                self.report(hub.as_ref(), stuck, now).await;
                if hub.as_ref() == Some(self.state.node()) && self.is_digest_due() {
                    self.digest(now).await;
                }
            }
            load_intake::apply_other_loads(&self.state, now);
            let retiring = self.state.retiring(now);
            if retiring != self.retiring {
                self.retiring = retiring;
                self.state.rebuild(now);
            }
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }

    fn needs_hub(&self) -> bool {
        let count = self.state.with_peers(|peers| peers.count());
        count > peer_groups::FULL_RATE_PEERS
    }

    /// Returns whether a digest is due. With many nodes in the data centre digests are sent less
    /// often, so that the traffic of a hub grows more slowly with the nodes.
    fn is_digest_due(&mut self) -> bool {
        let data_centre = &self.state.settings().data_centre;
        let now = times::clocks::boot_now();
        let nodes = self
            .state
            .with_peers(|peers| peers.local_addresses(data_centre, now).len());
        let stride = nodes.div_ceil(FULL_RATE_NODES).clamp(1, MAX_DIGEST_STRIDE);
        self.ticks += 1;
        self.ticks
            .is_multiple_of(u64::try_from(stride).unwrap_or(1))
    }

    fn choose_hub(&self, now: times::BootTime) -> Option<ids::NodeName> {
        let data_centre = &self.state.settings().data_centre;
        let (steward, live_nodes) = self.state.with_peers(|peers| {
            (
                peers.steward(data_centre).cloned(),
                peers.live_nodes(data_centre, data_centre, now),
            )
        });
        let local_node = self.state.node();
        let chosen = self.state.with_loads(|loads| {
            loads
                .choice
                .choose(local_node, steward.as_ref(), &live_nodes, now)
        });
        if chosen != self.hub {
            log::debug!(event = "load-hub-chosen", hub:? = chosen; "");
        }
        chosen
    }

    /// Reports this node's load if it or the hub has changed, or if the last report is old.
    async fn report(
        &mut self,
        hub: Option<&ids::NodeName>,
        stuck: Vec<ids::VmName>,
        now: times::BootTime,
    ) {
        let slots = self.state.slots();
        let loaded = slots.iter().filter(|slot| slot.gauge.local_in_flight() > 0);
        let mut report = loads::LoadReport {
            node: self.state.node().clone(),
            tag: self.state.load_tag(),
            number: self.state.with_loads(|loads| loads.report_number),
            loads: loaded
                .map(|slot| (slot.vm.clone(), slot.gauge.local_load()))
                .collect(),
            stuck: stuck.into_iter().collect(),
        };
        let is_due = self
            .last_report
            .as_ref()
            .is_none_or(|(last, at)| *last != report || now.since(*at) >= REPEAT_INTERVAL)
            || hub != self.hub.as_ref();
        if !is_due {
            return;
        }
        report.number = self.state.with_loads(|loads| {
            loads.report_number += 1;
            loads.report_number
        });
        self.last_report = Some((report.clone(), now));
        self.state
            .with_loads(|loads| loads.follower.note_sent(&report));
        self.hub = hub.cloned();
        let Some(hub) = hub else { return };
        if hub == self.state.node() {
            self.state
                .with_loads(|loads| loads.hub.record_report(report, now));
            return;
        }
        let address = self.state.with_peers(|peers| peers.address_of(hub));
        if let Some(address) = address {
            let message = peers::PeerMessage::Report(report);
            beat_loop::send_all(&self.state, &self.socket, message, &[address]).await;
        }
    }

    /// Returns the addresses in another data centre to which this one's sums are sent.
    fn contacts(&self, other: &ids::DataCentreName, now: times::BootTime) -> Vec<net::SocketAddr> {
        let data_centre = &self.state.settings().data_centre;
        let (steward, live_nodes) = self.state.with_peers(|peers| {
            (
                peers.steward(other).cloned(),
                peers.live_nodes(other, data_centre, now),
            )
        });
        let contacts = self.state.with_loads(|loads| {
            let contacts = loads
                .hub
                .contacts(other, steward.as_ref(), &live_nodes, now);
            contacts.into_iter().cloned().collect::<Vec<_>>()
        });
        self.state.with_peers(|peers| {
            let addresses = contacts.iter().filter_map(|node| peers.address_of(node));
            addresses.collect()
        })
    }

    /// Sends the merged sums to the nodes of this data centre, and this data centre's own sums to
    /// the hubs of the others.
    async fn digest(&mut self, now: times::BootTime) {
        let data_centre = &self.state.settings().data_centre;
        let local_node = self.state.node();
        let centres = self.state.settings().data_centres.iter();
        let others: Vec<_> = centres.filter(|other| *other != data_centre).collect();
        let hubs = others.iter().flat_map(|other| self.contacts(other, now));
        let hubs: Vec<_> = hubs.collect();
        let local = self
            .state
            .with_peers(|peers| peers.local_addresses(data_centre, now));
        let number = self.state.with_loads(|loads| {
            loads.digest_number += 1;
            loads.digest_number
        });
        let retiring = self.state.local_retiring();
        let (local_part, merged) = self.state.with_loads(|loads| {
            loads.hub.expire(now);
            let local_part = loads
                .hub
                .local_digest(local_node, data_centre, number, retiring);
            let merged = loads.hub.merged_digest(local_part.clone());
            (local_part, merged)
        });
        let message = peers::PeerMessage::Digest(loads::LoadDigest {
            counted: collections::BTreeMap::new(),
            ..local_part
        });
        beat_loop::send_all(&self.state, &self.socket, message, &hubs).await;
        let message = peers::PeerMessage::Digest(merged.clone());
        beat_loop::send_all(&self.state, &self.socket, message, &local).await;
        load_intake::apply_digest(&self.state, merged, now);
    }
}
