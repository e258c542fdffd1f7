//! Checks what nodes know of one another under message loss, partitions, restarts and old gossip.

use std::{collections, net, time};

use pier_limits::members;
use pier_types::{epochs, ids, times};
use pier_wire::{messages, seals};
use rand::{Rng, SeedableRng, rngs};

const START: times::BootTime = times::BootTime::from_millis(1_000_000);

fn at(seconds: u64) -> times::BootTime {
    START.after(time::Duration::from_secs(seconds))
}

fn name(number: u16) -> ids::NodeName {
    format!("node-{number}").parse().unwrap()
}

fn entry(number: u16, centre: &str, heartbeat: u64) -> messages::MemberEntry {
    messages::MemberEntry {
        node: name(number),
        instance: seals::NodeInstance::new(number.into()),
        data_centre: centre.parse().unwrap(),
        address: net::SocketAddr::from(([127, 0, 0, 1], number)),
        beat: messages::MemberBeat {
            heartbeat,
            config: epochs::ConfigVersion::new(heartbeat),
            draining: false,
        },
    }
}

fn table() -> members::MemberTable {
    members::MemberTable::new(entry(1, "a", 0), members::MemberPolicy::default())
}

#[test]
fn silence_makes_a_node_suspect_and_then_forgotten() {
    let mut table = table();
    table.record_entries(&name(2), vec![entry(2, "a", 5)], START);
    assert!(table.live_peers(at(3)).contains_key(&name(2)));
    assert!(table.live_peers(at(4)).is_empty());
    assert_eq!(table.views(at(4))[0].1, members::MemberHealth::Suspect);
    table.tick(at(31));
    assert!(table.views(at(31)).is_empty());
}

#[test]
fn old_gossip_is_no_heartbeat_and_revives_no_forgotten_node() {
    let mut table = table();
    table.record_entries(&name(2), vec![entry(2, "a", 5)], START);
    for second in 1..=31 {
        table.record_entries(&name(3), vec![entry(2, "a", 5)], at(second));
    }
    assert!(table.live_peers(at(31)).is_empty());
    table.tick(at(31));
    table.record_entries(&name(3), vec![entry(2, "a", 5)], at(32));
    assert!(table.views(at(32)).is_empty());
    table.record_entries(&name(3), vec![entry(2, "a", 6)], at(33));
    assert!(table.live_peers(at(33)).contains_key(&name(2)));
}

#[test]
fn a_restarted_node_replaces_its_entry_only_if_heard_directly_or_if_that_is_suspect() {
    let mut table = table();
    table.record_entries(&name(2), vec![entry(2, "a", 5)], START);
    let restarted = messages::MemberEntry {
        instance: seals::NodeInstance::new(99),
        ..entry(2, "a", 1)
    };
    table.record_entries(&name(3), vec![restarted.clone()], at(1));
    assert_eq!(table.live_peers(at(1))[&name(2)].instance.get(), 2);
    assert!(!table.record_beat(&name(2), restarted.instance, restarted.beat, at(1)));
    table.record_entries(&name(2), vec![restarted], at(2));
    assert_eq!(table.live_peers(at(2))[&name(2)].instance.get(), 99);
}

#[test]
fn requests_are_forwarded_only_to_nodes_heard_directly_and_not_draining() {
    let mut table = table();
    let centre = "a".parse().unwrap();
    table.record_entries(&name(3), vec![entry(2, "a", 5), entry(3, "a", 5)], START);
    let names = |table: &members::MemberTable, now| {
        let peers = table.forward_peers(&centre, now);
        peers.into_iter().map(|peer| peer.node).collect::<Vec<_>>()
    };
    assert_eq!(names(&table, START), vec![name(3)]);
    let leaving = messages::MemberBeat {
        heartbeat: 6,
        config: epochs::ConfigVersion::new(9),
        draining: true,
    };
    assert!(table.record_beat(&name(3), seals::NodeInstance::new(3), leaving, at(1)));
    assert!(names(&table, at(1)).is_empty());
    assert_eq!(table.highest_config(), epochs::ConfigVersion::new(9));
    assert_eq!(table.peer_heard_at(), Some(at(1)));
}

#[test]
fn a_peer_that_was_not_heard_directly_is_sent_the_whole_entry() {
    let mut table = table();
    table.beat(epochs::ConfigVersion::new(1), false);
    let whole = |message| matches!(message, messages::PeerMessage::Members(_));
    assert!(whole(table.heartbeat_message(&name(2), START)));
    table.record_entries(&name(3), vec![entry(2, "a", 5)], START);
    assert!(whole(table.heartbeat_message(&name(2), START)));
    table.record_entries(&name(2), vec![entry(2, "a", 6)], START);
    assert!(!whole(table.heartbeat_message(&name(2), at(3))));
    assert!(whole(table.heartbeat_message(&name(2), at(4))));
}

