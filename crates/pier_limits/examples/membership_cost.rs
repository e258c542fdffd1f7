//! Prints what gossip, probes and shares cost a node, over growing numbers of nodes and VMs.
//!
//! The decisions and the wire run for real between the nodes of one data centre, in virtual time;
//! bytes are those of datagrams without headers of IP and UDP, CPU time is this process's time per
//! node, HTTP probes are counted by their length on the wire and not run. Memory is the growth
//! of the resident set per node.

use std::{collections, error, fs, io, io::Write, net, time};

use pier_limits::{members, probes, shares};
use pier_types::{epochs, ids, reports, sizes, times};
use pier_wire::{messages, seals};

/// Virtual time of each run, in seconds; the costs are those after the warm-up.
const SECONDS: u64 = 30;
const WARM_UP: u64 = 15;
/// Bytes of one probe both ways: a request of 60, an answer with head of 360.
const PROBE_BYTES: usize = 420;
/// VMs of a group.
const GROUP_SIZE: u32 = 6;
/// Targets at which a node has or wants shares.
const BUSY_TARGETS: u32 = 30;

struct CostNode {
    name: ids::NodeName,
    sealer: seals::DatagramSealer,
    opener: seals::DatagramOpener,
    table: members::MemberTable,
    schedule: probes::ProbeSchedule,
    plan: probes::ProbePlan,
    pulls: probes::PullPlan,
    board: probes::EvidenceBoard,
    duties: collections::BTreeMap<ids::VmName, usize>,
    names: collections::BTreeMap<messages::VmKey, ids::VmName>,
    holding: shares::ShareHolding,
    asking: shares::AskSchedule,
    ledger: Option<shares::ShareLedger>,
    sent: usize,
    probed: usize,
}

type Fault = Box<dyn error::Error>;

fn main() -> Result<(), Fault> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "nodes  vms  cpu_ms/s  rss_kB  datagrams_B/s  holder_B/s  probes_B/s  evidence  worst_age_ms"
    )?;
    for (nodes, vms) in [
        (10, 100),
        (20, 100),
        (45, 100),
        (90, 100),
        (45, 450),
        (45, 900),
        (90, 900),
    ] {
        measure(&mut out, nodes, vms)?;
    }
    Ok(())
}

fn measure(out: &mut impl Write, nodes: u16, vms: u32) -> Result<(), Fault> {
    let rss_before = resident_kb()?;
    let listed = (0..vms)
        .map(vm_name)
        .collect::<Result<collections::BTreeSet<_>, _>>()?;
    let mut all = (0..nodes)
        .map(|number| CostNode::new(number, nodes, &listed))
        .collect::<Result<Vec<_>, _>>()?;
    let mut cpu = time::Duration::ZERO;
    for second in 1..=SECONDS {
        if second == WARM_UP + 1 {
            cpu = cpu_time()?;
            all.iter_mut().for_each(CostNode::reset);
        }
        run_second(&mut all, &listed, second)?;
    }
    let measured = f64::from(u32::try_from(SECONDS - WARM_UP)?);
    let cpu = cpu_time()?.saturating_sub(cpu).as_secs_f64() * 1_000.0;
    let rss = resident_kb()?.saturating_sub(rss_before);
    let others = &all[1..];
    let each = |total: usize| total as f64 / measured / others.len() as f64;
    let now = times::BootTime::from_millis((SECONDS + 1) * 1_000);
    let evidence = all[1].board.evidence(now);
    let oldest = evidence.values().map(|one| now.since(one.probed_at)).max();
    writeln!(
        out,
        "{nodes:>5} {vms:>4} {:>9.2} {:>7} {:>14.0} {:>11.0} {:>11.0} {:>9} {:>13}",
        cpu / measured / f64::from(nodes),
        rss / u64::from(nodes),
        each(others.iter().map(|node| node.sent).sum()),
        all[0].sent as f64 / measured,
        each(others.iter().map(|node| node.probed).sum::<usize>() * PROBE_BYTES),
        evidence.len(),
        oldest.unwrap_or_default().as_millis(),
    )?;
    Ok(())
}

