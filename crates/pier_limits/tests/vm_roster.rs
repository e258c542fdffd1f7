//! Checks that for a VM with contradictory list entries either one entry is chosen or the VM is
//! left out.

use std::net;

use pier_limits::probes;
use pier_types::{epochs, ids, vms};

fn vm(number: u32) -> ids::VmName {
    format!("vm-{number}").parse().unwrap()
}

fn entry(number: u32, incarnation: u64, port: u16, state: vms::VmState) -> vms::VmEntry {
    vms::VmEntry {
        name: vm(number),
        incarnation: epochs::VmIncarnation::new(incarnation),
        address: net::SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "a".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state,
    }
}

#[test]
fn a_list_that_names_a_vm_twice_is_settled_or_the_vm_left_out() {
    let live = vms::VmState::Live;
    let roster = probes::VmRoster::from_list(vec![
        entry(1, 2, 80, live),
        entry(1, 1, 81, vms::VmState::Leaving),
        entry(2, 1, 80, live),
        entry(2, 1, 80, vms::VmState::Leaving),
        entry(3, 1, 80, live),
        entry(3, 1, 81, live),
        entry(4, 1, 80, live),
        entry(4, 1, 81, live),
        entry(4, 2, 82, live),
    ]);
    assert_eq!(roster.entries[&vm(1)], entry(1, 2, 80, live));
    assert_eq!(roster.entries[&vm(2)].state, vms::VmState::Leaving);
    assert!(!roster.entries.contains_key(&vm(3)));
    assert_eq!(roster.entries[&vm(4)].address.port(), 82);
    assert_eq!(roster.conflicts.len(), 1);
    assert_eq!(roster.conflicts[0].vm, vm(3));
}
