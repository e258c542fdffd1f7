//! Converts crash marks to and from the messages that nodes exchange.

use pier_request::quarantine;
use pier_wire::messages;

/// Marks sent in one gossip round.
pub(super) const MARKS_PER_ROUND: usize = 16;

/// Converts marks to message entries.
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

/// Converts message entries to marks.
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