/// Runs the ten ticks of a second, with all datagrams arriving in the tick they were sent in.
fn run_second(
    all: &mut [CostNode],
    listed: &collections::BTreeSet<ids::VmName>,
    second: u64,
) -> Result<(), Fault> {
    for tick in 0..10 {
        let now = times::BootTime::from_millis(second * 1_000 + tick * 100);
        let mut mail = collections::VecDeque::new();
        for (index, node) in all.iter_mut().enumerate() {
            node.probe(now)?;
            // Each node has its own tenth of the second.
            if index % 10 == usize::try_from(tick)? {
                mail.extend(node.send_round(index, listed, now)?);
            }
        }
        while let Some((from, to, datagram)) = mail.pop_front() {
            let replies = all[to].receive(&datagram, now)?;
            mail.extend(replies.into_iter().map(|reply| (to, from, reply)));
        }
    }
    Ok(())
}

impl CostNode {
    fn new(
        number: u16,
        count: u16,
        listed: &collections::BTreeSet<ids::VmName>,
    ) -> Result<Self, Fault> {
        let key = "a-key-of-enough-characters".parse::<seals::WireKey>()?;
        let name = node_name(number)?;
        let instance = seals::NodeInstance::new(number.into());
        let nodes = (0..count)
            .map(node_name)
            .collect::<Result<collections::BTreeSet<_>, _>>()?;
        let plan = probes::ProbePlan::build(&nodes, listed);
        let duties = plan.duties(&name);
        let now = times::BootTime::default();
        let mut schedule = probes::ProbeSchedule::default();
        schedule.assign(&duties, now);
        let terms = shares::ShareTerms::default();
        let ledger = (number == 0).then(|| {
            let mut ledger = shares::ShareLedger::new(
                terms,
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
            address: address(number),
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
            board: probes::EvidenceBoard::new(time::Duration::from_secs(4)),
            duties,
            names: listed
                .iter()
                .map(|vm| (messages::VmKey::of(vm), vm.clone()))
                .collect(),
            holding: shares::ShareHolding::new(terms),
            asking: shares::AskSchedule::default(),
            ledger,
            sent: 0,
            probed: 0,
        })
    }

    const fn reset(&mut self) {
        self.sent = 0;
        self.probed = 0;
    }

    fn probe(&mut self, now: times::BootTime) -> Result<(), Fault> {
        for vm in self.schedule.due(&collections::BTreeSet::new(), now) {
            self.probed += 1;
            let result = messages::ProbeResult {
                age: time::Duration::ZERO,
                latency: time::Duration::from_millis(2),
                outcome: Ok(report(&vm)?),
                vm,
            };
            self.board.observe(result, now);
        }
        Ok(())
    }

    /// Sends gossip, pulls with a sign of life, and a question for shares.
    fn send_round(
        &mut self,
        own: usize,
        listed: &collections::BTreeSet<ids::VmName>,
        now: times::BootTime,
    ) -> Result<Vec<(usize, usize, Vec<u8>)>, Fault> {
        self.table.tick(now);
        self.table.beat(epochs::ConfigVersion::new(400), false);
        let mut mail = Vec::new();
        let gossip = self.table.gossip(&[address(0)], now);
        for receiver in gossip.receivers {
            let message = messages::PeerMessage::Members(gossip.entries.clone());
            mail.push((receiver, vec![message]));
        }
        let peers = self.table.live_peers(now);
        let names = peers.keys().cloned().collect();
        let old = self
            .board
            .older_than(time::Duration::from_millis(2_500), listed, now);
        for (peer, pull) in self.pulls.round(&self.name, &self.plan, &names, &old, now) {
            let pull = messages::PeerMessage::ProbePull(pull);
            let greeting = self.table.greeting(&peer, now);
            mail.push((peers[&peer].address, vec![greeting, pull]));
        }
        let (term, demand) = (epochs::LeaseTerm::new(1), demand()?);
        if own != 0 && self.asking.is_due(term, &demand, &self.holding, now) {
            self.asking.note(term, &demand, now);
            let ask = self.holding.ask(term, &demand, now);
            mail.push((address(0), vec![messages::PeerMessage::ShareAsk(ask)]));
        }
        let mut sealed = Vec::new();
        for (receiver, messages) in mail {
            for datagram in self.seal(messages)? {
                sealed.push((own, usize::from(receiver.port()) - 1, datagram));
            }
        }
        Ok(sealed)
    }

    fn receive(&mut self, datagram: &[u8], now: times::BootTime) -> Result<Vec<Vec<u8>>, Fault> {
        let opened = self.opener.open(datagram, now)?;
        let mut replies = Vec::new();
        for message in opened.messages {
            match message {
                messages::PeerMessage::Beat(beat) => {
                    self.table
                        .hear_beat(&opened.sender, opened.instance, beat, now);
                }
                messages::PeerMessage::Members(entries) => {
                    self.table.hear_entries(&opened.sender, entries, now);
                }
                messages::PeerMessage::ProbePull(pull) => replies.push(self.answer(&pull, now)),
                messages::PeerMessage::ProbeBatch(batch) => {
                    self.take_batch(&opened.sender, &batch);
                }
                messages::PeerMessage::ShareAsk(ask) => {
                    replies.extend(self.lend(&opened.sender, &ask, now)?);
                }
                messages::PeerMessage::ShareGrant(grant) => self.holding.take(&grant),
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
            .duties
            .iter()
            .filter(|(vm, rank)| asked(vm, **rank))
            .filter_map(|(vm, _)| self.board.fresh(vm, now))
            .map(|one| messages::ProbeResult {
                vm: one.report.vm.clone(),
                age: now.since(one.probed_at),
                latency: one.latency,
                outcome: Ok(one.report.clone()),
            })
            .collect::<Vec<_>>();
        messages::PeerMessage::ProbeBatch(messages::ProbeBatch::pack(pull.pull, &results))
    }

    fn take_batch(&mut self, sender: &ids::NodeName, batch: &messages::ProbeBatch) {
        let Some(asked_at) = self.pulls.asked_at(sender, batch.pull) else {
            return;
        };
        for result in batch.unpack(|key| self.names.get(&key).cloned()) {
            self.board.observe(result, asked_at);
        }
    }

    fn lend(
        &mut self,
        sender: &ids::NodeName,
        ask: &messages::ShareAsk,
        now: times::BootTime,
    ) -> Result<Option<messages::PeerMessage>, Fault> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let limits = demand()?
            .into_keys()
            .map(|key| (key, sizes::RequestCount::new(64)));
        ledger.set_limits(&limits.collect(), now);
        let end = now.after(time::Duration::from_mins(1));
        Ok(ledger
            .answer(sender, ask, now, end)
            .map(messages::PeerMessage::ShareGrant))
    }

    fn seal(&mut self, messages: Vec<messages::PeerMessage>) -> Result<Vec<Vec<u8>>, Fault> {
        let datagrams = self.sealer.seal(messages)?;
        self.sent += datagrams.iter().map(Vec::len).sum::<usize>();
        Ok(datagrams)
    }
}

fn demand() -> Result<collections::BTreeMap<messages::ShareKey, shares::ShareDemand>, Fault> {
    let need = shares::ShareDemand {
        running: sizes::RequestCount::new(2),
        wanted: sizes::RequestCount::new(4),
    };
    (0..BUSY_TARGETS)
        .map(|number| {
            let target = ids::TargetId::Group(format!("mvd-a/{number}").parse()?);
            Ok((messages::ShareKey::of(&target, 321), need))
        })
        .collect()
}

fn report(vm: &ids::VmName) -> Result<reports::EngineReport, Fault> {
    let number = vm.as_str()[9..].parse::<u32>()?;
    Ok(reports::EngineReport {
        vm: vm.clone(),
        incarnation: epochs::VmIncarnation::new(7),
        group: Some(format!("mvd-a/{}", number / GROUP_SIZE).parse()?),
        generation: epochs::GroupGeneration::new(321),
        model: Some("redactor-large".parse()?),
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::new(40),
        queued: sizes::RequestCount::new(2),
    })
}

fn vm_name(number: u32) -> Result<ids::VmName, ids::NameError> {
    format!("vm-mvd-a-{number:04}").parse()
}

fn node_name(number: u16) -> Result<ids::NodeName, ids::NameError> {
    format!("mvd-a-{number:012}").parse()
}

/// The port tells the receiver's place in the list of nodes.
const fn address(number: u16) -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), number + 1)
}

fn resident_kb() -> Result<u64, Fault> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(field.ok_or("no VmRSS")?.parse()?)
}

/// Reads this process's CPU time, which the system counts in hundredths of a second.
fn cpu_time() -> Result<time::Duration, Fault> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().ok_or("no fields")?;
    let times = fields.split_whitespace().skip(11).take(2);
    let hundredths = times.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
    Ok(time::Duration::from_millis(hundredths * 10))
}
