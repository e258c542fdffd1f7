//! Keeps the VM list of the data centre, by the lease holder's readings or by own ones.

use std::{collections, net, time};

use pier_limits::relays;
use pier_types::{ids, times};
use pier_wire::messages;
use tokio::sync::mpsc;

use crate::{handle, peers::list_call};

/// Longest delay by which this node's readings come after those of others that lost the same
/// reader.
const LONGEST_DELAY: time::Duration = time::Duration::from_millis(400);

/// Time between two pulls to nodes that do not read for all.
const SEARCH_PERIOD: time::Duration = time::Duration::from_millis(400);

/// The relay with its calls.
#[derive(Debug)]
pub(super) struct ListDriver {
    handle: handle::NodeHandle,
    outcomes: mpsc::UnboundedSender<list_call::ListOutcome>,
    relay: relays::VmRelay,
    /// The node whose list this node could not follow by changes.
    ahead: Option<ids::NodeName>,
    searched_at: times::BootTime,
    searched: usize,
}

impl ListDriver {
    /// Makes a driver without a list.
    pub(super) fn new(
        handle: handle::NodeHandle,
        outcomes: mpsc::UnboundedSender<list_call::ListOutcome>,
    ) -> Self {
        let delay = LONGEST_DELAY.mul_f64(rand::random_range(0.0..=1.0));
        Self {
            handle,
            outcomes,
            relay: relays::VmRelay::new(delay),
            ahead: None,
            searched_at: times::BootTime::default(),
            searched: 0,
        }
    }

    /// Reads the platform when that is due.
    pub(super) fn tick(&mut self, now: times::BootTime) {
        if self.relay.is_reading_due(self.duty(now), now) {
            let source = list_call::ListSource {
                peer: self.ahead_address().filter(|_| self.relay.is_behind()),
                known_tag: self.relay.start_reading(now),
            };
            list_call::make(&self.handle, &self.outcomes, source);
        }
    }

    /// Takes in how a reading ended.
    pub(super) fn take_outcome(&mut self, outcome: list_call::ListOutcome, now: times::BootTime) {
        let was_away = self.relay.is_platform_away();
        let outcome = match outcome {
            list_call::ListOutcome::Read(outcome) | list_call::ListOutcome::Copied(outcome) => {
                outcome
            }
            list_call::ListOutcome::Away(error) => {
                if !was_away {
                    log::warn!(event = "vm-list-away", cause:% = error; "");
                }
                relays::ReadingOutcome::Failed
            }
        };
        let event = self.relay.end_reading(outcome, now);
        self.publish(event, was_away);
    }

    /// Makes a pull for the node that reads for all; none when that is this node or not known.
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

    /// Makes a pull for the next of the data centre's other nodes, while neither this node nor the
    /// one that reads for all has read the platform lately.
    pub(super) fn search(
        &mut self,
        nodes: &collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) -> Option<(ids::NodeName, messages::ListPull)> {
        let is_due = now.since(self.searched_at) >= SEARCH_PERIOD;
        if !is_due || !self.relay.is_stale(self.duty(now), now) {
            return None;
        }
        self.searched_at = now;
        self.searched = self.searched.wrapping_add(1);
        let turn = self.searched % nodes.len().max(1);
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

    /// Takes in another node's answer.
    pub(super) fn take_note(
        &mut self,
        sender: &ids::NodeName,
        note: messages::ListNote,
        now: times::BootTime,
    ) {
        let was_away = self.relay.is_platform_away();
        let event = self.relay.receive_note(sender, note, now);
        if event == relays::RelayEvent::Behind {
            self.ahead = Some(sender.clone());
        }
        self.publish(event, was_away);
    }

    fn duty(&self, now: times::BootTime) -> relays::ListRole {
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
        // A reading by the node that reads for all is word of the platform as well.
        if let (Some(list), Some(span)) = (self.relay.list(), self.relay.span()) {
            self.handle.record_platform_contact(span.from);
            self.handle
                .publish_list(handle::ListSnapshot { list, span });
        }
    }

    /// Returns where the node is reached that has a newer list.
    fn ahead_address(&self) -> Option<net::SocketAddr> {
        let ahead = self.ahead.as_ref()?;
        let peers = self.handle.peers();
        let ahead = peers.iter().find(|peer| peer.node == *ahead);
        ahead.map(|ahead| ahead.address)
    }
}
