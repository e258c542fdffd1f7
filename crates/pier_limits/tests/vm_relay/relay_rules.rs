//! Tests of the single rules.

use std::time;

use pier_limits::relays;
use pier_wire::messages;

use crate::relay_bench::{at, copy, is_due, list, listed, name, pull, read, reader, seen_at};

#[test]
fn a_change_reaches_a_follower_without_a_reading_of_its_own() {
    let mut source = reader(list(450, 0), 0, 10);
    let mut follower = reader(list(450, 0), 0, 10);
    read(&mut source, list(450, 2), 500, 510);
    let event = pull(&mut follower, &source, [600, 601, 602]);
    assert_eq!(event, relays::RelayEvent::Changed);
    assert_eq!(*follower.list().unwrap(), list(450, 2));
    read(&mut source, list(449, 2), 1_000, 1_010);
    pull(&mut follower, &source, [1_600, 1_601, 1_602]);
    assert_eq!(*follower.list().unwrap(), list(449, 2));
}

#[test]
fn a_follower_reads_only_while_it_hears_of_no_recent_reading() {
    let mut source = reader(list(3, 0), 0, 10);
    let mut follower = reader(list(3, 0), 0, 10);
    assert!(is_due(&follower, 1_000), "no reader is known yet");
    read(&mut source, list(3, 0), 900, 910);
    let event = pull(&mut follower, &source, [1_000, 1_001, 1_002]);
    assert_eq!(event, relays::RelayEvent::Confirmed);
    assert!(!is_due(&follower, 2_598));
    assert!(is_due(&follower, 2_600), "the reader fell silent");
    pull(&mut follower, &source, [3_200, 3_201, 3_202]);
    assert!(is_due(&follower, 3_203), "the reader has stopped reading");
    let delayed = relays::VmRelay::new(time::Duration::from_millis(300));
    assert!(is_due(&delayed, 0), "the first reading waits for nothing");
}

#[test]
fn a_reader_reads_twice_a_second_whatever_it_hears() {
    let mut source = reader(list(3, 0), 0, 10);
    let due = |source: &relays::VmRelay, millis| {
        source.is_reading_due(relays::ListRole::Reader, at(millis))
    };
    assert!(!due(&source, 499));
    assert!(due(&source, 500));
    source.start_reading(at(500));
    assert!(!due(&source, 5_000), "one reading at a time");
}

#[test]
fn a_node_asks_other_nodes_once_its_list_is_stale() {
    let reader_role = relays::ListRole::Reader;
    let source = reader(list(3, 0), 900, 910);
    assert!(!source.is_stale(reader_role, at(2_099)));
    assert!(source.is_stale(reader_role, at(2_100)));
    let mut follower = reader(list(3, 0), 0, 10);
    pull(&mut follower, &source, [1_000, 1_001, 1_002]);
    assert!(!follower.is_stale(relays::ListRole::Follower, at(2_598)));
    assert!(follower.is_stale(relays::ListRole::Follower, at(2_600)));
    let fresh = relays::VmRelay::new(time::Duration::ZERO);
    assert!(fresh.is_stale(relays::ListRole::Follower, at(0)));
}

#[test]
fn a_cut_off_reader_takes_the_list_of_a_node_that_reads() {
    let mut source = reader(list(3, 0), 0, 10);
    let mut other = reader(list(3, 0), 0, 10);
    read(&mut other, list(2, 1), 2_000, 2_010);
    let event = pull(&mut source, &other, [2_400, 2_401, 2_402]);
    assert_eq!(event, relays::RelayEvent::Changed);
    assert_eq!(*source.list().unwrap(), list(2, 1));
}

#[test]
fn a_list_that_may_be_older_is_not_taken() {
    let source = reader(list(3, 0), 400, 410);
    // The follower's own reading was answered between 405 and 600, so it is unknown which of the
    // two came first.
    let mut follower = reader(list(3, 1), 405, 600);
    let pulled = pull(&mut follower, &source, [700, 701, 702]);
    assert_eq!(pulled, relays::RelayEvent::Ignored);
    assert_eq!(*follower.list().unwrap(), list(3, 1));
    assert!(
        !is_due(&follower, 703),
        "an older list is no reason to read"
    );
}

