//! One node of the modelled data centre.

use std::{collections, time};

use pier_limits::{members, probes, relays, shares};
use pier_types::{epochs, ids, times};
use pier_wire::{messages, seals};

use crate::{Fault, cost_inputs, sent_bytes};

/// Datagrams, each with the indices of its sender and its receiver.
type Mail = Vec<(usize, usize, Vec<u8>)>;

/// The decisions of one node with its datagram sealer; counts what it sends.
pub struct CostNode {
    name: ids::NodeName,
    sealer: seals::DatagramSealer,
    pub(super) opener: seals::DatagramOpener,
    pub(super) table: members::MemberTable,
    schedule: probes::ProbeSchedule,
    plan: probes::ProbePlan,
    pub(super) pulls: probes::PullPlan,
    /// The evidence about each VM.
    pub evidence_table: probes::EvidenceTable,
    pub(super) assignments: collections::BTreeMap<ids::VmName, usize>,
    pub(super) names: collections::BTreeMap<messages::VmKey, ids::VmName>,
    pub(super) holding: shares::ShareHolding,
    ask_schedule: shares::AskSchedule,
    pub(super) ledger: Option<shares::ShareLedger>,
    pub(super) relay: relays::VmRelay,
    /// The bytes that it sent.
    pub sent: sent_bytes::SentBytes,
    /// Number of readings of the platform's VM list.
    pub readings: usize,
    /// Number of probes that it made.
    pub probed: usize,
}

impl CostNode {
    /// Creates a node that knows the names of all nodes and VMs and which VMs it probes.
    pub fn new(
        number: u16,
        count: u16,
        listed: &collections::BTreeSet<ids::VmName>,
    ) -> Result<Self, Fault> {
        let key = "a-key-of-enough-characters".parse::<seals::WireKey>()?;
        let name = cost_inputs::node_name(number)?;
        let instance = seals::NodeInstance::new(number.into());
        let nodes = (0..count)
            .map(cost_inputs::node_name)
            .collect::<Result<collections::BTreeSet<_>, _>>()?;
        let plan = probes::ProbePlan::build(&nodes, listed);
        let assignments = plan.assignments(&name);
        let now = times::BootTime::default();
        let mut schedule = probes::ProbeSchedule::default();
        schedule.assign(&assignments, now);
        let policy = shares::SharePolicy::default();
        let ledger = (number == 0).then(|| {
            let mut ledger = shares::ShareLedger::new(
                policy,
                epochs::LeaseTerm::new(1),
                now,
                count.into(),
                [].into(),
            );
            ledger.record_nodes(nodes);
            ledger
        });
        let own = messages::MemberEntry {
            node: name.clone(),
            instance,
            data_centre: "mvd-a".parse()?,
            address: cost_inputs::address(number),
            beat: messages::MemberBeat {
                heartbeat: 0,
                config: epochs::ConfigVersion::new(400),
                draining: false,
            },
        };
        Ok(Self {
            name: name.clone(),
            sealer: seals::DatagramSealer::new(key.clone(), name, instance),
            opener: seals::DatagramOpener::new(key, instance),
            table: members::MemberTable::new(own, members::MemberPolicy::default()),
            schedule,
            plan,
            pulls: probes::PullPlan::default(),
            evidence_table: probes::EvidenceTable::new(time::Duration::from_secs(4)),
            assignments,
            names: listed
                .iter()
                .map(|vm| (messages::VmKey::of(vm), vm.clone()))
                .collect(),
            holding: shares::ShareHolding::new(policy),
            ask_schedule: shares::AskSchedule::default(),
            ledger,
            relay: relays::VmRelay::new(time::Duration::from_millis(u64::from(number) * 8)),
            sent: sent_bytes::SentBytes::default(),
            readings: 0,
            probed: 0,
        })
    }

    /// Resets the counts.
    pub fn reset(&mut self) {
        self.sent = sent_bytes::SentBytes::default();
        self.readings = 0;
        self.probed = 0;
    }

    /// Makes the probes that are due; each returns a report.
    pub fn probe(&mut self, second: u64, now: times::BootTime) -> Result<(), Fault> {
        for vm in self.schedule.due(&collections::BTreeSet::new(), now) {
            self.probed += 1;
            let result = messages::ProbeResult {
                age: time::Duration::ZERO,
                latency: time::Duration::from_millis(2),
                outcome: Ok(cost_inputs::report(&vm, second)?),
                vm,
            };
            self.evidence_table.observe(result, now);
        }
        Ok(())
    }

    /// Reads the VM list if that is due.
    pub fn read_list(
        &mut self,
        is_holder: bool,
        vms: u32,
        second: u64,
        now: times::BootTime,
    ) -> Result<(), Fault> {
        let role = if is_holder {
            relays::ListRole::Reader
        } else {
            relays::ListRole::Follower
        };
        if self.relay.is_reading_due(role, now) {
            self.readings += 1;
            self.relay.start_reading(now);
            let list = cost_inputs::list(vms, second)?;
            let outcome = relays::ReadingOutcome::Listed { list, tag: None };
            self.relay.end_reading(outcome, now);
        }
        Ok(())
    }

    /// Sends gossip, pulls with heartbeats, and an ask for shares.
    pub fn send_round(
        &mut self,
        own: usize,
        listed: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Result<Mail, Fault> {
        self.table.tick(now);
        self.table.beat(epochs::ConfigVersion::new(400), false);
        let mut mail = Vec::new();
        let gossip = self.table.gossip(&[cost_inputs::address(0)], now);
        for receiver in gossip.receivers {
            let message = messages::PeerMessage::Members(gossip.entries.clone());
            mail.push((receiver, vec![message]));
        }
        let peers = self.table.live_peers(now);
        let names = peers.keys().cloned().collect();
        let reader = cost_inputs::node_name(0)?;
        let expiring =
            self.evidence_table
                .older_than(time::Duration::from_millis(2_500), listed, now);
        for (peer, pull) in self
            .pulls
            .round(&self.name, &self.plan, &names, &expiring, now)
        {
            let pull = messages::PeerMessage::ProbePull(pull);
            let heartbeat_message = self.table.heartbeat_message(&peer, now);
            let mut datagram_messages = vec![heartbeat_message, pull];
            if peer == reader {
                let list_pull = self.relay.pull(&reader, now);
                datagram_messages.push(messages::PeerMessage::ListPull(list_pull));
            }
            mail.push((peers[&peer].address, datagram_messages));
        }
        let (term, demand) = (epochs::LeaseTerm::new(1), cost_inputs::demand()?);
        if own != 0 && self.ask_schedule.is_due(term, &demand, &self.holding, now) {
            self.ask_schedule.record_ask(term, &demand, now);
            let ask = self.holding.ask(term, &demand, now);
            mail.push((
                cost_inputs::address(0),
                vec![messages::PeerMessage::ShareAsk(ask)],
            ));
        }
        let mut sealed = Vec::new();
        for (receiver, messages) in mail {
            for datagram in self.seal(messages)? {
                sealed.push((own, usize::from(receiver.port()) - 1, datagram));
            }
        }
        Ok(sealed)
    }

    pub(super) fn seal(
        &mut self,
        messages: Vec<messages::PeerMessage>,
    ) -> Result<Vec<Vec<u8>>, Fault> {
        for message in &messages {
            self.sent.count_message(message);
        }
        let datagrams = self.sealer.seal(messages)?;
        for datagram in &datagrams {
            self.sent.count_datagram(datagram);
        }
        Ok(datagrams)
    }
}
