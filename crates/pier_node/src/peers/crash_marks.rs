//! Crash marks on their way between nodes.

use pier_request::quarantine;
use pier_wire::messages;

/// Marks told in one round.
pub(super) const MARKS_PER_ROUND: usize = 16;

/// Makes the message of some marks.
pub(super) fn to_message(delta: quarantine::CrashDelta) -> Vec<messages::CrashDelta> {
    let marks = delta.marks.into_iter();
    marks
        .map(|mark| messages::CrashDelta {
            fingerprint: mark.fingerprint,
            target: mark.target,
            generation: mark.generation,
            suspects: mark.suspects,
            cleared: mark.cleared,
            age_ms: mark.age_ms,
        })
        .collect()
}

/// Reads the marks of a message.
pub(super) fn from_message(crashes: Vec<messages::CrashDelta>) -> quarantine::CrashDelta {
    let crashes = crashes.into_iter();
    let marks = crashes.map(|crash| quarantine::CrashMark {
        fingerprint: crash.fingerprint,
        target: crash.target,
        generation: crash.generation,
        suspects: crash.suspects,
        cleared: crash.cleared,
        age_ms: crash.age_ms,
    });
    quarantine::CrashDelta {
        marks: marks.collect(),
    }
}
