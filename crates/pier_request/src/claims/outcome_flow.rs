//! The steps that record what became of a claim.

use pier_types::epochs;

use crate::claims;

/// The version that stands for an absent object.
const ABSENT: epochs::ObjectVersion = epochs::ObjectVersion::new(0);

/// Writes the last state of a claim that this node owns, or may own.
///
/// The owner has ended its run before this begins, and never dispatches under the same nonce
/// afterwards; thus a record that says [`Released`](claims::ClaimState::Released) may be replaced.
#[derive(Debug, Clone)]
pub struct OutcomeFlow {
    version: Option<epochs::ObjectVersion>,
    record: claims::ClaimRecord,
    writing: bool,
    calls: u32,
}

impl OutcomeFlow {
    pub(super) const fn new(
        version: Option<epochs::ObjectVersion>,
        record: claims::ClaimRecord,
    ) -> Self {
        Self {
            version,
            record,
            writing: false,
            calls: 0,
        }
    }

    /// Returns the first action.
    pub fn start(&mut self) -> claims::OutcomeAction {
        match self.version {
            Some(version) => self.write(version),
            None => self.read(),
        }
    }

    /// Takes the result of the last action and returns the next one.
    pub fn handle(&mut self, event: claims::ClaimEvent) -> claims::OutcomeAction {
        match (self.writing, event) {
            (true, claims::ClaimEvent::Written { .. }) => {
                claims::OutcomeAction::Done { recorded: true }
            }
            (false, claims::ClaimEvent::Found { version, record }) => {
                self.after_found(version, &record)
            }
            // A write of the claim may still be on its way; this one keeps it from taking effect.
            (false, claims::ClaimEvent::Absent) => self.write(ABSENT),
            (false, claims::ClaimEvent::Unreadable) => {
                claims::OutcomeAction::Done { recorded: false }
            }
            _ => self.read(),
        }
    }

    fn after_found(
        &mut self,
        version: epochs::ObjectVersion,
        found: &claims::ClaimRecord,
    ) -> claims::OutcomeAction {
        let released = claims::ClaimState::Released;
        // Replacing one release by another stops this claim's write if it is still on its way.
        let both_released = found.state == released && self.record.state == released;
        if found.nonce != self.record.nonce && !both_released {
            return claims::OutcomeAction::Done { recorded: false };
        }
        if found.nonce == self.record.nonce && found.state == self.record.state {
            return claims::OutcomeAction::Done { recorded: true };
        }
        self.write(version)
    }

    fn write(&mut self, if_version: epochs::ObjectVersion) -> claims::OutcomeAction {
        if self.calls >= claims::MAX_CALLS {
            return claims::OutcomeAction::Done { recorded: false };
        }
        self.calls += 1;
        self.writing = true;
        claims::OutcomeAction::Write(claims::ClaimWrite {
            if_version,
            record: self.record.clone(),
        })
    }

    fn read(&mut self) -> claims::OutcomeAction {
        if self.calls >= claims::MAX_CALLS {
            return claims::OutcomeAction::Done { recorded: false };
        }
        self.calls += 1;
        self.writing = false;
        claims::OutcomeAction::Read {
            backoff: claims::backoff_after(self.calls),
        }
    }
}
