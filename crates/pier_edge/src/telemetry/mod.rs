//! The metrics of a node and the server for them.

mod answer_metrics;
mod body_metrics;
mod edge_metrics;
mod metrics_server;

pub(crate) use answer_metrics::AnswerMetrics;
pub(crate) use body_metrics::BodyMetrics;
pub(crate) use edge_metrics::EdgeMetrics;
pub(crate) use metrics_server::spawn;
