//! A node that lost its links to all targets does not take them from the other nodes.

use std::{collections, time};

use crate::{
    cut_link::{CutLink, LinkMode},
    peer_bench::{TestNode, publish_lease, start_nodes, start_vms, wait_for},
};

/// Nodes, of which the first is cut off, and the VMs that they probe.
const NODES: u32 = 3;
const VMS: u32 = 12;

/// Time for which the evidence is watched after the beginning of the cut.
const WATCH_TIME: time::Duration = time::Duration::from_secs(8);

/// Time between two looks at the evidence.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// Cuts the first node off and returns how many looks missed a VM, at that node and at the others.
async fn missed_looks(mode: LinkMode) -> (usize, usize) {
    let nodes = start_nodes(NODES).await;
    wait_for("each node knows the others", || {
        let others = NODES as usize - 1;
        nodes.iter().all(|node| node.handle.peers().len() == others)
    })
    .await;
    // Evidence is fresh for 2.5 s by this configuration.
    publish_lease(&nodes, 1);
    let started = start_vms(VMS, &nodes).await;
    let (mut links, mut linked) = (Vec::new(), collections::BTreeMap::new());
    for vm in &started {
        let link = CutLink::launch(vm.entry.address).await;
        let mut entry = vm.entry.clone();
        entry.address = link.address;
        linked.insert(entry.name.clone(), entry);
        links.push(link);
    }
    nodes[0].handle.publish_vms(linked);
    let seen = |node: &TestNode| node.handle.evidence().len() == VMS as usize;
    wait_for("each node has evidence of each VM", || {
        nodes.iter().all(seen)
    })
    .await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    for link in &links {
        link.set(mode);
    }
    let started = time::Instant::now();
    let (mut at_cut, mut at_others) = (0, 0);
    while started.elapsed() < WATCH_TIME {
        tokio::time::sleep(LOOK_PERIOD).await;
        at_cut += usize::from(!seen(&nodes[0]));
        at_others += nodes[1..].iter().filter(|node| !seen(node)).count();
    }
    eprintln!("{mode:?}: looks that missed a VM: {at_cut} at the cut node, {at_others} at others");
    (at_cut, at_others)
}

/// Guards against targets that all nodes give up since one node is refused by them.
#[tokio::test(flavor = "multi_thread")]
async fn refused_probes_of_a_cut_off_node_take_no_target_from_the_others() {
    let (_at_cut, at_others) = missed_looks(LinkMode::Refuse).await;
    assert_eq!(at_others, 0);
}

/// Guards against targets that all nodes give up since one node hears nothing from them.
#[tokio::test(flavor = "multi_thread")]
async fn lost_probes_of_a_cut_off_node_take_no_target_from_the_others() {
    let (_at_cut, at_others) = missed_looks(LinkMode::Hang).await;
    assert_eq!(at_others, 0);
}
