//! A name that the lagging VM list contains twice is listed once.

use pier_platform::lists;
use pier_types::{epochs, vms};

fn entry(incarnation: u64, state: vms::VmState) -> vms::VmEntry {
    vms::VmEntry {
        name: "vm-1".parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(incarnation),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "mvd-a".parse().unwrap(),
        domain: "mvd-a-1".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state,
    }
}

#[test]
fn higher_incarnation_wins_in_any_order() {
    let (old, new) = (entry(3, vms::VmState::Live), entry(4, vms::VmState::Live));
    for pair in [[old.clone(), new.clone()], [new.clone(), old]] {
        let listing = lists::VmListing::new(pair.to_vec());
        assert_eq!(listing.entries, vec![new.clone()]);
        assert_eq!(listing.duplicates.len(), 1);
    }
}

#[test]
fn leaving_wins_between_equal_incarnations() {
    let live = entry(3, vms::VmState::Live);
    let leaving = entry(3, vms::VmState::Leaving);
    let listing = lists::VmListing::new(vec![live.clone(), leaving.clone()]);
    assert_eq!(listing.entries, vec![leaving.clone()]);
    let listing = lists::VmListing::new(vec![leaving.clone(), live]);
    assert_eq!(listing.entries, vec![leaving]);
}
