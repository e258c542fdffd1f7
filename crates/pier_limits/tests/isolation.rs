//! Checks what a node may do in each case of being cut off.

use std::time;

use pier_limits::members;
use pier_types::times;

const NOW: times::BootTime = times::BootTime::from_millis(100_000);

fn ago(millis: u64) -> times::BootTime {
    NOW.before(time::Duration::from_millis(millis))
}

fn state(
    platform_at: Option<times::BootTime>,
    peer_at: Option<times::BootTime>,
    has_peers: bool,
    sees_targets: bool,
) -> (members::IsolationLevel, bool, bool, bool) {
    let facts = members::IsolationFacts {
        platform_at,
        peer_at,
        has_peers,
        sees_targets,
    };
    let state = members::IsolationPolicy::default().state(&facts, NOW);
    (state.level, state.ready, state.new_work, state.one_time)
}

#[test]
fn each_case_of_isolation_has_its_state() {
    use members::IsolationLevel::{Alone, Connected, PlatformAway};
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
        let found = state(platform_at, peer_at, has_peers, false);
        assert_eq!(found, expected, "{platform_at:?} {peer_at:?} {has_peers}");
    }
}

#[test]
fn a_node_that_targets_answer_serves_until_its_slot_may_be_reassigned() {
    use members::IsolationLevel::Alone;
    let within = state(Some(ago(90_000)), Some(ago(100_000)), true, true);
    assert_eq!(within, (Alone, true, true, false));
    let now = times::BootTime::from_millis(500_000);
    let facts = members::IsolationFacts {
        platform_at: Some(times::BootTime::from_millis(379_999)),
        peer_at: None,
        has_peers: true,
        sees_targets: true,
    };
    let after = members::IsolationPolicy::default().state(&facts, now);
    assert_eq!((after.ready, after.new_work), (false, false));
}
