//! The outcome of a request over all of its attempts.

use pier_types::codes;

use crate::attempts;

/// The least certain end of any attempt so far.
///
/// A request whose first attempt was lost may have run, even if no later attempt could be sent.
///
/// ```
/// use pier_request::attempts;
/// use pier_types::codes;
///
/// let mut outcome = attempts::WorstOutcome::default();
/// outcome.record(attempts::AttemptEnd::Lost);
/// outcome.record(attempts::AttemptEnd::NotConnected);
/// let code = outcome.final_code(codes::ResultCode::NoServingTarget);
/// assert_eq!(code, codes::ResultCode::TargetLost);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorstOutcome {
    worst: Option<attempts::AttemptEnd>,
}

impl WorstOutcome {
    /// Records the end of an attempt.
    pub fn record(&mut self, end: attempts::AttemptEnd) {
        let known = self.worst.map_or(0, uncertainty);
        if uncertainty(end) >= known {
            self.worst = Some(end);
        }
    }

    /// Returns whether it is certain that no attempt ran.
    pub fn is_not_run(&self) -> bool {
        self.worst
            .is_none_or(|end| end.outcome() == codes::RunOutcome::NotRun)
    }

    /// Returns the code for the caller: `refusal` if no attempt ran, else the code of the worst
    /// end.
    pub fn final_code(&self, refusal: codes::ResultCode) -> codes::ResultCode {
        let Some(worst) = self.worst else {
            return refusal;
        };
        let not_run = codes::RunOutcome::NotRun;
        if worst.outcome() == not_run && refusal.outcome() == not_run {
            return refusal;
        }
        worst.code()
    }
}

/// Ranks ends by how uncertain it is whether the request ran and with what result.
const fn uncertainty(end: attempts::AttemptEnd) -> u8 {
    match end.outcome() {
        codes::RunOutcome::NotRun => 0,
        codes::RunOutcome::RanFailed => 1,
        codes::RunOutcome::Unknown => 2,
    }
}
