//! The metrics of requests' bodies and of the connections that send them.

use pier_fleet::budgets;
use pier_types::sizes;
use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

type Labels = Vec<(&'static str, String)>;

/// Counts bodies that are held and given up.
#[derive(Debug, Default)]
pub(crate) struct BodyMetrics {
    held_bytes: Gauge,
    ended: Family<Labels, Counter>,
    refused_connections: Counter,
}

impl BodyMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "body_bytes",
            "Memory reserved for the bodies of requests",
            self.held_bytes.clone(),
        );
        registry.register(
            "ended_bodies",
            "Bodies of requests that were given up, by cause",
            self.ended.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections of callers that were closed at once, over the limit",
            self.refused_connections.clone(),
        );
    }

    pub(crate) fn set_held(&self, total: sizes::ByteSize) {
        self.held_bytes
            .set(i64::try_from(total.get()).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_ended(&self, end: budgets::BodyEnd) {
        let labels = vec![("cause", end.label().to_owned())];
        self.ended.get_or_create(&labels).inc();
    }

    pub(crate) fn count_refused_connection(&self) {
        self.refused_connections.inc();
    }
}
