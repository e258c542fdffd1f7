//! Finds one request's way in the logs of several nodes.

mod attempt_story;
mod log_line;

pub(crate) use attempt_story::AttemptStory;
pub(crate) use log_line::LogLine;
