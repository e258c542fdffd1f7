//! Collects what the logs of several nodes say about one request.

mod attempt_report;
mod log_line;

pub(crate) use attempt_report::AttemptReport;
pub(crate) use log_line::LogLine;
