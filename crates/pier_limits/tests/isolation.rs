//! Checks what a node may do in each case of being cut off.

use std::time;

use pier_limits::members;
use pier_types::times;

const NOW: times::BootTime = times::BootTime::from_millis(100_000);

fn ago(millis: u64) -> times::BootTime {
    NOW.before(time::Duration::from_millis(millis))
}

fn stance(
    platform_at: Option<times::BootTime>,
    peer_at: Option<times::BootTime>,
    has_peers: bool,
    sees_targets: bool,
) -> (members::IsolationPlace, bool, bool, bool) {
    let facts = members::IsolationFacts {
        platform_at,
        peer_at,
        has_peers,
        sees_targets,
    };
    let stance = members::IsolationPolicy::default().stance(&facts, NOW);
    (stance.place, stance.ready, stance.new_work, stance.one_time)
}

#[test]
fn each_way_of_being_cut_off_has_its_stance() {
    use members::IsolationPlace::{Alone, Connected, PlatformAway};
    let table = [
        (
            (Some(ago(3_000)), Some(ago(100)), true),
            (Connected, true, true, true),
        ),
        ((Some(ago(100)), None, true), (Connected, true, true, true)),
        (
            (Some(ago(3_001)), Some(ago(3_000)), true),
            (PlatformAway, true, true, false),
        ),
        (
            (Some(ago(90_000)), Some(ago(100)), true),
            (PlatformAway, true, true, false),
        ),
        ((None, None, false), (PlatformAway, true, true, false)),
        (
            (Some(ago(90_000)), None, false),
            (PlatformAway, true, true, false),
        ),
        (
            (Some(ago(3_001)), Some(ago(3_001)), true),
            (Alone, false, true, false),
        ),
        (
            (Some(ago(90_000)), Some(ago(5_000)), true),
            (Alone, false, true, false),
        ),
        (
            (Some(ago(5_001)), Some(ago(5_001)), true),
            (Alone, false, false, false),
        ),
        ((None, None, true), (Alone, false, false, false)),
    ];
    for ((platform_at, peer_at, has_peers), expected) in table {
        let found = stance(platform_at, peer_at, has_peers, false);
        assert_eq!(found, expected, "{platform_at:?} {peer_at:?} {has_peers}");
    }
}

#[test]
fn a_node_whom_targets_answer_goes_on_until_its_slot_may_be_another_s() {
    use members::IsolationPlace::Alone;
    let within = stance(Some(ago(90_000)), Some(ago(100_000)), true, true);
    assert_eq!(within, (Alone, true, true, false));
    let now = times::BootTime::from_millis(500_000);
    let facts = members::IsolationFacts {
        platform_at: Some(times::BootTime::from_millis(379_999)),
        peer_at: None,
        has_peers: true,
        sees_targets: true,
    };
    let after = members::IsolationPolicy::default().stance(&facts, now);
    assert_eq!((after.ready, after.new_work), (false, false));
}
