//! Metrics and traces.

mod counting_exporter;
mod hop_span;
mod node_metrics;
mod span_counts;
mod trace_parent;
mod trace_sink;

use counting_exporter::CountingExporter;
pub use hop_span::HopSpan;
pub use node_metrics::NodeMetrics;
pub use span_counts::SpanCounts;
pub use trace_parent::TraceParent;
pub use trace_sink::TraceSink;
