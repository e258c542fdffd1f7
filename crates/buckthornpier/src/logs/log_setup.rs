//! Starts the log.

use std::{io, panic};

use pier_types::times;

use crate::logs;

/// Sends every line of this process to standard error, one event a line.
///
/// # Errors
///
/// Fails when a log was started before.
pub(crate) fn start(level: log::LevelFilter) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, _message, record| {
            let line = logs::KeyValueLine::new(record, times::clocks::wall_now());
            out.finish(format_args!("{line}"));
        })
        .chain(io::stderr())
        .apply()?;
    panic::set_hook(Box::new(|info| {
        log::error!(event = "panic", cause:% = info; "");
    }));
    Ok(())
}
