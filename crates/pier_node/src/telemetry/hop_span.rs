//! One hop of a request as a trace span.

use opentelemetry::trace::{Span as _, TraceContextExt as _, Tracer as _};
use opentelemetry::{Context, KeyValue, trace};
use opentelemetry_sdk::trace as sdk;
use pier_types::codes;

use crate::telemetry;

/// A span over one hop: the entry, a forward to another node, or an attempt at a target.
///
/// Ends when dropped, so that cancelled hops are traced as well.
///
/// ```
/// use pier_node::telemetry;
///
/// let sink = telemetry::TraceSink::open(None)?;
/// let entry = telemetry::HopSpan::start(&sink, "entry", None);
/// let attempt = telemetry::HopSpan::start(&sink, "attempt", Some(&entry.parent()));
/// drop(attempt);
/// # Ok::<(), anyhow::Error>(())
/// ```
#[derive(Debug)]
pub struct HopSpan {
    span: sdk::Span,
    counts: telemetry::SpanCounts,
}

impl HopSpan {
    /// Starts a span as a child of another hop's span, or a new trace without a parent.
    pub fn start(
        sink: &telemetry::TraceSink,
        name: &'static str,
        parent: Option<&telemetry::TraceParent>,
    ) -> Self {
        let context = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent.context().clone()),
            None => Context::new(),
        };
        let builder = sink.tracer().span_builder(name);
        let builder = builder.with_kind(trace::SpanKind::Internal);
        Self {
            span: sink.tracer().build_with_context(builder, &context),
            counts: sink.counts().clone(),
        }
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&mut self, key: &'static str, value: String) {
        self.span.set_attribute(KeyValue::new(key, value));
    }

    /// Marks the hop as failed.
    pub fn fail(&mut self, code: codes::ResultCode) {
        self.set_attribute("result_code", code.to_string());
        self.span.set_status(trace::Status::error(code.meaning()));
    }

    /// Returns the trace context that the next hop uses as its parent.
    pub fn parent(&self) -> telemetry::TraceParent {
        telemetry::TraceParent::new(self.span.span_context().clone())
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.span.end();
        self.counts.count_ended();
    }
}
