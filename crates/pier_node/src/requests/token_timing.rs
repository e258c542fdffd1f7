//! Time to first token and gaps between tokens of one attempt.

use pier_types::times;

use crate::requests;

/// Measures the arrival times of one attempt's tokens.
#[derive(Debug)]
pub(super) struct TokenTiming {
    sent_at: times::BootTime,
    last_at: Option<times::BootTime>,
}

impl TokenTiming {
    /// Starts the measurement at the time at which the attempt is sent.
    pub(super) const fn new(sent_at: times::BootTime) -> Self {
        Self {
            sent_at,
            last_at: None,
        }
    }

    /// Records a token; the time to first token is also evidence of the target's warm-up.
    pub(super) fn record_token(&mut self, call: &requests::AttemptCall, now: times::BootTime) {
        let metrics = call.handle.metrics().requests();
        if let Some(last_at) = self.last_at.replace(now) {
            metrics.record_token_gap(now.since(last_at));
        } else {
            metrics.record_first_token(now.since(self.sent_at));
            let signal = requests::WarmthSignal::FirstToken(now.since(self.sent_at));
            let evidence = requests::WarmthEvidence::of(&call.target, signal, now);
            call.handle.requests().send_warmth(evidence);
        }
    }
}
