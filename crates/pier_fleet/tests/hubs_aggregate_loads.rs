//! Aggregation of load by hubs, for a large fleet in which each node sends only a few of the
//! requests that a group receives during one pass.

use std::{collections, time};

use pier_fleet::loads;
use pier_types::{ids, times};

const NOW: times::BootTime = times::BootTime::from_millis(10_000);

fn node(number: u32) -> ids::NodeName {
    format!("edge-{number}").parse().unwrap()
}

fn vm(number: u32) -> ids::VmName {
    format!("vm-{number}").parse().unwrap()
}

fn data_centre(name: &str) -> ids::DataCentreName {
    name.parse().unwrap()
}

fn report(sender: u32, number: u64, target: u32, running: u32) -> loads::LoadReport {
    let load = loads::TargetLoad {
        running,
        waiting: 1,
        waiting_prompt: 1_000,
        ..loads::TargetLoad::default()
    };
    loads::LoadReport {
        node: node(sender),
        tag: sender,
        number,
        loads: collections::BTreeMap::from([(vm(target), load)]),
        stuck: collections::BTreeSet::new(),
    }
}

fn digest(hub: &loads::LoadHub, number: u64) -> loads::LoadDigest {
    let retiring = collections::BTreeSet::new();
    let local = hub.local_digest(&node(0), &data_centre("a"), number, retiring);
    hub.merged_digest(local)
}

#[test]
fn a_node_learns_the_load_of_all_others_and_not_its_own() {
    let mut hub = loads::LoadHub::default();
    let mut follower = loads::LoadFollower::default();
    for sender in 1..=25 {
        let report = report(sender, 1, 7, 2);
        if sender == 3 {
            follower.note_sent(&report);
        }
        hub.record_report(report, NOW);
    }
    follower.record_digest(digest(&hub, 1), NOW);
    let other_loads = follower.other_loads(3, NOW).unwrap();
    assert_eq!(other_loads[&vm(7)].running, 48);
    assert_eq!(other_loads[&vm(7)].waiting, 24);
    assert_eq!(other_loads[&vm(7)].waiting_prompt, 24_000);
}

#[test]
fn the_nodes_own_load_is_subtracted_as_the_hub_counted_it() {
    let mut hub = loads::LoadHub::default();
    let mut follower = loads::LoadFollower::default();
    let (early, late) = (report(1, 1, 7, 2), report(1, 2, 7, 9));
    hub.record_report(early.clone(), NOW);
    hub.record_report(report(2, 1, 7, 5), NOW);
    follower.note_sent(&early);
    follower.note_sent(&late);
    follower.record_digest(digest(&hub, 1), NOW);
    assert_eq!(follower.other_loads(1, NOW).unwrap()[&vm(7)].running, 5);
}

#[test]
fn loads_of_other_data_centres_are_added_once_and_never_echoed() {
    let mut hub_a = loads::LoadHub::default();
    let mut hub_b = loads::LoadHub::default();
    hub_a.record_report(report(1, 1, 7, 2), NOW);
    hub_b.record_report(report(9, 1, 7, 4), NOW);
    for number in 1..=5 {
        let none = collections::BTreeSet::new();
        let digest_a = hub_a.local_digest(&node(0), &data_centre("a"), number, none.clone());
        let retiring = collections::BTreeSet::from([vm(8)]);
        let digest_b = hub_b.local_digest(&node(8), &data_centre("b"), number, retiring);
        hub_b.record_digest(digest_a, NOW);
        hub_a.record_digest(digest_b, NOW);
    }
    let merged = digest(&hub_a, 9);
    assert_eq!(merged.local[&vm(7)].running, 2);
    assert_eq!(merged.remote[&vm(7)].running, 4);
    assert!(merged.retiring.contains(&vm(8)));
    let none = collections::BTreeSet::new();
    let local = hub_a.local_digest(&node(0), &data_centre("a"), 10, none);
    assert!(
        local.retiring.is_empty(),
        "retiring members reported by another hub are not relayed to other hubs"
    );
}

