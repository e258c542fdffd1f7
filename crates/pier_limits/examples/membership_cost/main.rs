//! Prints the cost per node of gossip, probes, the VM list and shares, for growing numbers of
//! nodes and VMs.
//!
//! The nodes of one data centre run the real decisions and message encoding in virtual time.
//! Bytes are those that a node sends in datagrams, by kind; the IP and UDP headers have their own
//! column. CPU time is this process's time per node. HTTP probes are not run, but their length on
//! the wire is counted. Memory is the growth of the resident set per node. It is meaningful only
//! in the first run of a process, so a single run can be chosen by two arguments, the numbers of
//! nodes and of VMs.

mod cost_fleet;
mod cost_inputs;
mod cost_node;
mod node_mail;
mod process_cost;
mod sent_bytes;

use std::{env, error, io, io::Write};

/// An error that ends a run.
type Fault = Box<dyn error::Error>;

/// The numbers of nodes and of VMs of each run.
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
