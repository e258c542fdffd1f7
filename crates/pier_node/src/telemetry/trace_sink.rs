//! Sends trace spans to the collector.

use anyhow::Context as _;
use opentelemetry::trace::TracerProvider as _;
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::trace;

use crate::telemetry;

/// Maximum number of spans queued for the collector; more are dropped.
const MAX_QUEUED_SPANS: usize = 2_048;

/// The destination of spans: a collector, or none.
///
/// Spans are queued and sent by the exporter's thread, so a collector that is down or slow never
/// delays a request; at worst spans are dropped.
#[derive(Debug, Clone)]
pub struct TraceSink {
    tracer: trace::SdkTracer,
    counts: telemetry::SpanCounts,
}

impl TraceSink {
    /// Creates a sink. Without a collector, spans get ids and are propagated but not recorded.
    ///
    /// Blocks briefly, so it must not be called from asynchronous code.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be created.
    pub fn open(collector_url: Option<&str>) -> anyhow::Result<Self> {
        let counts = telemetry::SpanCounts::default();
        let mut builder = trace::SdkTracerProvider::builder();
        if let Some(url) = collector_url {
            builder = builder.with_span_processor(processor(url, counts.clone())?);
        }
        let tracer = builder.build().tracer("buckthornpier");
        Ok(Self { tracer, counts })
    }

    /// Returns the tracer that starts spans.
    pub(super) fn tracer(&self) -> &trace::SdkTracer {
        &self.tracer
    }

    /// Returns the counters of spans.
    pub fn counts(&self) -> &telemetry::SpanCounts {
        &self.counts
    }
}

fn processor(
    url: &str,
    counts: telemetry::SpanCounts,
) -> anyhow::Result<trace::BatchSpanProcessor> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_endpoint(format!("{url}/v1/traces"))
        .build()
        .context("creating the trace exporter")?;
    let exporter = telemetry::CountingExporter::new(exporter, counts);
    let config = trace::BatchConfigBuilder::default()
        .with_max_queue_size(MAX_QUEUED_SPANS)
        .build();
    let builder = trace::BatchSpanProcessor::builder(exporter);
    Ok(builder.with_batch_config(config).build())
}
