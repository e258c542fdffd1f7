//! The metrics of requests' bodies and of the connections that send them.

use pier_fleet::budgets;
use pier_types::sizes;
use prometheus_client::metrics::{counter, family, gauge};
use prometheus_client::registry;

/// Counts bodies that are held and given up; clones share their counters.
#[derive(Debug, Clone, Default)]
pub struct BodyMetrics {
    held_bytes: gauge::Gauge,
    ended: family::Family<[(&'static str, &'static str); 1], counter::Counter>,
    accept_pauses: counter::Counter,
}

impl BodyMetrics {
    /// Records the memory that all bodies hold.
    pub fn set_held(&self, total: sizes::ByteSize) {
        self.held_bytes
            .set(i64::try_from(total.get()).unwrap_or(i64::MAX));
    }

    /// Counts a body that was given up.
    pub fn count_ended(&self, end: budgets::BodyEnd) {
        self.ended.get_or_create(&[("cause", end.label())]).inc();
    }

    /// Counts a time in which no connection is accepted.
    pub fn count_accept_pause(&self) {
        self.accept_pauses.inc();
    }

    pub(super) fn register(&self, registry: &mut registry::Registry) {
        let help = "Memory reserved for the bodies of requests";
        registry.register("body_bytes", help, self.held_bytes.clone());
        let help = "Bodies of requests that were given up, by cause";
        registry.register("ended_bodies", help, self.ended.clone());
        let help = "Times in which callers' connections waited as too many descriptors were open";
        registry.register("accept_pauses", help, self.accept_pauses.clone());
    }
}
