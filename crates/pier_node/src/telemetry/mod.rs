//! Metrics and traces.

mod attempt_outcome;
mod body_metrics;
mod claim_outcome;
mod counting_exporter;
mod forward_outcome;
mod hop_span;
mod node_metrics;
mod request_metrics;
mod retry_outcome;
mod span_counts;
mod trace_parent;
mod trace_sink;

pub use attempt_outcome::AttemptOutcome;
pub use body_metrics::BodyMetrics;
pub use claim_outcome::ClaimOutcome;
use counting_exporter::CountingExporter;
pub use forward_outcome::ForwardOutcome;
pub use hop_span::HopSpan;
pub use node_metrics::NodeMetrics;
pub use request_metrics::RequestMetrics;
pub use retry_outcome::RetryOutcome;
pub use span_counts::SpanCounts;
pub use trace_parent::TraceParent;
pub use trace_sink::TraceSink;