#[test]
fn reports_and_digests_expire_after_silence() {
    let mut hub = loads::LoadHub::default();
    let mut follower = loads::LoadFollower::default();
    hub.record_report(report(1, 1, 7, 2), NOW);
    follower.record_digest(digest(&hub, 1), NOW);
    let later = NOW.after(time::Duration::from_secs(1));
    assert!(follower.other_loads(2, NOW).is_some());
    assert!(follower.other_loads(2, later).is_none());
    hub.expire(NOW.after(time::Duration::from_secs(3)));
    assert!(digest(&hub, 2).local.is_empty());
}

#[test]
fn older_messages_are_dropped_unless_the_hub_changed() {
    let mut hub = loads::LoadHub::default();
    let mut follower = loads::LoadFollower::default();
    hub.record_report(report(1, 5, 7, 9), NOW);
    hub.record_report(report(1, 4, 7, 2), NOW);
    assert_eq!(digest(&hub, 1).local[&vm(7)].running, 9);
    follower.record_digest(digest(&hub, 40), NOW);
    let mut other = loads::LoadHub::default();
    other.record_report(report(1, 6, 7, 1), NOW);
    let none = collections::BTreeSet::new();
    let replacement = other.local_digest(&node(77), &data_centre("a"), 1, none);
    follower.record_digest(replacement, NOW);
    assert_eq!(follower.other_loads(2, NOW).unwrap()[&vm(7)].running, 1);
}

#[test]
fn a_target_is_stuck_once_most_nodes_that_use_it_report_so() {
    let mut hub = loads::LoadHub::default();
    let mut report_stuck = |sender: u32, is_stuck: bool, number: u64| {
        let mut report = report(sender, number, 7, 1);
        if is_stuck {
            report.stuck.insert(vm(7));
        }
        hub.record_report(report, NOW);
        (digest(&hub, number).stuck.len(), hub.suspected().len())
    };
    assert_eq!(report_stuck(1, false, 1), (0, 0));
    assert_eq!(report_stuck(2, false, 1), (0, 0));
    // One node whose path to the target is broken does not take the target away from the others.
    assert_eq!(report_stuck(3, true, 1), (0, 1));
    assert_eq!(report_stuck(1, true, 2), (1, 1));
}

fn names(numbers: &[u32]) -> collections::BTreeSet<ids::NodeName> {
    numbers.iter().map(|number| node(*number)).collect()
}

#[test]
fn the_steward_is_the_hub_and_the_next_node_takes_over_when_it_falls_silent() {
    let mut choice = loads::HubChoice::default();
    let live_nodes = names(&[1, 2, 3]);
    let (own, steward) = (node(1), node(2));
    let mut choose = |millis: u64, digest: bool| {
        let now = NOW.after(time::Duration::from_millis(millis));
        if digest {
            choice.note_digest(&steward, now);
        }
        choice
            .choose(&own, Some(&steward), &live_nodes, now)
            .unwrap()
    };
    assert_eq!(choose(0, false), node(2));
    assert_eq!(choose(300, true), node(2));
    assert_eq!(choose(650, false), node(2));
    assert_eq!(choose(750, false), node(1));
    assert_eq!(choose(1_500, false), node(1));
    // The steward is tried again after it was skipped for a while.
    assert_eq!(choose(2_800, false), node(2));
}

#[test]
fn a_hub_is_chosen_without_a_recorded_steward() {
    let mut choice = loads::HubChoice::default();
    let gone = node(9);
    let chosen = choice.choose(&node(3), Some(&gone), &names(&[2, 3]), NOW);
    assert_eq!(chosen, Some(node(2)));
    let chosen = choice.choose(&node(3), None, &names(&[3]), NOW);
    assert_eq!(chosen, Some(node(3)));
}

