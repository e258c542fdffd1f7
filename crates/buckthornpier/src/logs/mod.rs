//! Logs of the daemon: one line of `key=value` pairs for each event, on standard error or output.

mod bounded_output;
mod key_value_line;
mod log_setup;
mod utc_time;

use bounded_output::BoundedOutput;
pub(crate) use key_value_line::{KeyValueLine, is_own_target};
pub(crate) use log_setup::{start, start_bounded};
pub(crate) use utc_time::UtcTime;
