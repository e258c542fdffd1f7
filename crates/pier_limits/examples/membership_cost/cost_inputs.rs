//! Names, reports and demand of the modelled data centre.

use std::{collections, net};

use pier_limits::{relays, shares};
use pier_types::{epochs, ids, reports, sizes, vms};
use pier_wire::messages;

use crate::Fault;

/// Number of VMs in a replica group.
const GROUP_SIZE: u32 = 6;

/// Number of targets at which a node has or wants shares.
const BUSY_TARGETS: u32 = 30;

/// Returns a node's demand at its busy targets.
pub fn demand() -> Result<collections::BTreeMap<messages::ShareKey, shares::ShareDemand>, Fault> {
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

/// Returns the report of an engine, whose load changes every second.
pub fn report(vm: &ids::VmName, second: u64) -> Result<reports::EngineReport, Fault> {
    let number = vm.as_str()[9..].parse::<u32>()?;
    let load = u32::try_from(second % 20)?;
    Ok(reports::EngineReport {
        vm: vm.clone(),
        incarnation: epochs::VmIncarnation::new(7),
        group: Some(format!("mvd-a/{}", number / GROUP_SIZE).parse()?),
        generation: epochs::GroupGeneration::new(321),
        model: Some("redactor-large".parse()?),
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::new(30 + load),
        queued: sizes::RequestCount::new(load / 4),
        is_leaving: false,
    })
}

/// Returns the VM list, in which one VM changes every minute.
pub fn list(vms: u32, second: u64) -> Result<relays::VmMap, Fault> {
    let changed = u32::try_from(second / 60)? % vms;
    (0..vms)
        .map(|number| {
            let leaving = number == changed;
            let state = if leaving {
                vms::VmState::Leaving
            } else {
                vms::VmState::Live
            };
            let name = vm_name(number)?;
            let entry = vms::VmEntry {
                name: name.clone(),
                incarnation: epochs::VmIncarnation::new(7),
                address: net::SocketAddr::from(([10, 0, 0, 1], 8_000)),
                data_centre: "mvd-a".parse()?,
                domain: format!("mvd-a-d{}", number / 30).parse()?,
                pool: vms::VmPool::Accelerator,
                state,
            };
            Ok((name, entry))
        })
        .collect()
}

/// Returns a VM's name.
pub fn vm_name(number: u32) -> Result<ids::VmName, ids::NameError> {
    format!("vm-mvd-a-{number:04}").parse()
}

/// Returns a node's name.
pub fn node_name(number: u16) -> Result<ids::NodeName, ids::NameError> {
    format!("mvd-a-{number:012}").parse()
}

/// Returns a node's address, whose port tells the node's index in the list of nodes.
pub const fn address(number: u16) -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), number + 1)
}
