//! Prints what gossip, probes, the VM list and shares cost a node, over growing numbers of nodes
//! and VMs.
//!
//! The decisions and the wire run for real between the nodes of one data centre, in virtual time;
//! bytes are those that a node sends in datagrams, by kind, without headers of IP and UDP, which
//! have a column of their own. CPU time is this process's time per node, HTTP probes are counted
//! by their length on the wire and not run. Memory is the growth of the resident set per node;
//! it means something only in the first run of a process, so that a run can be chosen by two
//! arguments, the numbers of nodes and of VMs.

mod cost_fleet;
mod cost_inputs;
mod cost_node;
mod node_mail;
mod process_cost;
mod sent_bytes;

use std::{env, error, io, io::Write};

/// Why a run could not be made.
type Fault = Box<dyn error::Error>;

/// Nodes and VMs of each run.
const SIZES: [(u16, u32); 7] = [
    (10, 100),
    (20, 100),
    (45, 100),
    (90, 100),
    (45, 450),
    (45, 900),
    (90, 900),
];

fn main() -> Result<(), Fault> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}", cost_fleet::HEADING)?;
    let arguments = env::args().skip(1).collect::<Vec<_>>();
    if let [nodes, vms] = arguments.as_slice() {
        return cost_fleet::CostFleet::measure(&mut out, nodes.parse()?, vms.parse()?);
    }
    for (nodes, vms) in SIZES {
        cost_fleet::CostFleet::measure(&mut out, nodes, vms)?;
    }
    Ok(())
}