#[test]
fn a_reader_that_was_paused_brings_no_old_list_back() {
    let mut source = reader(list(3, 0), 0, 10);
    let mut follower = reader(list(3, 0), 0, 10);
    let earlier = follower.pull(&name("r"), at(100));
    let note = source.answer_pull(earlier, at(110)).unwrap();
    read(&mut follower, list(3, 2), 60_000, 60_010);
    // A note that was made before the pause arrives after it, and then one that the reader makes
    // after its pause.
    let event = follower.receive_note(&name("r"), note, at(60_100));
    assert_eq!(event, relays::RelayEvent::Ignored);
    let event = pull(&mut follower, &source, [60_200, 60_201, 60_202]);
    assert_eq!(event, relays::RelayEvent::Ignored);
    // A reading that the reader sent before its pause ends after it, and is older than the list
    // that it has pulled since.
    source.start_reading(at(500));
    let event = pull(&mut source, &follower, [60_300, 60_301, 60_302]);
    assert_eq!(event, relays::RelayEvent::Changed);
    let event = source.end_reading(listed(list(3, 1), "old"), at(60_400));
    assert_eq!(event, relays::RelayEvent::Ignored);
    let event = pull(&mut follower, &source, [60_500, 60_501, 60_502]);
    assert_ne!(event, relays::RelayEvent::Changed);
    assert_eq!(*follower.list().unwrap(), list(3, 2));
}

#[test]
fn a_note_counts_once_and_only_from_the_node_that_was_asked() {
    let source = reader(list(3, 1), 500, 510);
    let mut follower = reader(list(3, 1), 0, 10);
    let pull = follower.pull(&name("r"), at(600));
    let note = source.answer_pull(pull, at(601)).unwrap();
    let other = follower.receive_note(&name("x"), note.clone(), at(602));
    assert_eq!(other, relays::RelayEvent::Ignored);
    let first = follower.receive_note(&name("r"), note.clone(), at(602));
    assert_eq!(first, relays::RelayEvent::Confirmed);
    let again = follower.receive_note(&name("r"), note, at(9_000));
    assert_eq!(again, relays::RelayEvent::Ignored);
}

#[test]
fn a_follower_that_is_behind_reads_the_platform() {
    let mut source = reader(list(450, 0), 0, 10);
    let mut follower = reader(list(450, 0), 0, 10);
    pull(&mut follower, &source, [11, 12, 13]);
    read(&mut source, list(450, 300), 500, 510);
    let event = pull(&mut follower, &source, [1_100, 1_101, 1_102]);
    assert_eq!(
        event,
        relays::RelayEvent::Behind,
        "300 entries do not fit in a datagram"
    );
    assert!(is_due(&follower, 1_103));
    read(&mut follower, list(450, 300), 1_200, 1_210);
    assert_eq!(*follower.list().unwrap(), list(450, 300));
}

#[test]
fn a_whole_copy_is_as_old_as_the_reading_behind_it() {
    let source = reader(list(450, 300), 500, 510);
    let mut follower = relays::VmRelay::new(time::Duration::ZERO);
    assert!(!follower.is_behind());
    let event = pull(&mut follower, &source, [600, 601, 602]);
    assert_eq!(event, relays::RelayEvent::Behind);
    assert!(follower.is_behind());
    let event = copy(&mut follower, &source, [700, 710, 730]);
    assert_eq!(event, relays::RelayEvent::Changed);
    assert!(!follower.is_behind());
    let (from, to) = (at(490), at(530));
    assert_eq!(follower.span(), Some(relays::ReadingSpan { from, to }));
    let mut newer = reader(list(450, 301), 520, 540);
    let event = copy(&mut newer, &source, [800, 801, 802]);
    assert_eq!(
        event,
        relays::RelayEvent::Ignored,
        "the copy is the older list"
    );
}

