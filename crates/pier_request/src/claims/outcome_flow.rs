//! The state machine that records the outcome of a claimed request.

use pier_types::epochs;

use crate::claims;

/// The version that a write expects when the object must not exist.
const ABSENT: epochs::ObjectVersion = epochs::ObjectVersion::new(0);

/// State machine that writes the final state of a claim that this node owns or may own.
///
/// It starts after the owner's run has ended, and the owner never dispatches under the same nonce
/// again; therefore a record in state [`Released`](claims::ClaimState::Released) may be replaced.
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
            // A write of the claim may still be in flight; once this one creates the object, that
            // write no longer finds the version it expects.
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
        // Replacing another claim's release raises the version, so that a write of this claim that
        // is still in flight cannot take effect.
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
