//! Counts the spans that reach the collector.

use std::{fmt, future, time};

use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace;

use crate::telemetry;

/// Wraps an exporter and counts the spans that it sent or lost.
#[derive(Debug)]
pub(super) struct CountingExporter<E> {
    exporter: E,
    counts: telemetry::SpanCounts,
}

impl<E> CountingExporter<E> {
    /// Wraps an exporter.
    pub(super) fn new(exporter: E, counts: telemetry::SpanCounts) -> Self {
        Self { exporter, counts }
    }
}

impl<E> trace::SpanExporter for CountingExporter<E>
where
    E: trace::SpanExporter + fmt::Debug,
{
    fn export(
        &self,
        batch: Vec<trace::SpanData>,
    ) -> impl future::Future<Output = OTelSdkResult> + Send {
        let spans = batch.len() as u64;
        let exporting = self.exporter.export(batch);
        async move {
            let result = exporting.await;
            match &result {
                Ok(()) => self.counts.count_exported(spans),
                Err(_) => self.counts.count_failed(spans),
            }
            result
        }
    }

    fn shutdown_with_timeout(&mut self, timeout: time::Duration) -> OTelSdkResult {
        self.exporter.shutdown_with_timeout(timeout)
    }

    fn set_resource(&mut self, resource: &opentelemetry_sdk::Resource) {
        self.exporter.set_resource(resource);
    }
}