#[test]
fn a_note_for_a_list_that_was_replaced_meanwhile_is_not_applied() {
    let mut source = reader(list(3, 0), 0, 10);
    let mut follower = reader(list(3, 0), 0, 10);
    read(&mut source, list(3, 0), 90, 95);
    follower.start_reading(at(20));
    let pull = follower.pull(&name("r"), at(100));
    let same = source.answer_pull(pull, at(101)).unwrap();
    assert_eq!(same.difference, messages::ListDifference::Same);
    follower.end_reading(listed(list(3, 1), "other"), at(102));
    let event = follower.receive_note(&name("r"), same, at(103));
    assert_eq!(event, relays::RelayEvent::Ignored);
    assert_eq!(
        seen_at(&follower),
        Some(at(20)),
        "the note refers to another list"
    );
}

#[test]
fn a_delayed_note_counts_from_its_pull() {
    let source = reader(list(3, 0), 500, 510);
    let mut follower = reader(list(3, 0), 0, 10);
    pull(&mut follower, &source, [600, 1_900, 3_000]);
    // The note was made 1,300 ms after the pull, which the follower can not know.
    assert!(seen_at(&follower).unwrap() <= at(500));
    assert!(is_due(&follower, 3_001));
}

#[test]
fn another_list_has_to_follow_every_reading_of_the_current_one() {
    let mut source = reader(list(3, 0), 90, 95);
    let mut follower = reader(list(3, 0), 0, 100);
    let event = pull(&mut follower, &source, [101, 101, 102]);
    assert_eq!(event, relays::RelayEvent::Confirmed);
    read(&mut source, list(3, 1), 97, 99);
    // The follower's own reading may have been answered after 97.
    let event = pull(&mut follower, &source, [103, 103, 104]);
    assert_eq!(event, relays::RelayEvent::Ignored);
    read(&mut source, list(3, 1), 120, 121);
    let event = pull(&mut follower, &source, [122, 122, 123]);
    assert_eq!(event, relays::RelayEvent::Changed);
}

#[test]
fn a_tag_is_named_only_for_the_list_that_had_it() {
    let mut source = reader(list(3, 0), 0, 10);
    let mut follower = reader(list(3, 0), 0, 10);
    assert_eq!(follower.start_reading(at(100)).as_deref(), Some("tag"));
    follower.end_reading(relays::ReadingOutcome::Unchanged, at(110));
    assert_eq!(seen_at(&follower), Some(at(100)));
    read(&mut source, list(3, 1), 500, 510);
    pull(&mut follower, &source, [600, 601, 602]);
    assert_eq!(
        follower.start_reading(at(700)),
        None,
        "the tag belongs to another list"
    );
    let event = follower.end_reading(relays::ReadingOutcome::Unchanged, at(710));
    assert_eq!(event, relays::RelayEvent::Ignored);
}

#[test]
fn a_new_reader_knows_the_changes_that_it_followed() {
    let mut first = reader(list(450, 0), 0, 10);
    let mut second = reader(list(450, 0), 0, 10);
    let mut third = reader(list(450, 0), 0, 10);
    read(&mut first, list(450, 1), 500, 510);
    pull(&mut second, &first, [600, 601, 602]);
    let event = pull(&mut third, &second, [700, 701, 702]);
    assert_eq!(event, relays::RelayEvent::Changed);
    assert_eq!(*third.list().unwrap(), list(450, 1));
}

#[test]
fn the_platform_is_back_with_any_later_reading() {
    let mut source = reader(list(3, 0), 0, 10);
    let mut follower = reader(list(3, 0), 0, 10);
    let fail = |follower: &mut relays::VmRelay, millis| {
        follower.start_reading(at(millis));
        follower.end_reading(relays::ReadingOutcome::Failed, at(millis + 5));
        assert!(follower.is_platform_away());
    };
    fail(&mut follower, 1_000);
    pull(&mut follower, &source, [1_100, 1_101, 1_102]);
    assert!(
        follower.is_platform_away(),
        "the reader has read nothing since"
    );
    read(&mut source, list(3, 0), 2_000, 2_010);
    pull(&mut follower, &source, [2_100, 2_101, 2_102]);
    assert!(!follower.is_platform_away(), "the reader has read since");
    fail(&mut follower, 3_000);
    read(&mut follower, list(3, 0), 4_000, 4_010);
    assert!(!follower.is_platform_away());
}
