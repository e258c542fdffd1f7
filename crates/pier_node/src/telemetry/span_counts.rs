//! Counters of ended and exported trace spans.

use prometheus_client::metrics::counter;
use prometheus_client::registry;

/// Counters of spans. Ended spans that are neither exported nor failed are queued or were dropped.
#[derive(Debug, Clone, Default)]
pub struct SpanCounts {
    ended: counter::Counter,
    exported: counter::Counter,
    failed: counter::Counter,
}

impl SpanCounts {
    /// Counts a span that ended.
    pub fn count_ended(&self) {
        self.ended.inc();
    }

    /// Counts spans that the collector accepted.
    pub fn count_exported(&self, spans: u64) {
        self.exported.inc_by(spans);
    }

    /// Counts spans that the collector did not accept.
    pub fn count_failed(&self, spans: u64) {
        self.failed.inc_by(spans);
    }

    /// Registers the counters.
    pub(super) fn register(&self, registry: &mut registry::Registry) {
        let counters = [
            ("spans_ended", "Trace spans that ended", &self.ended),
            (
                "spans_exported",
                "Trace spans that the collector took",
                &self.exported,
            ),
            (
                "spans_failed",
                "Trace spans that the collector did not take",
                &self.failed,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}
