//! Which ends of an answer are laid to the node that left it unread, instead of to the target.

use std::time;

use pier_request::attempts;

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

#[test]
fn an_end_behind_a_long_pause_is_not_the_targets_fault() {
    let mut pause = attempts::UnreadPause::default();
    pause.record_wait(millis(2_000));
    pause.record_pause(millis(3_000));
    // What was sent before the end is read first, at the caller's pace.
    pause.record_wait(millis(0));
    pause.record_pause(millis(200));
    pause.record_wait(millis(1));
    assert!(pause.explains_end());
}

#[test]
fn short_pauses_explain_nothing_however_many_they_are() {
    let mut pause = attempts::UnreadPause::default();
    for _ in 0..100 {
        pause.record_pause(millis(900));
        pause.record_wait(millis(1));
    }
    assert!(!pause.explains_end());
}

/// Guards against a crash that passes as the fault of a caller that was slow before.
#[test]
fn a_target_that_was_waited_for_is_at_fault_again() {
    let mut pause = attempts::UnreadPause::default();
    pause.record_pause(millis(3_000));
    pause.record_wait(millis(60));
    assert!(!pause.explains_end());
}
