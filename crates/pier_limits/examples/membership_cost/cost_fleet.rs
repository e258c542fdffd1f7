//! The nodes of one data centre.

use std::{collections, io::Write, time};

use pier_types::{ids, times};

use crate::{Fault, cost_inputs, cost_node, process_cost, sent_bytes};

/// Virtual duration of each run, in seconds; the costs are counted after the warm-up.
const SECONDS: u64 = 75;
const WARM_UP: u64 = 15;

/// Bytes of one probe in both directions: a request of 60, and an answer of 360 with its headers.
const PROBE_BYTES: usize = 420;

/// Bytes of the IP and TCP headers of one probe in both directions, over a connection that stays
/// open: a request, an answer and the acknowledgement of each.
const PROBE_HEADER_BYTES: usize = 4 * 40;

/// The columns. Bytes are per second and node, except that the sum of the lease holder has its
/// own column.
pub const HEADING: &str = "nodes  vms  cpu_ms/s  rss_kB  members  pulls  results  list  shares  \
     envelopes  headers  probes  probe_headers  sum  holder_sum  evidence  worst_age_ms  reads/s";

/// The nodes; the lease holder is the first one.
pub struct CostFleet {
    nodes: Vec<cost_node::CostNode>,
    listed: collections::BTreeSet<ids::VmName>,
}

impl CostFleet {
    /// Runs a data centre and prints its row.
    pub fn measure(out: &mut impl Write, nodes: u16, vms: u32) -> Result<(), Fault> {
        let rss_before = process_cost::resident_kb()?;
        let mut fleet = Self::new(nodes, vms)?;
        let mut cpu = time::Duration::ZERO;
        for second in 1..=SECONDS {
            if second == WARM_UP + 1 {
                cpu = process_cost::cpu_time()?;
                fleet.nodes.iter_mut().for_each(cost_node::CostNode::reset);
            }
            fleet.run_second(second)?;
        }
        let cpu = process_cost::cpu_time()?.saturating_sub(cpu);
        let rss = process_cost::resident_kb()?.saturating_sub(rss_before);
        fleet.print(out, cpu, rss)
    }

    fn new(nodes: u16, vms: u32) -> Result<Self, Fault> {
        let listed = (0..vms)
            .map(cost_inputs::vm_name)
            .collect::<Result<collections::BTreeSet<_>, _>>()?;
        let nodes = (0..nodes)
            .map(|number| cost_node::CostNode::new(number, nodes, &listed))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { nodes, listed })
    }

    /// Runs the ten ticks of a second. All datagrams arrive in the tick in which they were sent.
    fn run_second(&mut self, second: u64) -> Result<(), Fault> {
        for tick in 0..10 {
            let now = times::BootTime::from_millis(second * 1_000 + tick * 100);
            let mut mail = collections::VecDeque::new();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                node.probe(second, now)?;
                node.read_list(index == 0, u32::try_from(self.listed.len())?, second, now)?;
                // The nodes send in different tenths of the second.
                if index % 10 == usize::try_from(tick)? {
                    mail.extend(node.send_round(index, &self.listed, now)?);
                }
            }
            while let Some((from, to, datagram)) = mail.pop_front() {
                let replies = self.nodes[to].receive(&datagram, now)?;
                mail.extend(replies.into_iter().map(|reply| (to, from, reply)));
            }
        }
        Ok(())
    }

    fn print(&self, out: &mut impl Write, cpu: time::Duration, rss: u64) -> Result<(), Fault> {
        let measured = usize::try_from(SECONDS - WARM_UP)?;
        let others = &self.nodes[1..];
        let sent = others
            .iter()
            .map(|node| node.sent)
            .fold(sent_bytes::SentBytes::default(), std::ops::Add::add);
        let each = |total: usize| total / measured / others.len();
        let probed = each(others.iter().map(|node| node.probed).sum::<usize>() * PROBE_BYTES);
        let probe_headers = probed * PROBE_HEADER_BYTES / PROBE_BYTES;
        let headers = each(sent.count * sent_bytes::HEADER_BYTES);
        let holder = &self.nodes[0];
        let holder_sent = holder.sent.datagrams
            + holder.sent.count * sent_bytes::HEADER_BYTES
            + holder.probed * (PROBE_BYTES + PROBE_HEADER_BYTES);
        let now = times::BootTime::from_millis((SECONDS + 1) * 1_000);
        let evidence = self.nodes[1].evidence_table.evidence(now);
        let oldest = evidence.values().map(|one| now.since(one.probed_at)).max();
        let readings = self.nodes.iter().map(|node| node.readings).sum::<usize>();
        writeln!(
            out,
            "{:>5} {:>4} {:>9.2} {:>7} {:>8} {:>6} {:>8} {:>5} {:>7} {:>10} {:>8} {:>7} {:>14} {:>4} {:>11} {:>9} {:>13} {:>8.1}",
            self.nodes.len(),
            self.listed.len(),
            cpu.as_secs_f64() * 1_000.0 / measured as f64 / self.nodes.len() as f64,
            rss / u64::try_from(self.nodes.len())?,
            each(sent.members),
            each(sent.pulls),
            each(sent.results),
            each(sent.list),
            each(sent.shares),
            each(sent.envelopes()),
            headers,
            probed,
            probe_headers,
            each(sent.datagrams) + headers + probed + probe_headers,
            holder_sent / measured,
            evidence.len(),
            oldest.unwrap_or_default().as_millis(),
            readings as f64 / measured as f64,
        )?;
        Ok(())
    }
}
