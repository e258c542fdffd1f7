//! Logs of the daemon: one line of `key=value` pairs for each event, on standard error.

mod key_value_line;
mod log_setup;
mod utc_time;

pub(crate) use key_value_line::{KeyValueLine, is_own_target};
pub(crate) use log_setup::start;
pub(crate) use utc_time::UtcTime;
