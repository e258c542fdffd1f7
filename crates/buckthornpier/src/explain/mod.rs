//! Finds one request's way in the logs of several nodes.

mod attempt_report;
mod log_line;

pub(crate) use attempt_report::AttemptReport;
pub(crate) use log_line::LogLine;
