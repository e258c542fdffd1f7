//! Handles the datagrams that the peer loop receives.

use std::{io, net};

use pier_types::{epochs, ids, times, times::clocks};
use pier_wire::{messages, seals};

use crate::peers::{self, crash_marks};

impl peers::PeerLoop {
    pub(super) fn handle_datagram(
        &mut self,
        received: io::Result<(Vec<u8>, net::SocketAddr)>,
        now: times::BootTime,
    ) {
        let Ok((datagram, source)) = received else {
            // A datagram sent earlier reached a closed port; the socket can still receive.
            return;
        };
        match self.opener.open(&datagram, now) {
            Ok(opened) => self.handle_messages(opened, source, now),
            Err(refusal) => {
                if refusal != seals::SealRefusal::OwnEcho {
                    self.handle
                        .metrics()
                        .requests()
                        .count_refused_datagram(refusal);
                }
                self.refusals.count(refusal, source);
            }
        }
    }

    /// Handles the messages of one datagram and sends the replies together.
    fn handle_messages(
        &mut self,
        opened: seals::OpenedDatagram,
        source: net::SocketAddr,
        now: times::BootTime,
    ) {
        let (sender, instance) = (opened.sender, opened.instance);
        let mut replies = Vec::new();
        for message in opened.messages {
            match message {
                messages::PeerMessage::Beat(beat) => {
                    self.members.record_beat(&sender, instance, beat, now);
                    self.hint(&sender, source, beat.config);
                }
                messages::PeerMessage::Members(entries) => {
                    for entry in &entries {
                        self.hint(&entry.node, entry.address, entry.beat.config);
                    }
                    self.members.record_entries(&sender, entries, now);
                }
                messages::PeerMessage::ConfigHint(version) => self.hint(&sender, source, version),
                message => replies.extend(self.handle_other(&sender, message, now)),
            }
        }
        if !replies.is_empty() {
            self.send(source, replies);
        }
    }

    /// Handles a message that is not about membership, and returns the reply if it needs one.
    fn handle_other(
        &mut self,
        sender: &ids::NodeName,
        message: messages::PeerMessage,
        now: times::BootTime,
    ) -> Option<messages::PeerMessage> {
        match message {
            messages::PeerMessage::ProbePull(pull) => {
                return Some(self.probes.answer_pull(&pull, clocks::boot_now()));
            }
            messages::PeerMessage::ShareAsk(ask) => {
                let grant = self.shares.answer(sender, &ask, clocks::boot_now());
                return grant.map(messages::PeerMessage::ShareGrant);
            }
            messages::PeerMessage::ListPull(pull) => {
                let note = self.lists.answer(pull, now);
                return note.map(messages::PeerMessage::ListNote);
            }
            messages::PeerMessage::ProbeBatch(batch) => {
                self.pulls.remember(sender, &batch);
                self.record_batch(sender, &batch);
            }
            messages::PeerMessage::LoadBatch(loads) => {
                if let Some(batch) = self.pulls.complete(sender, &loads) {
                    self.record_batch(sender, &batch);
                }
            }
            messages::PeerMessage::ShareGrant(grant) => {
                self.shares.apply_grant(&grant, clocks::boot_now());
            }
            messages::PeerMessage::ListNote(note) => {
                self.lists.record_note(sender, note, now);
            }
            messages::PeerMessage::Crashes(crashes) => {
                let delta = crash_marks::from_message(crashes);
                self.handle.requests().merge_crashes(&delta);
            }
            messages::PeerMessage::Beat(_)
            | messages::PeerMessage::Members(_)
            | messages::PeerMessage::ConfigHint(_) => {}
        }
        None
    }

    /// Records probe results if they answer a pull that was sent to their sender.
    fn record_batch(&mut self, sender: &ids::NodeName, batch: &messages::ProbeBatch) {
        if let Some(asked_at) = self.pulls.asked_at(sender, batch.pull) {
            self.probes.record_batch(batch, asked_at);
        }
    }

    /// Passes a node's configuration version to the configuration loop if it is above the one in
    /// force here.
    fn hint(&self, node: &ids::NodeName, address: net::SocketAddr, version: epochs::ConfigVersion) {
        if version > self.config_version() {
            self.configs.hint(node.clone(), address, version);
        }
    }
}
