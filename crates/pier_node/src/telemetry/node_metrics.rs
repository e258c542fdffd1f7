//! The metrics of one node.

use std::{fmt, time};

use pier_types::{codes, epochs};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

use crate::telemetry;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.2, 0.5, 1.0, 1.8, 5.0, 30.0,
];

/// Labels of an answered request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    code: u32,
}

/// The metrics of one node.
pub struct NodeMetrics {
    registry: registry::Registry,
    answers: family::Family<AnswerLabels, counter::Counter>,
    requests: telemetry::RequestMetrics,
    bodies: telemetry::BodyMetrics,
    quarantined: gauge::Gauge,
    first_part: histogram::Histogram,
    in_progress: gauge::Gauge,
    config_version: gauge::Gauge,
    config_refused: gauge::Gauge,
}

impl fmt::Debug for NodeMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeMetrics").finish_non_exhaustive()
    }
}

impl NodeMetrics {
    /// Creates the metrics of a node, with the span counters of its trace sink.
    pub fn new(spans: &telemetry::SpanCounts) -> Self {
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("buckthornpier"),
            answers: family::Family::default(),
            requests: telemetry::RequestMetrics::default(),
            bodies: telemetry::BodyMetrics::default(),
            quarantined: gauge::Gauge::default(),
            first_part: histogram::Histogram::new(LATENCY_BOUNDS_SECONDS),
            in_progress: gauge::Gauge::default(),
            config_version: gauge::Gauge::default(),
            config_refused: gauge::Gauge::default(),
        };
        metrics.register();
        spans.register(&mut metrics.registry);
        metrics
    }

    /// Counts an answered request; `None` stands for success.
    pub fn count_answer(&self, code: Option<codes::ResultCode>) {
        let code = code.map_or(0, codes::ResultCode::number).into();
        self.answers.get_or_create(&AnswerLabels { code }).inc();
    }

    /// Returns the metrics of request processing.
    pub const fn requests(&self) -> &telemetry::RequestMetrics {
        &self.requests
    }

    /// Returns the metrics of requests' bodies.
    pub const fn bodies(&self) -> &telemetry::BodyMetrics {
        &self.bodies
    }

    /// Records how many requests are in progress and how many are quarantined.
    pub fn record_load(&self, in_progress: usize, quarantined: usize) {
        let number = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.in_progress.set(number(in_progress));
        self.quarantined.set(number(quarantined));
    }

    /// Records the time from a request's arrival to the first part of its answer.
    pub fn record_first_part(&self, elapsed: time::Duration) {
        self.first_part.observe(elapsed.as_secs_f64());
    }

    /// Records the configuration in force and the version above it that was refused, if any.
    pub fn record_config(
        &self,
        in_force: epochs::ConfigVersion,
        refused: Option<epochs::ConfigVersion>,
    ) {
        let number = |version: epochs::ConfigVersion| i64::try_from(version.get()).unwrap_or(0);
        self.config_version.set(number(in_force));
        self.config_refused.set(refused.map_or(0, number));
    }

    /// Returns every metric as `OpenMetrics` text.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be written as text.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let answers = self.answers.clone();
        let help = "Answered requests by result code, 0 for success";
        self.registry.register("answers", help, answers);
        let first_part = self.first_part.clone();
        let help = "Time from a request's arrival to the first part of its answer";
        self.registry
            .register_with_unit("first_part", help, registry::Unit::Seconds, first_part);
        let in_progress = self.in_progress.clone();
        let help = "Requests in progress";
        self.registry
            .register("requests_in_progress", help, in_progress);
        let quarantined = self.quarantined.clone();
        let help = "Requests that crashed several targets and are kept away";
        self.registry
            .register("quarantined_requests", help, quarantined);
        self.requests.register(&mut self.registry);
        self.bodies.register(&mut self.registry);
        self.register_config();
    }

    fn register_config(&mut self) {
        let version = self.config_version.clone();
        let help = "Version of the configuration in force, 0 for none";
        self.registry.register("config_version", help, version);
        let refused = self.config_refused.clone();
        let help = "Version above the one in force that was refused, 0 for none";
        self.registry
            .register("config_refused_version", help, refused);
    }
}