/// Nodes of two data centres, of which each data centre's hub may send its digests to any node of the
/// other one.
struct TwoCentres {
    hubs: [loads::LoadHub; 2],
    choices: [loads::HubChoice; 2],
}

impl TwoCentres {
    const NAMES: [&str; 2] = ["a", "b"];

    /// Node 0 and node 8 are the hubs, 1 and 9 other nodes.
    fn new() -> Self {
        let mut hubs = [loads::LoadHub::default(), loads::LoadHub::default()];
        hubs[0].record_report(report(1, 1, 7, 2), NOW);
        hubs[1].record_report(report(9, 1, 7, 4), NOW);
        let choose = |hub: u32, other: u32| {
            let mut choice = loads::HubChoice::default();
            let live_nodes = collections::BTreeSet::from([node(hub), node(other)]);
            choice.choose(&node(other), Some(&node(hub)), &live_nodes, NOW);
            choice
        };
        Self {
            hubs,
            choices: [choose(0, 1), choose(8, 9)],
        }
    }

    /// Sends one data centre's digest as its hub sees the other one, and returns how many datagrams
    /// that took between them.
    fn send(
        &mut self,
        from: usize,
        live_nodes: &[u32],
        number: u64,
        now: times::BootTime,
    ) -> usize {
        let to = 1 - from;
        let (centre, other) = (data_centre(Self::NAMES[from]), data_centre(Self::NAMES[to]));
        let live_nodes = live_nodes.iter().map(|number| node(*number)).collect();
        let contacts = self.hubs[from].contacts(&other, None, &live_nodes, now);
        let contacts: Vec<_> = contacts.into_iter().cloned().collect();
        let hub = node([0, 8][from]);
        let retiring = collections::BTreeSet::new();
        let digest = self.hubs[from].local_digest(&hub, &centre, number, retiring);
        for contact in &contacts {
            let is_hub = self.choices[to].is_chosen(contact);
            let passed_to = self.choices[to].passes_to(contact);
            assert_eq!(passed_to.is_none(), is_hub);
            let receiver = passed_to.unwrap_or(contact);
            assert!(self.choices[to].is_chosen(receiver));
            self.hubs[to].record_digest(digest.clone(), now);
        }
        contacts.len()
    }

    fn remote_running(&self, centre: usize) -> u32 {
        let merged = digest(&self.hubs[centre], 99);
        merged.remote.get(&vm(7)).map_or(0, |load| load.running)
    }
}

// Guards against sums that a hub sends to a node which is no hub, for as long as the heartbeats of the
// true one are lost.
#[test]
fn hubs_get_each_others_sums_while_their_own_heartbeats_are_lost() {
    let mut centres = TwoCentres::new();
    // Either hub knows only the other's second node.
    centres.send(0, &[9], 1, NOW);
    centres.send(1, &[1], 1, NOW);
    assert_eq!(
        (centres.remote_running(0), centres.remote_running(1)),
        (4, 2)
    );
}

#[test]
fn hubs_that_heard_of_each_other_send_to_each_other_alone() {
    let mut centres = TwoCentres::new();
    centres.send(0, &[9], 1, NOW);
    let none = collections::BTreeSet::new();
    let contacts = centres.hubs[1].contacts(&data_centre("a"), None, &none, NOW);
    assert_eq!(contacts, collections::BTreeSet::from([&node(0)]));
}

#[test]
fn a_hub_that_falls_silent_is_sought_among_the_steward_and_the_first_node() {
    let mut centres = TwoCentres::new();
    centres.send(0, &[9], 1, NOW);
    let later = NOW.after(time::Duration::from_secs(2));
    let live_nodes = collections::BTreeSet::from([node(1), node(2)]);
    let steward = node(3);
    let contacts = centres.hubs[1].contacts(&data_centre("a"), Some(&steward), &live_nodes, later);
    assert_eq!(contacts, collections::BTreeSet::from([&node(1), &steward]));
}
