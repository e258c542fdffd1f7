//! Exit codes, and the failures that lead to them.

mod command_failure;
mod exit_code;

pub(crate) use command_failure::CommandFailure;
pub(crate) use exit_code::ExitCode;
