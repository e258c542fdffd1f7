//! The metrics of request processing.

use std::{hash, time};

use pier_wire::seals;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::metrics::{counter, family, histogram};
use prometheus_client::registry;

use crate::telemetry;

/// Upper bounds of the time to the first token, in seconds.
const FIRST_TOKEN_BOUNDS_SECONDS: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Upper bounds of the time between two tokens, in seconds.
const TOKEN_GAP_BOUNDS_SECONDS: [f64; 10] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];

/// Counters by one label.
type LabelledCounts<T> = family::Family<[(&'static str, T); 1], counter::Counter>;

/// The metrics of request processing; clones share their counters.
#[derive(Debug, Clone)]
pub struct RequestMetrics {
    attempts: LabelledCounts<telemetry::AttemptOutcome>,
    retries: LabelledCounts<telemetry::RetryOutcome>,
    forwards: LabelledCounts<telemetry::ForwardOutcome>,
    claims: LabelledCounts<telemetry::ClaimOutcome>,
    datagrams: LabelledCounts<&'static str>,
    callers_left: counter::Counter,
    first_token: histogram::Histogram,
    token_gap: histogram::Histogram,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self {
            attempts: LabelledCounts::default(),
            retries: LabelledCounts::default(),
            forwards: LabelledCounts::default(),
            claims: LabelledCounts::default(),
            datagrams: LabelledCounts::default(),
            callers_left: counter::Counter::default(),
            first_token: histogram::Histogram::new(FIRST_TOKEN_BOUNDS_SECONDS),
            token_gap: histogram::Histogram::new(TOKEN_GAP_BOUNDS_SECONDS),
        }
    }
}

impl RequestMetrics {
    /// Counts an attempt that ended.
    pub fn count_attempt(&self, outcome: telemetry::AttemptOutcome) {
        count(&self.attempts, "outcome", outcome);
    }

    /// Counts a retry that the retry rules permit, by whether the retry budgets granted it.
    pub fn count_retry(&self, outcome: telemetry::RetryOutcome) {
        count(&self.retries, "outcome", outcome);
    }

    /// Counts a forward that ended.
    pub fn count_forward(&self, outcome: telemetry::ForwardOutcome) {
        count(&self.forwards, "outcome", outcome);
    }

    /// Counts the outcome of a claim.
    pub fn count_claim(&self, outcome: telemetry::ClaimOutcome) {
        count(&self.claims, "outcome", outcome);
    }

    /// Counts a refused datagram.
    pub fn count_refused_datagram(&self, refusal: seals::SealRefusal) {
        count(&self.datagrams, "cause", refusal.as_str());
    }

    /// Counts a caller that left before its answer began.
    pub fn count_caller_left(&self) {
        self.callers_left.inc();
    }

    /// Records the time from the sending of an attempt to its first token.
    pub fn record_first_token(&self, elapsed: time::Duration) {
        self.first_token.observe(elapsed.as_secs_f64());
    }

    /// Records the time between two tokens of an attempt.
    pub fn record_token_gap(&self, elapsed: time::Duration) {
        self.token_gap.observe(elapsed.as_secs_f64());
    }

    /// Registers every metric; the counters of known outcomes start at 0.
    pub(super) fn register(&self, registry: &mut registry::Registry) {
        create_counters(&self.attempts, telemetry::AttemptOutcome::ALL);
        create_counters(&self.retries, telemetry::RetryOutcome::ALL);
        create_counters(&self.forwards, telemetry::ForwardOutcome::ALL);
        create_counters(&self.claims, telemetry::ClaimOutcome::ALL);
        let help = "Attempts at targets by how they ended";
        registry.register("attempts", help, self.attempts.clone());
        let help = "Wishes to retry that the rules allow, by whether a budget allowed them";
        registry.register("retries", help, self.retries.clone());
        let help = "Requests passed to other nodes by how that ended";
        registry.register("forwards", help, self.forwards.clone());
        let help = "Claims of one-time requests by what became of them";
        registry.register("claims", help, self.claims.clone());
        let help = "Refused datagrams by cause";
        registry.register("datagrams_refused", help, self.datagrams.clone());
        let help = "Callers that left before their answer began";
        registry.register("callers_left", help, self.callers_left.clone());
        let unit = || registry::Unit::Seconds;
        let help = "Time from the sending of an attempt to the first token of its stream";
        registry.register_with_unit("first_token", help, unit(), self.first_token.clone());
        let help = "Time between two tokens of an attempt's stream";
        registry.register_with_unit("token_gap", help, unit(), self.token_gap.clone());
    }
}

fn count<T>(counts: &LabelledCounts<T>, label: &'static str, value: T)
where
    T: Clone + Eq + hash::Hash + EncodeLabelValue,
{
    counts.get_or_create(&[(label, value)]).inc();
}

/// Creates the counter of each outcome, so that it is exported before its first event.
fn create_counters<T, const N: usize>(counts: &LabelledCounts<T>, outcomes: [T; N])
where
    T: Clone + Eq + hash::Hash + EncodeLabelValue,
{
    for outcome in outcomes {
        drop(counts.get_or_create(&[("outcome", outcome)]));
    }
}
