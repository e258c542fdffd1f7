//! Keeps the VM list of the data centre up to date.
//!
//! The lease holder reads the platform and the other nodes follow its list. They read the platform
//! themselves when the holder does not deliver.

use std::{collections, net, time};

use pier_limits::relays;
use pier_types::{ids, times};
use pier_wire::messages;
use tokio::sync::mpsc;

use crate::{handle, peers::list_call};

/// Upper bound of this node's random read delay; it spreads the reads of the nodes that lost the
/// same reader.
const MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// Time between two pulls to nodes other than the lease holder.
const SEARCH_PERIOD: time::Duration = time::Duration::from_millis(400);

/// Runs the VM list relay and makes its calls.
#[derive(Debug)]
pub(super) struct ListDriver {
    handle: handle::NodeHandle,
    outcomes: mpsc::UnboundedSender<list_call::ListOutcome>,
    relay: relays::VmRelay,
    /// A node with a newer list that this node cannot reach by applying changes.
    newer_peer: Option<ids::NodeName>,
    searched_at: times::BootTime,
    search_count: usize,
}

impl ListDriver {
    /// Creates a driver without a list.
    pub(super) fn new(
        handle: handle::NodeHandle,
        outcomes: mpsc::UnboundedSender<list_call::ListOutcome>,
    ) -> Self {
        let delay = MAX_DELAY.mul_f64(rand::random_range(0.0..=1.0));
        Self {
            handle,
            outcomes,
            relay: relays::VmRelay::new(delay),
            newer_peer: None,
            searched_at: times::BootTime::default(),
            search_count: 0,
        }
    }

    /// Starts a read of the list if one is due.
    pub(super) fn tick(&mut self, now: times::BootTime) {
        if self.relay.is_reading_due(self.role(now), now) {
            let source = list_call::ListSource {
                peer: self.newer_peer_address().filter(|_| self.relay.is_behind()),
                known_tag: self.relay.start_reading(now),
            };
            list_call::start_read(&self.handle, &self.outcomes, source);
        }
    }

    /// Records the outcome of a read.
    pub(super) fn record_outcome(&mut self, outcome: list_call::ListOutcome, now: times::BootTime) {
        let was_away = self.relay.is_platform_away();
        let outcome = match outcome {
            list_call::ListOutcome::Read(outcome) | list_call::ListOutcome::Copied(outcome) => {
                outcome
            }
            list_call::ListOutcome::PlatformUnavailable(error) => {
                if !was_away {
                    log::warn!(event = "vm-list-away", cause:% = error; "");
                }
                relays::ReadingOutcome::Failed
            }
        };
        let event = self.relay.end_reading(outcome, now);
        self.publish(event, was_away);
    }

    /// Returns a pull for the lease holder; none when that is this node or unknown.
    pub(super) fn pull(
        &mut self,
        now: times::BootTime,
    ) -> Option<(ids::NodeName, messages::ListPull)> {
        let lease = self.handle.lease()?;
        let holder = &lease.record.holder;
        if holder == self.handle.name() {
            return None;
        }
        let pull = self.relay.pull(holder, now);
        Some((holder.clone(), pull))
    }

    /// Returns a pull for the next of the data centre's other nodes while the list is stale: neither
    /// this node nor the lease holder has read the platform lately.
    pub(super) fn search(
        &mut self,
        nodes: &collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) -> Option<(ids::NodeName, messages::ListPull)> {
        let is_due = now.since(self.searched_at) >= SEARCH_PERIOD;
        if !is_due || !self.relay.is_stale(self.role(now), now) {
            return None;
        }
        self.searched_at = now;
        self.search_count = self.search_count.wrapping_add(1);
        let turn = self.search_count % nodes.len().max(1);
        let node = nodes.iter().nth(turn)?.clone();
        let pull = self.relay.pull(&node, now);
        Some((node, pull))
    }

    /// Answers another node's pull.
    pub(super) fn answer(
        &self,
        pull: messages::ListPull,
        now: times::BootTime,
    ) -> Option<messages::ListNote> {
        self.relay.answer_pull(pull, now)
    }

    /// Records another node's answer to a pull.
    pub(super) fn record_note(
        &mut self,
        sender: &ids::NodeName,
        note: messages::ListNote,
        now: times::BootTime,
    ) {
        let was_away = self.relay.is_platform_away();
        let event = self.relay.receive_note(sender, note, now);
        if event == relays::RelayEvent::Behind {
            self.newer_peer = Some(sender.clone());
        }
        self.publish(event, was_away);
    }

    fn role(&self, now: times::BootTime) -> relays::ListRole {
        let held_until = self.handle.lease().and_then(|lease| lease.held_until);
        if held_until.is_some_and(|until| now < until) {
            relays::ListRole::Reader
        } else {
            relays::ListRole::Follower
        }
    }

    fn publish(&self, event: relays::RelayEvent, was_away: bool) {
        if was_away && !self.relay.is_platform_away() {
            log::info!(event = "vm-list-back"; "");
        }
        match event {
            relays::RelayEvent::Changed => {
                let list = self.relay.list().unwrap_or_default();
                log::info!(event = "vm-list-changed", vms = list.len(); "");
                self.handle.publish_vms(list.as_ref().clone());
            }
            relays::RelayEvent::Behind => log::info!(event = "vm-list-behind"; ""),
            relays::RelayEvent::Confirmed | relays::RelayEvent::Ignored => {}
        }
        // A read by the lease holder also proves that the platform is reachable.
        if let (Some(list), Some(span)) = (self.relay.list(), self.relay.span()) {
            self.handle.record_platform_contact(span.from);
            self.handle
                .publish_list(handle::ListSnapshot { list, span });
        }
    }

    /// Returns the address of the node that has a newer list.
    fn newer_peer_address(&self) -> Option<net::SocketAddr> {
        let newer_peer = self.newer_peer.as_ref()?;
        let peers = self.handle.peers();
        let newer_peer = peers.iter().find(|peer| peer.node == *newer_peer);
        newer_peer.map(|newer_peer| newer_peer.address)
    }
}
