//! Starts the log.

use std::{io, panic};

use pier_types::times;

use crate::logs;

/// Sends every line of this process to standard error, one event a line.
///
/// Libraries are heard from warnings up, unless the level asks for more than events.
///
/// # Errors
///
/// Fails when a log was started before.
pub(crate) fn start(level: log::LevelFilter) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .level(level)
        .filter(move |metadata| is_wanted(metadata, level))
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

fn is_wanted(metadata: &log::Metadata<'_>, level: log::LevelFilter) -> bool {
    let detailed = level > log::LevelFilter::Info;
    detailed || metadata.level() <= log::Level::Warn || logs::is_own_target(metadata.target())
}
