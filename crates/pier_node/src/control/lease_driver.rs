//! Runs the control lease of this node's data centre.

use std::{collections, net, sync, time};

use pier_control::leases;
use pier_types::{epochs, ids, times};

use crate::{control, handle};

/// Time for which a silent node keeps its slot; regions can be disconnected from each other for
/// this long.
const SLOT_RETENTION: time::Duration = time::Duration::from_hours(1);

/// Runs the lease state machine and makes its calls.
#[derive(Debug)]
pub(super) struct LeaseDriver {
    handle: handle::NodeHandle,
    events: control::EventSender,
    keeper: leases::LeaseKeeper,
    grant: control::SharedGrant,
    roster: leases::RosterTracker,
    has_resigned: bool,
}

impl LeaseDriver {
    /// Creates a driver that has no lease record yet, and starts its watch.
    pub(super) fn new(
        handle: handle::NodeHandle,
        events: control::EventSender,
        settings: leases::LeaseSettings,
    ) -> Self {
        control::lease_calls::watch(&handle, &events);
        Self {
            keeper: leases::LeaseKeeper::new(handle.name().clone(), settings),
            grant: sync::Arc::default(),
            roster: leases::RosterTracker::new(SLOT_RETENTION),
            has_resigned: false,
            handle,
            events,
        }
    }

    /// Returns the lease if this node holds it now.
    pub(super) fn grant(&self, now: times::BootTime) -> Option<leases::LeaseGrant> {
        self.keeper.grant(now)
    }

    /// Returns the lease grant in a form that other tasks can read at any time.
    pub(super) fn shared_grant(&self) -> control::SharedGrant {
        sync::Arc::clone(&self.grant)
    }

    /// Processes an event and starts the calls that are due.
    pub(super) fn step(&mut self, event: leases::LeaseEvent, now: times::BootTime) {
        let addresses = self.addresses();
        let present = self.present_nodes(&addresses, now);
        self.keeper.set_present(present);
        self.keeper.set_addresses(addresses);
        let held = self.keeper.grant(now).map(|grant| grant.term);
        let actions = if self.handle.is_draining() && !self.has_resigned {
            self.has_resigned = true;
            self.keeper.resign(now, draw_randomness())
        } else {
            self.keeper.step(event, now, draw_randomness())
        };
        self.publish(now, held);
        for action in actions {
            control::lease_calls::start(&self.handle, &self.events, action);
        }
    }

    /// Publishes the lease record and whether this node holds the lease.
    fn publish(&self, now: times::BootTime, before: Option<epochs::LeaseTerm>) {
        let grant = self.keeper.grant(now);
        self.grant.store(grant.map(sync::Arc::new));
        if grant.map(|grant| grant.term) != before {
            let term = grant.map(|grant| grant.term.get());
            log::info!(event = "lease-changed", held = grant.is_some(), term:? = term; "");
        }
        if let Some((_version, record)) = self.keeper.record() {
            self.handle.publish_lease(handle::LeaseSnapshot {
                record: record.clone(),
                held_until: grant.map(|grant| grant.until),
            });
        }
    }

    /// Returns the nodes of this data centre that get or keep a slot.
    fn present_nodes(
        &mut self,
        addresses: &collections::BTreeMap<ids::NodeName, net::SocketAddr>,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        let data_centre = &self.handle.settings().data_centre;
        let peers = self.handle.peers();
        let local = peers.iter().filter(|peer| peer.data_centre == *data_centre);
        let (stopping, live): (Vec<_>, Vec<_>) = local.partition(|peer| peer.draining);
        let record = self.keeper.record().map(|(_version, record)| record);
        let roster = record.map(|record| record.roster.clone());
        let roster = roster.unwrap_or_default();
        let recorded = roster.slots.values().cloned().collect();
        let mut ended = self.roster.replaced(addresses, &roster.addresses, now);
        ended.extend(names(&stopping));
        self.roster.retained(&names(&live), &recorded, &ended, now)
    }

    /// Returns the datagram addresses of the live nodes of this data centre.
    fn addresses(&self) -> collections::BTreeMap<ids::NodeName, net::SocketAddr> {
        let settings = self.handle.settings();
        let peers = self.handle.peers();
        let local = peers
            .iter()
            .filter(|peer| peer.data_centre == settings.data_centre);
        let mut addresses: collections::BTreeMap<_, _> = local
            .map(|peer| (peer.node.clone(), peer.address))
            .collect();
        // The address tells which process replaced an ended one. With a port chosen by the system it
        // cannot, as the next process gets another port.
        if settings.peers.port() != 0 {
            addresses.insert(self.handle.name().clone(), settings.peers);
        }
        addresses
    }
}

fn names(peers: &[&handle::PeerEntry]) -> collections::BTreeSet<ids::NodeName> {
    peers.iter().map(|peer| peer.node.clone()).collect()
}

/// Returns the random values for one step.
fn draw_randomness() -> leases::LeaseRandomness {
    leases::LeaseRandomness {
        nonce: ids::WriteNonce::new(rand::random()),
        jitter_permille: rand::random_range(0..=1_000),
    }
}
