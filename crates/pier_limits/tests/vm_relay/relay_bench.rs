//! Helpers that make VM lists, readings and pulls at given times.

use std::time;

use pier_limits::relays;
use pier_types::{epochs, ids, times, vms};

pub const START: times::BootTime = times::BootTime::from_millis(100_000);

pub fn at(millis: u64) -> times::BootTime {
    START.after(time::Duration::from_millis(millis))
}

pub fn entry(number: u32, state: vms::VmState) -> vms::VmEntry {
    vms::VmEntry {
        name: format!("vm-{number}").parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(1),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "mvd-a".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state,
    }
}

/// Returns a list of `count` VMs, of which the first `leaving` ones are leaving.
pub fn list(count: u32, leaving: u32) -> relays::VmMap {
    let state = |number| {
        if number < leaving {
            vms::VmState::Leaving
        } else {
            vms::VmState::Live
        }
    };
    let entries = (0..count).map(|number| entry(number, state(number)));
    entries.map(|entry| (entry.name.clone(), entry)).collect()
}

pub fn listed(list: relays::VmMap, tag: &str) -> relays::ReadingOutcome {
    let tag = Some(tag.to_owned());
    relays::ReadingOutcome::Listed { list, tag }
}

/// Returns a relay that read a list between two times.
pub fn reader(list: relays::VmMap, from: u64, to: u64) -> relays::VmRelay {
    let mut relay = relays::VmRelay::new(time::Duration::ZERO);
    read(&mut relay, list, from, to);
    relay
}

pub fn read(
    relay: &mut relays::VmRelay,
    list: relays::VmMap,
    from: u64,
    to: u64,
) -> relays::RelayEvent {
    relay.start_reading(at(from));
    relay.end_reading(listed(list, "tag"), at(to))
}

pub fn name(text: &str) -> ids::NodeName {
    text.parse().unwrap()
}

/// Lets one relay pull from another. The pull is sent, and its note made and received, at the
/// given times.
pub fn pull(
    follower: &mut relays::VmRelay,
    reader: &relays::VmRelay,
    [asked, made, arrived]: [u64; 3],
) -> relays::RelayEvent {
    let pull = follower.pull(&name("r"), at(asked));
    let note = reader.answer_pull(pull, at(made)).unwrap();
    follower.receive_note(&name("r"), note, at(arrived))
}

/// Returns a time after which the platform was read.
pub fn seen_at(relay: &relays::VmRelay) -> Option<times::BootTime> {
    relay.span().map(|span| span.from)
}

pub fn is_due(relay: &relays::VmRelay, millis: u64) -> bool {
    relay.is_reading_due(relays::ListRole::Follower, at(millis))
}

/// Lets one relay copy another's whole list. The call is sent, answered and completed at the
/// given times.
pub fn copy(
    follower: &mut relays::VmRelay,
    source: &relays::VmRelay,
    [asked, made, arrived]: [u64; 3],
) -> relays::RelayEvent {
    follower.start_reading(at(asked));
    let span = source.span().unwrap();
    let outcome = relays::ReadingOutcome::Copied {
        list: source.list().unwrap().as_ref().clone(),
        oldest: at(made).since(span.from),
        youngest: at(made).since(span.to),
    };
    follower.end_reading(outcome, at(arrived))
}
