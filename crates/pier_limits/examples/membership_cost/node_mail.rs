//! How a node handles received datagrams.

use std::time;

use pier_types::{ids, sizes, times};
use pier_wire::messages;

use crate::{Fault, cost_inputs, cost_node};

impl cost_node::CostNode {
    /// Handles a datagram; returns the sealed replies.
    pub fn receive(
        &mut self,
        datagram: &[u8],
        now: times::BootTime,
    ) -> Result<Vec<Vec<u8>>, Fault> {
        let opened = self.opener.open(datagram, now)?;
        let mut replies = Vec::new();
        for message in opened.messages {
            match message {
                messages::PeerMessage::Beat(beat) => {
                    self.table
                        .record_beat(&opened.sender, opened.instance, beat, now);
                }
                messages::PeerMessage::Members(entries) => {
                    self.table.record_entries(&opened.sender, entries, now);
                }
                messages::PeerMessage::ProbePull(pull) => replies.push(self.answer(&pull, now)),
                messages::PeerMessage::LoadBatch(loads) => {
                    if let Some(batch) = self.pulls.complete(&opened.sender, &loads) {
                        self.take_batch(&opened.sender, &batch);
                    }
                }
                messages::PeerMessage::ProbeBatch(batch) => {
                    self.pulls.remember(&opened.sender, &batch);
                    self.take_batch(&opened.sender, &batch);
                }
                messages::PeerMessage::ShareAsk(ask) => {
                    replies.extend(self.grant(&opened.sender, &ask, now)?);
                }
                messages::PeerMessage::ShareGrant(grant) => self.holding.apply_grant(&grant),
                messages::PeerMessage::ListPull(pull) => {
                    let note = self.relay.answer_pull(pull, now);
                    replies.extend(note.map(messages::PeerMessage::ListNote));
                }
                messages::PeerMessage::ListNote(note) => {
                    self.relay.receive_note(&opened.sender, note, now);
                }
                messages::PeerMessage::Crashes(_) | messages::PeerMessage::ConfigHint(_) => {}
            }
        }
        self.seal(replies)
    }

    fn answer(&self, pull: &messages::ProbePull, now: times::BootTime) -> messages::PeerMessage {
        let asked = |vm: &ids::VmName, rank: usize| match &pull.scope {
            messages::PullScope::First => rank == 0,
            messages::PullScope::Named(keys) => keys.contains(&messages::VmKey::of(vm)),
        };
        let results = self
            .assignments
            .iter()
            .filter(|(vm, rank)| asked(vm, **rank))
            .filter_map(|(vm, _)| self.evidence_table.fresh(vm, now))
            .map(|one| messages::ProbeResult {
                vm: one.report.vm.clone(),
                age: now.since(one.probed_at),
                latency: one.latency,
                outcome: Ok(one.report.clone()),
            })
            .collect::<Vec<_>>();
        messages::ProbeBatch::pack(pull.pull, &results).reply(pull.known)
    }

    fn take_batch(&mut self, sender: &ids::NodeName, batch: &messages::ProbeBatch) {
        let Some(asked_at) = self.pulls.asked_at(sender, batch.pull) else {
            return;
        };
        for result in batch.unpack(|key| self.names.get(&key).cloned()) {
            self.evidence_table.observe(result, asked_at);
        }
    }

    fn grant(
        &mut self,
        sender: &ids::NodeName,
        ask: &messages::ShareAsk,
        now: times::BootTime,
    ) -> Result<Option<messages::PeerMessage>, Fault> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let limits = cost_inputs::demand()?
            .into_keys()
            .map(|key| (key, sizes::RequestCount::new(64)));
        ledger.set_limits(&limits.collect(), now);
        let end = now.after(time::Duration::from_mins(1));
        Ok(ledger
            .answer(sender, ask, now, end)
            .map(messages::PeerMessage::ShareGrant))
    }
}
