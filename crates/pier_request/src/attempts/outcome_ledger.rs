//! What is known of a request over all of its attempts.

use pier_types::codes;

use crate::attempts;

/// The worst end of any attempt so far.
///
/// A request whose first attempt was lost may have run, even when no later attempt could be sent.
///
/// ```
/// use pier_request::attempts;
/// use pier_types::codes;
///
/// let mut ledger = attempts::OutcomeLedger::default();
/// ledger.record(attempts::AttemptEnd::Lost);
/// ledger.record(attempts::AttemptEnd::NotConnected);
/// let code = ledger.final_code(codes::ResultCode::NoServingTarget);
/// assert_eq!(code, codes::ResultCode::TargetLost);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeLedger {
    worst: Option<attempts::AttemptEnd>,
}

impl OutcomeLedger {
    /// Adds the end of an attempt.
    pub fn record(&mut self, end: attempts::AttemptEnd) {
        let known = self.worst.map_or(0, certainty_loss);
        if certainty_loss(end) >= known {
            self.worst = Some(end);
        }
    }

    /// Tells whether no attempt ran.
    pub fn is_not_run(&self) -> bool {
        self.worst
            .is_none_or(|end| end.outcome() == codes::RunOutcome::NotRun)
    }

    /// Returns the code for the caller: the refusal given if nothing ran, else the worst end.
    pub fn final_code(&self, refusal: codes::ResultCode) -> codes::ResultCode {
        let Some(worst) = self.worst else {
            return refusal;
        };
        let refused = codes::RunOutcome::NotRun;
        if worst.outcome() == refused && refusal.outcome() == refused {
            return refusal;
        }
        worst.code()
    }
}

/// Orders ends by how little is certain after them.
const fn certainty_loss(end: attempts::AttemptEnd) -> u8 {
    match end.outcome() {
        codes::RunOutcome::NotRun => 0,
        codes::RunOutcome::RanFailed => 1,
        codes::RunOutcome::Unknown => 2,
    }
}