#[test]
fn memory_stays_bounded_and_living_nodes_are_kept() {
    let mut table = table();
    for number in 10..2_000 {
        let centre = if number % 2 == 0 { "a" } else { "b" };
        table.record_entries(&name(number), vec![entry(number, centre, 1)], START);
    }
    let count = |table: &members::MemberTable, centre: &str, now| {
        let centre = centre.parse().unwrap();
        let views = table.views(now);
        views
            .iter()
            .filter(|(entry, _)| entry.data_centre == centre)
            .count()
    };
    assert_eq!(
        (count(&table, "a", START), count(&table, "b", START)),
        (256, 8)
    );
    table.record_entries(&name(9), vec![entry(9, "a", 1)], START);
    assert!(!table.live_peers(START).contains_key(&name(9)));
    table.record_entries(&name(9), vec![entry(9, "a", 2)], at(4));
    assert!(
        table.live_peers(at(4)).contains_key(&name(9)),
        "suspects make room"
    );
}

/// Runs gossip among nodes of three data centres; `linked` tells which pairs can reach each
/// other.
fn converge(
    count: u16,
    seconds: u64,
    tables: &mut [members::MemberTable],
    from: u64,
    linked: impl Fn(u16, u16) -> bool,
) {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let seeds = (1..=3).map(|port| net::SocketAddr::from(([127, 0, 0, 1], port)));
    let seeds = seeds.collect::<Vec<_>>();
    for second in from..from + seconds {
        for number in 1..=count {
            let index = usize::from(number) - 1;
            tables[index].tick(at(second));
            tables[index].beat(epochs::ConfigVersion::new(1), false);
            let plan = tables[index].gossip(&seeds, at(second));
            for receiver in plan.receivers {
                let lost = rng.random_bool(0.2);
                if linked(number, receiver.port()) && !lost {
                    let other = &mut tables[usize::from(receiver.port()) - 1];
                    other.record_entries(&name(number), plan.entries.clone(), at(second));
                }
            }
        }
    }
}

fn centre_of(number: u16) -> &'static str {
    ["a", "b", "c"][usize::from(number) % 3]
}

#[test]
fn nodes_find_each_other_through_loss_and_again_after_a_partition() {
    let count = 18;
    let policy = members::MemberPolicy {
        suspect_after: time::Duration::from_secs(12),
        ..members::MemberPolicy::default()
    };
    let mut tables = (1..=count)
        .map(|number| members::MemberTable::new(entry(number, centre_of(number), 0), policy))
        .collect::<Vec<_>>();
    let complete = |tables: &[members::MemberTable], now| {
        let peers = tables.iter().map(|table| table.live_peers(now).len());
        peers.collect::<collections::BTreeSet<_>>()
    };
    converge(count, 40, &mut tables, 0, |_, _| true);
    assert_eq!(
        complete(&tables, at(39)),
        [5].into(),
        "all peers of its own data centre"
    );
    let far = |table: &members::MemberTable| {
        let views = table.views(at(39));
        let own = &table.own().data_centre;
        let far = views.iter().filter(|(entry, _)| entry.data_centre != *own);
        far.map(|(entry, _)| entry.data_centre.clone())
            .collect::<collections::BTreeSet<_>>()
            .len()
    };
    assert!(
        tables.iter().all(|table| far(table) == 2),
        "some nodes of each other data centre"
    );

    // Cuts every pair whose numbers differ by an odd amount, also within data centres.
    converge(count, 60, &mut tables, 40, |one, two| {
        one.abs_diff(two) % 2 == 0
    });
    assert_eq!(complete(&tables, at(99)), [2].into());
    converge(count, 60, &mut tables, 100, |_, _| true);
    assert_eq!(complete(&tables, at(159)), [5].into());
}

#[test]
fn each_receiver_learns_of_most_nodes() {
    let mut table = table();
    let mut told = collections::BTreeMap::<_, collections::BTreeSet<_>>::new();
    for second in 0..400 {
        for number in 2..=45 {
            table.record_entries(&name(number), vec![entry(number, "a", second)], at(second));
        }
        let plan = table.gossip(&[], at(second));
        for receiver in plan.receivers {
            let names = plan.entries.iter().map(|entry| entry.node.clone());
            told.entry(receiver).or_default().extend(names);
        }
    }
    assert_eq!(told.len(), 44);
    assert!(
        told.values().all(|names| names.len() > 30),
        "not the same few each time"
    );
}

#[test]
fn three_delegates_gossip_with_other_data_centres() {
    let mut tables = (1..=18)
        .map(|number| {
            let own = entry(number, "a", 0);
            members::MemberTable::new(own, members::MemberPolicy::default())
        })
        .collect::<Vec<_>>();
    let mut delegates = 0;
    for table in &mut tables {
        for number in 1..=18 {
            table.record_entries(&name(number), vec![entry(number, "a", 1)], START);
        }
        table.record_entries(&name(50), vec![entry(50, "b", 1)], START);
        let far = net::SocketAddr::from(([127, 0, 0, 1], 50));
        delegates += usize::from(table.gossip(&[], START).receivers.contains(&far));
    }
    assert_eq!(delegates, 3);
}
