//! The metrics of answers that wait for their callers.

use pier_fleet::budgets;
use pier_types::sizes;
use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

type Labels = Vec<(&'static str, String)>;

/// Counts answers that are held and given up; copies count together.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerMetrics {
    held_bytes: Gauge,
    ended: Family<Labels, Counter>,
}

impl AnswerMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "answer_bytes",
            "Memory reserved for answers that callers have not taken",
            self.held_bytes.clone(),
        );
        registry.register(
            "ended_answers",
            "Answers that were given up for lack of memory, by cause",
            self.ended.clone(),
        );
    }

    pub(crate) fn set_held(&self, total: sizes::ByteSize) {
        self.held_bytes
            .set(i64::try_from(total.get()).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_ended(&self, end: budgets::AnswerEnd) {
        let labels = vec![("cause", end.label().to_owned())];
        self.ended.get_or_create(&labels).inc();
    }
}
