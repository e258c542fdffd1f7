//! Tests that the prefix index drops entries that may be outdated, and that its size is bounded.

use pier_request::routing;
use pier_types::{epochs, ids};

fn target(number: usize) -> ids::TargetId {
    ids::TargetId::Vm(format!("vm-{number:02}").parse().unwrap())
}

fn stored(sequence: u64, text: &str) -> routing::CacheEvent {
    routing::CacheEvent {
        sequence: epochs::EventSequence::new(sequence),
        change: routing::CacheChange::Stored,
        prefix: routing::PrefixHash::of_prompt(text),
    }
}

fn holds(index: &routing::PrefixIndex, text: &str) -> bool {
    let prefix = routing::PrefixHash::of_prompt(text);
    index.snapshot().holders(prefix).is_some()
}

#[test]
fn a_gap_or_a_new_generation_clears_a_target() {
    let mut index = routing::PrefixIndex::default();
    let first = epochs::GroupGeneration::new(1);
    index.apply(&target(0), first, &[stored(1, "one"), stored(2, "two")]);
    index.apply(&target(0), first, &[stored(1, "late")]);
    assert!(holds(&index, "one") && holds(&index, "two") && !holds(&index, "late"));
    index.apply(&target(0), first, &[stored(4, "four")]);
    assert!(!holds(&index, "one") && holds(&index, "four"));
    assert_eq!(index.latest(&target(0)).get(), 4);
    index.apply(&target(0), first.next(), &[stored(1, "new")]);
    assert!(!holds(&index, "four") && holds(&index, "new"));
    let evicted = routing::CacheEvent {
        change: routing::CacheChange::Evicted,
        ..stored(2, "new")
    };
    index.apply(&target(0), first.next(), &[evicted]);
    assert!(!holds(&index, "new"));
    index.apply(&target(0), first.next(), &[stored(3, "last")]);
    index.retain(|_target| false);
    assert!(index.snapshot().is_empty());
}

#[test]
fn the_index_of_a_target_is_bounded() {
    let mut index = routing::PrefixIndex::default();
    for number in 1..=1_000 {
        let event = stored(number, &format!("prompt {number}"));
        index.apply(&target(0), epochs::GroupGeneration::new(1), &[event]);
    }
    assert_eq!(index.snapshot().len(), 256);
    assert!(holds(&index, "prompt 1000") && !holds(&index, "prompt 1"));
}
