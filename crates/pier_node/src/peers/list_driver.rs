//! Keeps the VM list of the data centre, by the lease holder's readings or by own ones.

use std::{net, time};

use pier_limits::relays;
use pier_types::{ids, times};
use pier_wire::messages;
use tokio::sync::mpsc;

use crate::{handle, peers::list_call};

/// Longest delay by which this node's readings come after those of others that lost the same
/// reader.
const LONGEST_DELAY: time::Duration = time::Duration::from_millis(400);

/// The relay with its calls.
#[derive(Debug)]
pub(super) struct ListDriver {
    handle: handle::NodeHandle,
    outcomes: mpsc::UnboundedSender<list_call::ListOutcome>,
    relay: relays::VmRelay,
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
        }
    }

    /// Reads the platform when that is due.
    pub(super) fn tick(&mut self, now: times::BootTime) {
        if self.relay.is_reading_due(self.duty(now), now) {
            let source = list_call::ListSource {
                peer: self.reader_address().filter(|_| self.relay.is_behind()),
                known_tag: self.relay.start_reading(now),
            };
            list_call::make(&self.handle, &self.outcomes, source);
        }
    }

    /// Takes in how a reading ended.
    pub(super) fn take_outcome(&mut self, outcome: list_call::ListOutcome, now: times::BootTime) {
        let was_away = self.relay.is_away();
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

    /// Answers another node's pull.
    pub(super) fn answer(
        &self,
        pull: messages::ListPull,
        now: times::BootTime,
    ) -> Option<messages::ListNote> {
        self.relay.answer(pull, now)
    }

    /// Takes in another node's answer.
    pub(super) fn take_note(
        &mut self,
        sender: &ids::NodeName,
        note: messages::ListNote,
        now: times::BootTime,
    ) {
        let was_away = self.relay.is_away();
        let event = self.relay.take(sender, note, now);
        self.publish(event, was_away);
    }

    fn duty(&self, now: times::BootTime) -> relays::ListDuty {
        let held_until = self.handle.lease().and_then(|lease| lease.held_until);
        if held_until.is_some_and(|until| now < until) {
            relays::ListDuty::Reader
        } else {
            relays::ListDuty::Follower
        }
    }

    fn publish(&self, event: relays::RelayEvent, was_away: bool) {
        if was_away && !self.relay.is_away() {
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
            self.handle.note_platform(span.from);
            self.handle
                .publish_list(handle::ListSnapshot { list, span });
        }
    }

    /// Returns where the node that reads for all is reached.
    fn reader_address(&self) -> Option<net::SocketAddr> {
        let lease = self.handle.lease()?;
        let peers = self.handle.peers();
        let reader = peers.iter().find(|peer| peer.node == lease.record.holder);
        reader.map(|reader| reader.address)
    }
}
