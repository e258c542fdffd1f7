//! How fast the tokens of one attempt come.

use pier_types::times;

use crate::requests;

/// Watches the times of one attempt's tokens.
#[derive(Debug)]
pub(super) struct TokenTiming {
    sent_at: times::BootTime,
    last_at: Option<times::BootTime>,
}

impl TokenTiming {
    /// Begins when the attempt is sent.
    pub(super) const fn new(sent_at: times::BootTime) -> Self {
        Self {
            sent_at,
            last_at: None,
        }
    }

    /// Takes in a token; the first one is evidence of the target's warmth.
    pub(super) fn record_token(&mut self, call: &requests::AttemptCall<'_>, now: times::BootTime) {
        let metrics = call.handle.metrics().requests();
        if let Some(last_at) = self.last_at.replace(now) {
            metrics.record_token_gap(now.since(last_at));
        } else {
            metrics.record_first_token(now.since(self.sent_at));
            let signal = requests::WarmthSignal::FirstToken(now.since(self.sent_at));
            let evidence = requests::WarmthEvidence::of(call.target, signal, now);
            call.handle.requests().send_warmth(evidence);
        }
    }
}
