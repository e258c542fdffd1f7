//! The log of the daemons: a line of `key=value` pairs for each event, on standard error or output.

mod key_value_line;
mod log_setup;
mod non_blocking_output;
mod utc_time;

pub(crate) use key_value_line::{KeyValueLine, is_own_target};
pub(crate) use log_setup::{start, start_non_blocking};
use non_blocking_output::NonBlockingOutput;
pub(crate) use utc_time::UtcTime;
